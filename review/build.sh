#!/usr/bin/env bash
# Builds the stand-ins of the cases: the store, the workers, the callers and the
# scenarios are one program, which starts the product as separate processes.
# Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o bin/scenario standin/*.cpp
