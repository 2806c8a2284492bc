#!/bin/bash
# Builds the stand-ins of the cases 11 and on with rustc alone, after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-3"
mkdir -p "$out"
for name in frozen_gate early_answer chunked_get; do
    rustc --edition 2021 -O -o "$out/$name" "$root/review/standins-3/$name.rs"
done
