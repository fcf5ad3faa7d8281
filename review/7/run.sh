#!/usr/bin/env bash
# Writes get no answer and are carried out late, after the submission was cancelled.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bamboospread ] && [ -x target/review-2 ] || exit 2
exec target/review-2 late review/7/record.txt
