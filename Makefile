# The entry point for building, testing and measuring. See README.md.

GO ?= go
TOOL := $(GO) tool -modfile=tools/go.mod
BIN := bin/geraniumhollow

# Tests that KNOWN-RED.txt lists are passed over; each entry starts with a line "test: <name>".
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)

.PHONY: build test soak regress lint fmt generate check-generated demo demo-check clean

build:
	$(GO) build -o $(BIN) ./cmd/geraniumhollow

test: lint check-generated
	@test -z "$(KNOWN_RED)" || { echo "passing over known failures:"; cat KNOWN-RED.txt; }
	$(GO) test -race -shuffle=on $(SKIP) ./...

# Runs nodes as processes under random faults; see docs/OPERATIONS.md.
SEEDS ?= 50
FIRST ?= 1
soak:
	$(GO) test ./platform/soak -count=1 -timeout 2h -v -run TestSoak -args -seeds $(SEEDS) -first $(FIRST) | grep -v '^=== '

# Plays the standard days of the largest deployments with the users' bench. BENCH is its program, SITES are site files.
# A full-size day takes minutes and up to 5 GB.
JOBS ?= 2
WHY ?= regression run
regress:
	@test -n "$(BENCH)" -a -n "$(SITES)" || { echo "usage: make regress BENCH=<program> SITES='<site files>'"; exit 2; }
	for s in $(SITES); do $(BENCH) score $$s --jobs $(JOBS) --why "$(WHY)" || exit 1; done

lint:
	$(GO) vet ./...
	$(TOOL) golangci-lint run ./...

fmt:
	$(TOOL) gofumpt -w cmd internal platform
	$(TOOL) golangci-lint fmt ./...

generate:
	$(GO) generate ./...

# Fails when committed generated code differs from what the schemas give.
check-generated: generate
	git diff --exit-code -- '*.gen.go'

demo: build
	$(BIN) demo

demo-check: build
	$(BIN) demo --check

clean:
	rm -rf bin
