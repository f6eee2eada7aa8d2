#!/usr/bin/env bash
# Checks the specification exhaustively, and that each mutation of it is caught.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
spec=$PWD/gang.pml

verify() {
  (
    cd "$work"
    spin -a "$@" "$spec" >/dev/null
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=8000 -o pan pan.c
    ./pan -m1000000 -w24 >report 2>&1
    cat report
  )
}

report=$(verify)
if ! grep -q 'errors: 0' <<<"$report" || grep -qE 'too small|out of memory' <<<"$report"; then
  echo "the specification does not hold:"
  echo "$report"
  exit 1
fi
states=$(grep -oE '[0-9.e+]+ states, stored' <<<"$report" | head -1)
depth=$(grep -oE 'depth reached [0-9]+' <<<"$report" | head -1)
echo "specification holds: $states, $depth"

# Two rounds in a row are needed to outlive the lease without every answer.
options_of() {
  if [ "$1" = PART_ALONE ]; then
    echo "-DLEASE=3 -DRENEWALS=2"
  fi
}

for mutation in AT_MOST_ONCE NOT_RUN PART_ALONE FORGOTTEN OLD_GO STALE_GO LEAD_LEASE; do
  # shellcheck disable=SC2046
  if verify "-DMUTATION_$mutation" $(options_of "$mutation") | grep -q 'errors: 0'; then
    echo "mutation $mutation is not caught"
    exit 1
  fi
  echo "mutation $mutation is caught"
done
