#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
WORK="$(mktemp -d)"
export WORK RECORD="$folder/record.txt"
clean_up() {
  if [[ -f "$WORK/pids" ]]; then
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$WORK/pids"
  fi
  rm -rf "$WORK"
}
trap clean_up EXIT
[[ -x target/release/tarragond && -x "target/review/case-$(basename "$folder")" ]] || exit 2
timeout 115 "target/review/case-$(basename "$folder")"
code=$?
[[ $code == 0 || $code == 1 ]] && exit "$code"
exit 2
