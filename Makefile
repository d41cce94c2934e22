# Entry points for developers and CI. Meson does the build.
BUILD ?= build
CELL ?= shuangxi
PACKAGES = build-essential meson ninja-build pkg-config libglib2.0-dev libsoup-3.0-dev libcurl4-openssl-dev \
	libprotobuf-c-dev libcyaml-dev libyaml-dev libjson-glib-dev libargtable2-dev libxxhash-dev \
	libcriterion-dev valgrind clang-format clang-tidy man-db curl
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '\.pb-c\.[ch]$$')
TIDY_SOURCES = $(filter %.c,$(SOURCES))

.PHONY: all deps build check demo bench slopes capacity capacity-check format format-check lint clean

all: build

# Installs the packages that the build needs, unless they are installed.
deps:
	@.ci/deps $(PACKAGES)

$(BUILD)/build.ninja:
	meson setup $(BUILD)

build: deps $(BUILD)/build.ninja
	ninja -C $(BUILD)

check: build
	.ci/check $(BUILD)

# Runs a cell with simulated workers and platform: CELL=shuangxi or CELL=rodowod. KEEP=1 leaves it
# running.
demo: build
	demo/run $(abspath $(BUILD)) $(CELL)

# Measures placement decisions and the request path, and compares the points of each role with the
# committed ones.
bench: build
	bench/decide.sh $(BUILD)/bench
	bench/path.sh $(abspath $(BUILD))
	bench/run $(BUILD)/bench > $(BUILD)/points.jsonl
	$(BUILD)/bench/capacity judge bench/slopes.jsonl $(BUILD)/points.jsonl

# Measures the points again that docs/CAPACITY.md is computed from.
slopes: build
	bench/run $(BUILD)/bench > $(BUILD)/points.jsonl
	cp $(BUILD)/points.jsonl bench/slopes.jsonl

# Recomputes the tables of docs/CAPACITY.md from the committed points.
capacity: build
	$(BUILD)/bench/capacity page bench/slopes.jsonl docs/CAPACITY.md

capacity-check: build
	$(BUILD)/bench/capacity check bench/slopes.jsonl docs/CAPACITY.md

format:
	@clang-format -i $(SOURCES)

format-check: deps
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@printf '%s\n' $(TIDY_SOURCES) | xargs -P 8 -n 4 clang-tidy --quiet -p $(BUILD)

clean:
	rm -rf $(BUILD)
