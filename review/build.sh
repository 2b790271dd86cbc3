#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/standins/build/.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p build
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-psabi -pthread)
for source in net world; do
  g++ "${flags[@]}" -c "$source.cpp" -o "build/$source.o"
done
for scenario in rolling_stop cold_owners orphaned_rollout stale_read crashing_request \
  second_order; do
  g++ "${flags[@]}" "$scenario.cpp" build/net.o build/world.o -o "build/$scenario"
done
