#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
export ROOT=$(cd "$here/../.." && pwd)
export RECORD="$here/record.txt"
program="$ROOT/target/review-3/chunked_get"
[ -x "$program" ] || exit 2
timeout --foreground 110 "$program" >/dev/null
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
