.PHONY: build test race fuzz

build:
	go build -o bin/ ./cmd/...

# Formatter, vet, linter and all tests; .ci/run calls this too.
test:
	bash .ci/test.sh

race:
	go test -race ./...
