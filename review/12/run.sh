#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chivegauge ] && [ -x target/review-3/review-3 ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
exec target/review-3/review-3 endless target/chivegauge review/12/record.txt
