#!/bin/sh
# Builds the stand-ins of the cases. It needs no network: they use the standard library alone.
set -e
cd "$(dirname "$0")/standins"
go build -o ../../target/review-standins .
