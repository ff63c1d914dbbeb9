GO ?= go
BIN := bin
MODULES := internal platform cmd/jvctl cmd/jvload cmd/jvrouter cmd/jvstand
LINT := $(shell $(GO) env GOPATH)/bin/golangci-lint
LINT_VERSION := v2.15.0
GOA_VERSION := v3.25.3

.PHONY: build demo test lint format bench capacity deep fleet gen tools golden

# Builds all programs into bin/.
build:
	@mkdir -p $(BIN)
	@$(GO) build -o $(BIN)/ ./cmd/jvctl ./cmd/jvload ./cmd/jvrouter ./cmd/jvstand

# Starts a fleet with stand-ins on loopback, sends requests, injects faults, and checks the promises.
demo: build
	@$(BIN)/jvload demo --bin $(BIN) --out out/demo

# Runs all tests under the race detector; the end-to-end tests run the built programs.
test: build
	@JV_BIN=$(CURDIR)/$(BIN) CI_MODULES="$(MODULES)" GO="$(GO)" sh scripts/test.sh

# Installs the linter, which includes the formatter.
tools:
	@test -x $(LINT) && $(LINT) version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)" || $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# Checks formatting and lints every module.
lint: tools
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt --diff ./... && $(LINT) run ./...) || exit 1; done

# Formats every module.
format: tools
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt ./...) || exit 1; done

# Rewrites the golden files of the tests; read the difference before committing it.
golden: build
	@cd internal && $(GO) test ./jvfleet ./jvsetting ./jvoperator ./jvrelay -run 'Errors|FaultMatrix|Failures|Streams' -update
	@cd cmd/jvload && JV_BIN=$(CURDIR)/$(BIN) $(GO) test . -run BadInput -update

# Runs the benchmarks of a router's decisions, then measures the latency that a router adds end to end.
# No figure makes it fail.
bench: build
	@cd internal && $(GO) test -run '^$$' -bench . -benchtime 1s ./jvescrow ./jvledger ./jvtarget ./jvflight
	@cd platform && $(GO) test -run '^$$' -bench BenchmarkRefusal -benchtime 1x .
	@$(BIN)/jvload bench --bin $(BIN) --out out/bench

# Measures the slopes of docs/CAPACITY.md and writes docs/CAPACITY-TABLE.md and docs/capacity.svg.
capacity: build
	@$(BIN)/jvload capacity --docs docs

# Searches further than CI does: longer random histories, then each fuzz target for a minute.
deep:
	@cd internal && JV_SEED=$${JV_SEED:-7} JV_CHECKS=15000 JV_STEPS=600 $(GO) test ./jvfleet -run TestBudgetProperty
	@cd internal && JV_SEED=$${JV_SEED:-7} JV_CHECKS=20000 $(GO) test ./jvgrant -run TestNeverMoreThanPrepaid
	@cd internal && JV_SEED=$${JV_SEED:-7} JV_CHECKS=20000 $(GO) test ./jvgrant -run 'TestSetBackLogKeepsPrepaid$$'
	@cd platform && for t in FuzzDecodePage FuzzDecodeConfig FuzzDecodeTarget FuzzDecodeParts FuzzDecodeRetryAfter FuzzResponses FuzzResponseEnds; do \
		$(GO) test . -run '^$$' -fuzz $$t -fuzztime 1m || exit 1; done
	@cd platform && JV_SEED=$${JV_SEED:-7} JV_CHECKS=40000 $(GO) test . -run 'TestResponseEndHistories$$'
	@cd platform && JV_HEADS=all $(GO) test . -run 'TestHeadCuts$$'
	@cd internal && JV_SEED=$${JV_SEED:-7} JV_CHECKS=5000 $(GO) test ./jvversion -run 'TestVersionHistories$$'
	@cd internal && JV_SEED=$${JV_SEED:-7} JV_CHECKS=10000 $(GO) test ./jvreach -run TestReachHistories
	@cd internal && $(GO) test ./jvrelay -run TestStreamHistories -rapid.checks=20000
	@cd internal && for t in jvrelay:FuzzBegunStream jvresponse:FuzzHead jvsign:FuzzReceive jvgrant:FuzzDecodeRecords jvquarantine:FuzzDecodeRecord jvlimit:FuzzDecodeRecord jvversion:FuzzDecodeRecord jvversion:FuzzReceive jvmember:FuzzDecodeMember jvloan:FuzzReceive jvreach:FuzzReceive jvforward:FuzzAttemptHead jvforward:FuzzResponseHead jvledger:FuzzApply jvledger:FuzzRestore jvsetting:FuzzParseRouter jvoperator:FuzzParseBundle; do \
		$(GO) test ./$${t%%:*} -run '^$$' -fuzz $${t##*:} -fuzztime 1m || exit 1; done

# Generates the HTTP code from internal/design and removes the generated clients, which are not used.
gen:
	@cd internal && rm -rf gen && $(GO) run goa.design/goa/v3/cmd/goa@$(GOA_VERSION) gen github.com/jasminevale/jasminevale/internal/design
	@cd internal && rm -rf gen/http/cli gen/http/*/client gen/*/client.go

# Starts a fleet with stand-ins on loopback and leaves it running until Ctrl-C.
fleet: build
	@$(BIN)/jvload fleet --bin $(BIN) --out out/fleet
