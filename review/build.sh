#!/usr/bin/env bash
# Builds the stand-ins of the cases; the nodes are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -buildvcs=false -o ../../target/review-cases .
