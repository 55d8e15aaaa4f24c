# Entry points; everything else is CMake.
JOBS ?= $(shell nproc)
export CCACHE_DIR ?= $(HOME)/.cache/ccache

.PHONY: build test lint format sanitize demo demo-up demo-down measure fuzz

build:
	scripts/install_deps.sh
	cmake --preset release >/dev/null
	cmake --build --preset release -j $(JOBS)

test: build
	ctest --test-dir build --output-on-failure -j 4

format:
	scripts/lint.sh --fix

lint: build
	scripts/lint.sh

sanitize:
	scripts/install_deps.sh
	scripts/sanitize.sh

demo: build
	scripts/demo.sh run

demo-up: build
	scripts/demo.sh up

demo-down:
	scripts/demo.sh down

measure: build
	scripts/measure.sh

fuzz:
	scripts/install_deps.sh
	scripts/fuzz.sh
