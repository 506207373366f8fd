#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
# Writes what was sent, answered and run to record.txt beside this script.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hollymux ] && [ -x target/review-2/case-10 ] || {
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
}
exec target/review-2/case-10 review/10/record.txt
