#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They use the standard library only.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-standins .
