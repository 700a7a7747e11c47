#!/usr/bin/env bash
# Builds the stand-in of the second review's scripts. It needs only Go, no module and no
# network; the programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/review-standin2 .
