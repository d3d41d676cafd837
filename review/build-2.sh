#!/bin/sh
# Builds the stand-ins of the second review: the project's own stand-in of the store, and reviewfleet.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
cd review/standins-2
go build -o ../../target/reviewfleet .
