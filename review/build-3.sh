#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stage-3
GOWORK=off go build -o ../../target/review-stage-3 .
