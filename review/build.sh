#!/usr/bin/env bash
# Builds the stand-in of the cases into target/review/, after the build of the
# deploy file. Needs a C++ compiler and nlohmann-json, which that build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread review/standin/*.cpp \
    -o target/review/review-case
