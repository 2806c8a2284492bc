#!/usr/bin/env bash
# Runs every test of the workspace except those that KNOWN-RED.txt lists as `skip: <test name>`.
set -euo pipefail
cd "$(dirname "$0")"

skips=()
if [ -s KNOWN-RED.txt ]; then
  while read -r name; do skips+=(--skip "$name"); done < <(sed -n 's/^skip: //p' KNOWN-RED.txt)
fi
cargo test --workspace --locked -- "${skips[@]}"
