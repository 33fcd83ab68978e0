#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/chivegauge || ! -x target/review-cases ]]; then
	echo "run the build of the deploy file and review/build.sh first"
	exit 2
fi
exec target/review-cases late-ping review/4
