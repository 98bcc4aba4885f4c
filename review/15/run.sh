#!/bin/bash
# Runs the case against target/bin/toucan-cell. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/toucan-cell ] && [ -x target/review-3/trial ] || exit 2
folder=$(mktemp -d) || exit 2
timeout 115 target/review-3/trial settings-fraction review/15/record.txt "$folder"
result=$?
rm -rf "$folder"
[ "$result" -le 2 ] || result=2
exit "$result"
