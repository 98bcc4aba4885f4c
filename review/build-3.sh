#!/bin/bash
# Builds the stand-ins of the third review's scripts into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o target/review-3/trial \
    review/standin-3/*.cpp -pthread
