#!/usr/bin/env bash
# Runs one case: starts its stand-ins and three controllers, waits for the result and ends all of them.
#   drive.sh FOLDER-OF-THE-CASE
# Exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-$(basename "$case_folder")
read -r -a run <<<"$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)"
if [ ! -x "$program" ] || [ ! -x "${run[0]}" ]; then
  echo "build the service and run review/build.sh first" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
processes=()
# shellcheck disable=SC2317  # called by the trap
end_all() {
  for process in "${processes[@]}"; do kill -CONT "$process"; kill -KILL "$process"; done
  wait
  rm -rf "$work"
} 2>/dev/null
trap end_all EXIT
trap 'exit 2' INT TERM

"$program" "$work" "$case_folder/record.txt" &
standins=$!
processes+=("$standins")
for _ in $(seq 200); do
  [ -e "$work/settings-written" ] && break
  sleep 0.05
done
[ -e "$work/settings-written" ] || exit 2
for i in 0 1 2; do
  LIMEMAST_TUNING=deploy/operators.toml "${run[@]}" "$work/settings-$i.json" 2>"$work/log-$i" &
  processes+=("$!")
  echo "$!" >"$work/pid-$i"
done
wait "$standins"
result=$?
for i in 0 1 2; do
  if [ -s "$work/log-$i" ]; then
    echo "standard error of drover-$i:"
    head -n 20 "$work/log-$i"
  fi
done >>"$case_folder/record.txt"
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
