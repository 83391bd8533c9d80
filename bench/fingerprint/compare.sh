#!/usr/bin/env bash
# Compares the fingerprints of two builds: compare.sh BUILD_A BUILD_B [SEEDS=30]
# Lists the seeds whose fingerprints differ. Exits with 1 if there are any and with 2 if a build cannot be run.
# To find the first difference of a seed, run both builds with --trace and diff the files.
set -euo pipefail

if [ $# -lt 2 ] || [ $# -gt 3 ]; then
  echo "usage: $0 BUILD_A BUILD_B [SEEDS=30]" >&2
  exit 2
fi
build_a=$1
build_b=$2
seeds=${3:-30}
jobs=${FINGERPRINT_JOBS:-4}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

fingerprints() {
  local build=$1 out=$2
  if [ ! -x "$build/fingerprint" ]; then
    echo "$build/fingerprint: not built (cmake -DLIMEMAST_BENCHMARKS=ON, target fingerprint)" >&2
    return 2
  fi
  # shellcheck disable=SC2016  # expanded by the inner shell, for each seed
  seq 1 "$seeds" | xargs -P "$jobs" -I{} sh -c '"$1" "$2" >"$3/$2"' sh "$build/fingerprint" {} "$out" || return 2
}

mkdir "$work/a" "$work/b"
fingerprints "$build_a" "$work/a" || exit 2
fingerprints "$build_b" "$work/b" || exit 2

differing=()
for seed in $(seq 1 "$seeds"); do
  if ! cmp -s "$work/a/$seed" "$work/b/$seed"; then
    differing+=("$seed")
    echo "seed $seed: $(cut -d' ' -f2- "$work/a/$seed") | $(cut -d' ' -f2- "$work/b/$seed")"
  fi
done
if [ ${#differing[@]} -gt 0 ]; then
  echo "${#differing[@]} of $seeds seeds differ: ${differing[*]}"
  exit 1
fi
echo "all $seeds seeds have equal fingerprints"
