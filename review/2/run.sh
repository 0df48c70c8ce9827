#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script. Without its
# disruption where TROUBLE=0. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../run-scenario.sh" stale-start "$folder"
