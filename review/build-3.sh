#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases, into build/review-3/. The daemon itself comes from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for case in review/1[1-5]; do
  if [ -f "$case/case.cc" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case/case.cc" -o "build/review-3/$(basename "$case")" -lxxhash
  fi
done
