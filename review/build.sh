#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts in this folder. The program under review
# is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-standin ./review/harness/standin
