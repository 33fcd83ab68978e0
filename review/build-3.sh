#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target
go build -o ../../target/review-standins-3 .
