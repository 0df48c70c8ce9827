#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, with the
# packages of deploy/system.toml. Needs the sources of the repository only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Ireview/standin-2 -Iplatform/tests -Iplatform/src
  -Ipackages/base/include -Ipackages/transport/include -Ipackages/transport/src
  -DASIO_STANDALONE)
sources=(review/standin-2/*.cpp platform/tests/store_standin.cpp
  platform/src/base64.cpp packages/base/src/*.cpp
  packages/transport/src/{async_http_server,client_budget,connection_choice,event_loop,http_connection,http_message,loop_clock,socket_address}.cpp)
printf '%s\n' "${sources[@]}" |
  xargs -P 4 -I{} bash -c 'out=$1; shift; source=$1; shift
    g++ "$@" -c "$source" -o "$out/$(echo "$source" | tr / _).o"' _ "$out" {} "${flags[@]}"
objects=()
for source in "${sources[@]}"; do objects+=("$out/$(echo "$source" | tr / _).o"); done
g++ "${objects[@]}" -o "$out/scene" -lhttp_parser -lfmt -lpthread
