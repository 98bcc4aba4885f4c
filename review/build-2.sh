#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the cases 6 to 10 start,
# into target/review-2/. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -S review/standin-2 -B target/review-2 \
    -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target/review-2
