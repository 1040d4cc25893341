#!/usr/bin/env bash
# Builds the stand-ins and scenarios of cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/scenario.cc; do
  case=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$case" "$source"
done
