#!/usr/bin/env bash
# Writes a copy of a bench site with more machines, more job arrivals and faster restarts of processes. The defaults match operators'
# days, which have up to 1.5 times the machines of their files and processes that restart within a fraction of a second.
#   bench/site.sh SITE.toml OUTPUT-DIRECTORY [MACHINES=1.5] [ARRIVALS=1.3] [RESTART_S=0.25]
# The copy must lie outside the repository.
set -euo pipefail
[ $# -ge 2 ] || { sed -n '2,5p' "$0" >&2; exit 2; }
site=$1 out=$2 machines=${3:-1.5} arrivals=${4:-1.3} restart=${5:-0.25}
[ -r "$site" ] || { echo "SITE: cannot read $site" >&2; exit 2; }
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"
awk -v m="$machines" -v a="$arrivals" -v r="$restart" '
  function whole(x) { return int(x + 0.5) }
  /^\[/ { section = $0 }
  section ~ /^\[\[(capacity|machines)\]\]/ && /^(count|spot) = [0-9]+$/ { $3 = whole($3 * m) }
  section == "[[teams]]" && /^(cpus|cpus_max|guaranteed|limit)[a-z_]* = [0-9.]+$/ { $3 = sprintf("%.1f", $3 * m) }
  section == "[[jobs]]" && /^initial = / { $3 = whole($3 * a) }
  section == "[[jobs]]" && /^arrivals = / && match($0, /rate = [0-9.]+/) {
    rate = substr($0, RSTART + 7, RLENGTH - 7) * a
    $0 = substr($0, 1, RSTART + 6) rate substr($0, RSTART + RLENGTH)
  }
  /^restart_delay_s = / { $3 = r }
  /^name = / && section == "" { sub(/"$/, "-larger\"") }
  { print }' "$site" > "$out/$(basename "${site%.toml}")-larger.toml"
echo "$out/$(basename "${site%.toml}")-larger.toml"
