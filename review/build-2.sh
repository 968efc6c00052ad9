#!/usr/bin/env bash
# Builds the stand-ins and the tests of the second review in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8
