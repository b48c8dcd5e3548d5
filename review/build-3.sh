#!/bin/sh
# Builds the programs that the scripts of review/11 to review/15 start beside the project's own.
set -eu
cd "$(dirname "$0")/tools-3"
mkdir -p ../../target/review-3
GOWORK=off go build -buildvcs=false -o ../../target/review-3/ ./cmd/...
