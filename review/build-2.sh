#!/bin/sh
# Builds the cases of the second review with their stand-ins: one program a case, by the Rust compiler alone,
# without a package. The router itself is built by the line `build` of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
    folder=${source%/case.rs}
    rustc --edition 2021 -O -A dead_code "$source" -o "target/review-2/case-${folder##*/}"
done
