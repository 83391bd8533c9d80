#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs the packages of deploy/service.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number" &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit $failed
