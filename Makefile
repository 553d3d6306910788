# The README's two commands are `make demo` and `make test`.
BINARIES := coltsfoot-entry coltsfoot-agent coltsfootctl coltsfoot-standin
GO ?= go

.PHONY: all build generate fmt format-check lint unit test bench fuzz soak soak-regressions demo report clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

generate:
	GOBIN=$(CURDIR)/bin $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	cd internal/rpc && PATH="$(CURDIR)/bin:$$PATH" $(GO) generate

fmt:
	gofmt -w cmd internal platform test

format-check:
	@out=$$(gofmt -l cmd internal platform test); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: format-check lint build
	bash test/run.sh

bench: build
	$(GO) test ./... -run '^$$' -bench . -benchmem -timeout 60m

fuzz:
	$(GO) test $$(grep -rl --include=*_test.go pgregory.net/rapid internal test | xargs -r -n1 dirname | sort -u | sed 's|^|./|') -run Machine -rapid.checks=10000 -timeout 60m
	for f in FuzzHeartbeat FuzzJob FuzzRuns FuzzConfig FuzzSettings; do $(GO) test ./platform -run "^$$" -fuzz "^$$f$$" -fuzztime 10m || exit 1; done
	$(GO) test ./internal/joblog -run "^$$" -fuzz '^FuzzRead$$' -fuzztime 10m

# Plays faults and load on processes: make soak SEED=7 MINUTES=10 HOSTS=30 FEATURES=admission. See docs/operations/soak.md.
SEED ?= 1
MINUTES ?= 1
HOSTS ?= 12
FEATURES ?=
soak:
	$(GO) test ./test/soak -run '^TestSoak$$' -count=1 -v -timeout 24h -args -soak.seed $(SEED) -soak.minutes $(MINUTES) -soak.hosts $(HOSTS) -features "$(FEATURES)"

# Plays the seeds that failed once.
soak-regressions:
	$(GO) test ./test/soak -run '^TestRegressions$$' -count=1 -v -timeout 24h -args -soak.regressions

demo: build
	$(GO) run ./test/demo

# Prints the bench reports of simulated days, of both sites, as a table: make report FILES="a.json b.json".
report:
	$(GO) run ./platform/report $(FILES)

clean:
	rm -rf bin
