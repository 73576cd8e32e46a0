#!/bin/sh
# Builds the programs of the cases 11 to 15, with the stand-ins that they start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/rig3/...
