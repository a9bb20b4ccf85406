#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && exec go build -o target/review-2/standin2 ./review/harness2/standin
