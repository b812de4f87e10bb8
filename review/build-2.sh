#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2. Each holds its clients, its
# upstreams and its store; the agents that it starts are those of the deploy file's build.
# Needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
go build -o ../../target/review-2/ ./cmd/...
