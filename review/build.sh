#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/cluster"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/cluster .
