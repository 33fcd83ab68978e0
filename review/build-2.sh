#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/; needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/review-2 .
