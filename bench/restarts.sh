#!/usr/bin/env bash
# Simulates restarts of all controllers of a large deployment, with each delay and many seeds. Prints p50, p90 and the maximum of the
# seconds from the restart until all controllers are ready, all machines have reported and all jobs have resumed.
#   bench/restarts.sh BUILD-DIRECTORY [MACHINES=1840] [SEEDS=20] [DELAYS="0.02 0.25 3 8"]
# The build needs -DLIMEMAST_BENCHMARKS=ON.
set -euo pipefail
[ $# -ge 1 ] || { sed -n '4,5p' "$0" >&2; exit 2; }
build=$1 machines=${2:-1840} seeds=${3:-20} delays=${4:-"0.02 0.25 3 8"}
for delay in $delays; do
  seq "$seeds" | xargs -P "$(nproc)" -n 1 "$build/large_deployment_bench" restart "$machines" "$delay" |
    awk -v delay="$delay" '
      { n++; for (c = 1; c <= 3; c++) v[c, n] = $(c + 3); violations += $7 }
      END {
        split("ready,all machines reported,all jobs resumed", name, ",")
        for (c = 1; c <= 3; c++) {
          for (i = 1; i <= n; i++) for (j = i + 1; j <= n; j++) if (v[c, j] < v[c, i]) { t = v[c, i]; v[c, i] = v[c, j]; v[c, j] = t }
          printf "| %s | %s | %.2f | %.2f | %.2f |\n", delay, name[c], v[c, int((n + 1) / 2)], v[c, int(n * 0.9 + 0.5)], v[c, n]
        }
        printf "%d runs with a delay of %s s, %d invariant violations\n", n, delay, violations > "/dev/stderr"
      }'
done
