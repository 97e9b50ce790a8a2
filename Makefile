# Targets that need only Go: demo, test, check, bench, history, capacity.
# model needs Spin and gcc; .ci/run installs Spin where it is missing.

SEED ?= 1
GO ?= go

.PHONY: all build check fmt test demo capacity

all: check test

build:
	$(GO) build ./...

# check fails on unformatted files, on findings of vet and staticcheck, and when
# a result code or log event is missing from its table in docs/.
check:
	@unformatted=$$(gofmt -l cmd pkg); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) test -run 'TestDocs' ./pkg/result ./pkg/event

fmt:
	gofmt -w cmd pkg

test:
	$(GO) test ./...

# capacity measures the control plane's cost on this machine in two to three
# minutes; docs/CAPACITY.md quotes its tables.
capacity:
	$(GO) run ./cmd/capacity --seed $(SEED)
