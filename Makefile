.PHONY: build test race measure slopes

build:
	go build -o bin/ ./cmd/...

# Formatter, vet, linter and all tests; .ci/run calls this too.
test:
	bash .ci/test.sh

race:
	go test -race ./...

# Routing, batch and rates at the current deployment sizes, each beside its baselines.
measure:
	go run ./cmd/measure run

# The idle cost of VMs against the numbers of teams, VMs and backend servers (docs/CAPACITY.md).
slopes:
	go run ./cmd/measure --json slopes.json slopes
