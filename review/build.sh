#!/usr/bin/env bash
# Builds every stand-in that a case of the review starts. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j8
