#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tarragon-agent ] && [ -x target/review-2/drain-restart ] || { echo "build the programs first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2/drain-restart review/9
