#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
# Writes what was sent, answered and run to record.txt beside this script.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/hollymux ] || { echo "build first: see review/REPORT.md"; exit 2; }
exec target/review/standin tags review/3/record.txt
