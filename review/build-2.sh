#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/standin2 .
