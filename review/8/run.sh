#!/usr/bin/env bash
# The load of a task that serves rises beside tasks that fill and last.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bamboospread ] && [ -x target/review-2 ] || exit 2
exec target/review-2 evict review/8/record.txt
