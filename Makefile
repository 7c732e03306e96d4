# The commands of the README. Everything is built below $(BUILD).
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build deps run run-relay test check sanitize fuzz soak lint format bench \
	plots install clean

all: build

# Installs what is missing from Debian's packages.
deps:
	@.ci/deps >&2

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >$(BUILD).cmake.log 2>&1 || \
		{ cat $(BUILD).cmake.log >&2; exit 1; }
	@rm -f $(BUILD).cmake.log
	@ninja -C $(BUILD) -j $(JOBS) --quiet >&2

# A store, two databases and three proxies on loopback; Ctrl-C ends it. The
# ready line is all that goes to standard output.
run: build
	@CQ_BIN=$(abspath $(BUILD))/bin exec $(BUILD)/bin/celeryquay-demo

# The relay: a store, two services and three proxies; Ctrl-C ends it.
run-relay: build
	@CQ_BIN=$(abspath $(BUILD))/bin exec $(BUILD)/bin/celeryquay-soak \
		--serve --proxies=3 --connections=40 --callers=0

test: build
	@.ci/check $(BUILD)

# The tests again under AddressSanitizer and UBSan.
sanitize: deps
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DCQ_SANITIZE=ON >/dev/null
	@ninja -C $(BUILD)-sanitize -j $(JOBS) --quiet
	@.ci/check $(BUILD)-sanitize

fuzz: deps
	@.ci/fuzz $(BUILD)-fuzz

# The fault soak: make soak SEEDS=1-50 SOAK="--jobs=4 --plan"
SEEDS ?= 1-10
soak: build
	@CQ_BIN=$(abspath $(BUILD))/bin $(BUILD)/bin/celeryquay-soak \
		--seeds=$(SEEDS) $(SOAK)

lint: build
	@.ci/lint $(BUILD)

format:
	@git ls-files '*.c' '*.h' | xargs clang-format -i

bench: build
	@.ci/bench $(BUILD)

plots: bench
	@.ci/plots $(BUILD)

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize $(BUILD)-fuzz
