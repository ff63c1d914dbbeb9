#!/bin/sh
# Builds the stand-ins of the cases, without a network: they use the standard library only.
set -e
cd "$(dirname "$0")/stage"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-stage .
