#!/usr/bin/env bash
# Builds the stand-ins of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3 ./review/standins-3
