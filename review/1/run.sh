#!/usr/bin/env bash
# Runs the case once. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/spindlecroft ] && [ -x target/review/case_1 ] || exit 2
RECORD="${RECORD:-$PWD/review/1/record.txt}" exec target/review/case_1
