#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs rustc only: they use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
  name="$(basename "$(dirname "$case")")"
  rustc --edition 2021 -A dead_code -O -o "target/review/case-$name" "$case"
done
