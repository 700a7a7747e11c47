#!/bin/sh
# Builds the stand-ins of the scripts. It needs no network: they use the standard
# library only.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off GOFLAGS= GOTOOLCHAIN=local exec go build -o ../bin/standin .
