#!/usr/bin/env bash
# Builds the stand-ins and clients of cases 11 to 15. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/standins-3/main.rs
