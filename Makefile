# Tools run at fixed versions through the Go module proxy; nothing needs installing but Go.
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
export CGO_ENABLED := 1

.PHONY: experiment build demo latency soak soak-regions soak-processes soak-processes-all soak-processes-losses bench test lint vet unit fmt generate

build:
	mkdir -p bin
	go build -o bin/daisyhatchd ./cmd/daisyhatchd
	go build -o bin/daisyhatch ./cmd/daisyhatch
	go build -o bin/standin ./cmd/standin
	go build -o bin/demo ./cmd/demo

demo: build
	bin/demo

# What one VM adds to a call, beside a direct call to the same stand-in.
latency: build
	bin/demo --latency

test: lint vet unit

lint:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	$(GOLANGCI) run --allow-parallel-runners ./...

vet:
	go vet ./...

# Cases of KNOWN-RED.txt are left out and printed. Crowds of clients run apart from other load. Beside other load, platform/soak
# takes longer than the usual limit of go test, 10 min.
unit:
	@grep '^skip ' KNOWN-RED.txt | sed 's/^skip /known red, left out: /' || true
	go test -timeout 30m -skip '$(shell sed -n 's/^skip //p' KNOWN-RED.txt | paste -sd'|')' $$(go list ./... | grep -v /platform/crowd$$)
	go test -timeout 30m -p 1 -skip '$(shell sed -n 's/^skip //p' KNOWN-RED.txt | paste -sd'|')' ./platform/crowd

fmt:
	gofmt -w $$(git ls-files '*.go' ':!gen')

# Regenerates gen/ from proto/; the output is committed. Needs buf, protoc-gen-go and protoc-gen-connect-go on PATH.
generate:
	buf generate

# Long randomised runs of the whole system: make soak SOAK_SEEDS=30 SOAK_TIME=2m
SOAK_SEED ?= 100
SOAK_SEEDS ?= 30
SOAK_TIME ?= 2m
soak:
	go test ./internal/soak -run Faults -count=1 -timeout 2h -v -soak.seed=$(SOAK_SEED) -soak.seeds=$(SOAK_SEEDS) -soak.time=$(SOAK_TIME)

# Two regions lose each other for minutes of virtual time: make soak-regions SOAK_SEEDS=8 APART=3m
APART ?= 3m
soak-regions:
	go test ./internal/soak -run RegionsApart -count=1 -timeout 2h -v -soak.seed=$(SOAK_SEED) -soak.seeds=$(SOAK_SEEDS) -soak.apart=$(APART)

# Drives the decisions about stage calls at chosen load and writes docs/EXPERIMENT.md with its plots.
experiment:
	go test ./internal/experiment -run Write -count=1 -v -experiment.docs=$(CURDIR)/docs

# Compares the full policy with plain baselines and writes docs/BENCHMARKS.md.
BENCH_SEEDS ?= 5
bench:
	go test ./internal/bench -run Table -count=1 -timeout 2h -v -bench.seeds=$(BENCH_SEEDS) -bench.docs=$(CURDIR)/docs

# Publishes changes on real processes while the leader is killed or paused; measures when they are in force.
CHANGES ?= 99
soak-processes: build
	go test ./internal/soak/processes -run Changes -count=1 -timeout 2h -v -processes.changes=$(CHANGES)

# The whole system on real processes under faults, in wall-clock time: make soak-processes-all SOAK_SEEDS=5 SOAK_TIME=2m
soak-processes-all: build
	go test ./internal/soak/processes -run System -count=1 -timeout 3h -v -processes.seed=$(SOAK_SEED) -processes.seeds=$(SOAK_SEEDS) -processes.time=$(SOAK_TIME)

# Kills 2 of 3 control VMs, then all of them, under load, and tells what is served and refused meanwhile.
soak-processes-losses: build
	go test ./internal/soak/processes -run LostControlVMs -count=1 -timeout 2h -v -processes.seed=$(SOAK_SEED) -processes.seeds=$(SOAK_SEEDS) -processes.losses
