#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/world2 ./review/world2
