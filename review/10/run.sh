#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
case=$(basename "$folder")
[ -x "target/review-2/case-$case" ] || exit 2
exec "target/review-2/case-$case" "review/$case"
