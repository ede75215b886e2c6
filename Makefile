.PHONY: demo check bench build format lint test soak

build:
	@tools/install-deps
	@cmake --preset default >/dev/null
	@cmake --build build

demo: build
	@tools/demo

check:
	@tools/install-deps
	@tools/format --check
	@$(MAKE) --no-print-directory build
	@tools/lint
	@tools/run-tests

test: build
	@tools/run-tests

format:
	@tools/format

lint: build
	@tools/lint

bench: build
	@tools/bench

soak: build
	@tools/soak
