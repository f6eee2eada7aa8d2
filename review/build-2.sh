#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}/case.rs; do
  [ -f "$case" ] || continue
  rustc --edition 2024 -O -o "target/review-2/case-$(basename "$(dirname "$case")")" "$case"
done
