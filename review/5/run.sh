#!/bin/bash
# Exits with 1 if TWO was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/edge ] && [ -x target/review-world ] || { echo "build target/edge and review/build.sh first"; exit 2; }
exec target/review-world late review/5/record.txt
