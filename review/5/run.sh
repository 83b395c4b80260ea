#!/usr/bin/env bash
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standins ] && [ -x target/galenacart-node ] || { echo 'build first: the deploy file, then review/build.sh'; exit 2; }
exec target/review-standins -case drain-retry -folder review/5
