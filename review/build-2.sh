#!/bin/sh
# Builds the stand-ins of the second review's scripts. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/../platform"
go build -o ../target/review-stage-2 ../review/stage-2/*.go
