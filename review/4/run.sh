#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. Exit status: 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0 leaves the disruption out. Build first: the command of the deploy file,
# then review/build-2.sh.
cd "$(dirname "$0")" || exit 2
trial=../../target/review-2/release/trial
if [ ! -x "$trial" ] || [ ! -x ../../target/release/ochredrum ]; then
    echo "the programs aren't built" >&2
    exit 2
fi
exec "$trial" machine-lost .
