#!/usr/bin/env bash
# Usage: run.sh. Needs target/bin/toucan-cell and the drivers of
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
driver=target/review-2/case_7
if [ ! -x "$driver" ] || [ ! -x target/bin/toucan-cell ]; then
    echo "build target/bin/toucan-cell and run review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 "$driver" "$folder" review/7/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
