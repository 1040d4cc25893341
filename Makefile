# Commands for developers and operators; README.md explains each.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build test check format tidy demo bench capacity fuzz fuzz-sanitized clean

deps:
	@scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@scripts/run-tests $(BUILD) -j 4

DEPLOYMENT ?= temple-andino

demo: build
	@$(BUILD)/bin/hemlock-demo --programs=$(BUILD)/bin --deployment=$(DEPLOYMENT)

bench: build
	@$(BUILD)/bin/hemlock-bench --programs=$(BUILD)/bin --deployment=$(DEPLOYMENT)

capacity: build
	@$(BUILD)/bin/hemlock-capacity

format:
	@scripts/list-sources '*.h' '*.cpp' | xargs clang-format -i

check: deps
	@scripts/check-format
	@scripts/check-tidy $(BUILD)

# Runs the stateful fuzz groups for long; SEED=... repeats a run.
SEED ?= $(shell od -An -N6 -tu8 /dev/urandom | tr -d ' ')
FUZZ_RUNS ?= 20000
FUZZ_SIZE ?= 200
fuzz: build
	@seed=$(SEED); echo "fuzz: seed=$$seed max_success=$(FUZZ_RUNS) max_size=$(FUZZ_SIZE)"; \
	for package in decisions wire platform; do \
	  RC_PARAMS="seed=$$seed max_success=$(FUZZ_RUNS) max_size=$(FUZZ_SIZE)" \
	    $(BUILD)/bin/hemlock_$${package}_tests -g Fuzz || exit 1; \
	done

# The same for the decoders, under AddressSanitizer and UndefinedBehaviorSanitizer.
fuzz-sanitized: deps
	@cmake -S . -B $(BUILD)-sanitized -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DHEMLOCK_SANITIZE=ON
	@cmake --build $(BUILD)-sanitized -j $(JOBS) --target hemlock_wire_tests hemlock_platform_tests
	@for package in wire platform; do \
	  RC_PARAMS="seed=$(SEED) max_success=$(FUZZ_RUNS) max_size=$(FUZZ_SIZE)" \
	    $(BUILD)-sanitized/bin/hemlock_$${package}_tests -g Fuzz || exit 1; \
	done

clean:
	@rm -rf $(BUILD)
