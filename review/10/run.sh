#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hollymux ] && [ -x target/review-2/case-10 ] || {
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
}
exec target/review-2/case-10 review/10
