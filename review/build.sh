#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -c stand_in/harness.cc -o build/harness.o
for source in [1-9]/case.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -Istand_in "$source" build/harness.o -o "build/case-${source%%/*}"
done
