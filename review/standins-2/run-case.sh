#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays one case and writes FOLDER/record.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
folder=$(cd -P "$2" && pwd) || exit 2
cd -P "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
rehearse=target/review-2/rehearse
if [ ! -x "$rehearse" ] || [ ! -x "${command%% *}" ]; then
  echo "not built: run the build of deploy/service.toml and review/build-2.sh first" >&2
  exit 2
fi
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
timeout -k 1 118 "$rehearse" "$1" "${TROUBLE:-1}" "$folder/record.txt" "$command" "$directory"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
