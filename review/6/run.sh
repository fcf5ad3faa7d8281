#!/usr/bin/env bash
# The load of tasks that serve rises to 85 hundredths of their target.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bamboospread ] && [ -x target/review-2 ] || exit 2
exec target/review-2 fill review/6/record.txt
