#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -euo pipefail
cd -P "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standins-2/*.cpp -o target/review-2/rehearse
