#!/usr/bin/env bash
# Runs each fuzz target for a time: .ci/fuzz.sh [TIME]. Go keeps the input of a failure below
# testdata/fuzz of the package.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-2s}
failed=0
for package in $(go list ./...); do
  for target in $(go test -list '^Fuzz' "$package" | grep '^Fuzz' || true); do
    echo "fuzz $package $target"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" -parallel 2 "$package" || failed=1
  done
done
exit "$failed"
