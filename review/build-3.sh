#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They need the
# standard library only.
set -eu
cd "$(dirname "$0")/standin3"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/standin .
