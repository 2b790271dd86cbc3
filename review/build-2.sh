#!/usr/bin/env bash
# Builds the stand-ins and programs of cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
common=()
for name in net store backend host world flood; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "review/standins-2/$name.cc" -o "$out/$name.o"
  common+=("$out/$name.o")
done
for program in review/standins-2/case_*.cc; do
  name=$(basename "$program" .cc)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$program" "${common[@]}" -o "$out/$name"
done
echo "built $(ls review/standins-2/case_*.cc | wc -l) programs in $out"
