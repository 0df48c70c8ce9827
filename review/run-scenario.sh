#!/usr/bin/env bash
# Runs one scenario for the script of a case.
# Usage: run-scenario.sh NAME FOLDER   (FOLDER: that of the case)
set -uo pipefail
name="$1"
case_folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.."
if [ ! -x target/bin/filbertspring ] || [ ! -x review/bin/scenario ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
timeout --signal=TERM --kill-after=2 115 \
  review/bin/scenario "$name" "$folder" "$case_folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
