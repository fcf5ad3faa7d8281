#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/bamboospread ] || exit 2
exec target/review-standin probation review/3
