#!/usr/bin/env bash
# Builds the stand-ins of the third review into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
g++ -std=c++20 -O1 -pthread -Wall -Wextra -o build-review-3/cases \
  review/standin-3/cases.cpp review/standin-3/platform.cpp
