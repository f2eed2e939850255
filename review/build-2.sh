#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10 into target/, without a network.
set -e
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../../target/review-2/standins-2 .
