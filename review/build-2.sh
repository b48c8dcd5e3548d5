#!/bin/sh
# Builds the stand-ins of the scripts of this review into target/review-2.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/rig .
