#!/usr/bin/env bash
# Builds the stand-ins and the programs of the scripts of the second review.
# Usage: review/build-2.sh, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
cmake --build --preset release --target gp-stand-in-store gp-stand-in-worker
mkdir -p build/review-2
for case in review/{6,7,8,9,10}/case.cxx; do
  [ -f "$case" ] || continue
  number="$(basename "$(dirname "$case")")"
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -Ireview/harness-2 \
    "$case" review/harness-2/gpReviewCluster.cxx -o "build/review-2/case-$number"
done
