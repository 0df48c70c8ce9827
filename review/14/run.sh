#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-3.sh.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review-3/cases ] && [ -x target/bin/filbertspring ] || exit 2
exec build-review-3/cases late-start-after-stop "review/14/record.txt"
