#!/usr/bin/env bash
# Checks format, vet, lint, tests and a short run of each fuzz target. Tests listed in KNOWN-RED.txt are left out
# of the verdict, run on their own and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(go tool gofumpt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted; run \`go tool gofumpt -w .\`:"
  echo "$unformatted"
  exit 1
fi
go vet ./...
# Goroutines are methods of their owners. The programs of the review stay as they are.
anonymous=$(git ls-files '*.go' | grep -v -e '_test\.go$' -e '^review/' | xargs grep -nE '\bgo func\b' || true)
if [ -n "$anonymous" ]; then
  echo "goroutines that are no method named run or loop:"
  echo "$anonymous"
  exit 1
fi
go tool staticcheck ./...

# The corpora of the fuzz targets are tests. What a short run finds beside them differs from run to run,
# so it is printed and has no part in the verdict; the input belongs into the corpus with its fix.
fuzz() {
  bash .ci/fuzz.sh || echo "--- fuzzing found an input that fails: see above"
}

# An entry begins with a line "test: NAME"; a subtest is written Parent/child.
# Each part of the name is matched as a whole.
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's#/#$/^#g; s#^#^#; s#$#$#' | paste -sd'|' -)
# The tests of hostile measure processes under load, so they run apart from the others.
mapfile -t others < <(go list ./... | grep -v '/hostile$')
if [ -z "$known" ]; then
  go test "${others[@]}"
  go test ./hostile
  fuzz
  exit
fi
go test -skip "$known" "${others[@]}"
go test -skip "$known" ./hostile
fuzz
echo "--- known red, left out of the verdict (KNOWN-RED.txt):"
cat KNOWN-RED.txt
go test -run "$known" ./... || true
