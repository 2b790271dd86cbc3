#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into review/standins-3/build/.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p build
for source in case_*.cc; do
  name=${source#case_}
  g++ -std=c++20 -O1 -Wall -Wextra world.cc "$source" -o "build/${name%.cc}" -pthread
done
