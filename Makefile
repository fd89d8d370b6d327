# Convenience targets for the CMake presets.
PRESET ?= release
BUILD = build$(if $(filter-out release,$(PRESET)),-$(PRESET))

.PHONY: install build test unit proofs soak demo bench format lint test-asan test-tsan clean

install:
	sh cmake/install-packages.sh

build:
	cmake --preset $(PRESET) >/dev/null
	cmake --build $(BUILD)

test: install build
	sh cmake/run-tests.sh $(BUILD)

unit: build
	$(BUILD)/tests/unit_tests

proofs: build
	$(BUILD)/tests/proof_tests

# Injects random faults into a deployment of real processes: make soak SEED=100 SEEDS=50
# FAULTS=0 COPIES=0 STATEMENTS=0 RESPONSES=0 leaves planned work and silent targets only.
SEED ?= 1
SEEDS ?= 10
FAULTS ?= 12
COPIES ?= 4
STATEMENTS ?= 4
RESPONSES ?= 3
soak: build
	$(BUILD)/tests/snipehill_soak --seed $(SEED) --seeds $(SEEDS) --faults $(FAULTS) --copies $(COPIES) --statements $(STATEMENTS) --broken-responses $(RESPONSES)

demo: install build
	sh examples/demo.sh $(BUILD)
	bash examples/demo-platform.sh $(BUILD)

bench: build
	sh bench/run.sh $(BUILD)

format:
	git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v /generated/ | xargs clang-format -i

lint:
	sh cmake/lint.sh

test-asan:
	$(MAKE) test PRESET=asan

test-tsan:
	$(MAKE) test PRESET=tsan

clean:
	rm -rf build build-asan build-tsan
