# Targets: all check demo bench soak format clean; see CONTRIBUTING.md.

BUILD ?= build
CCACHE := $(shell command -v ccache 2>/dev/null)
CC = $(CCACHE) gcc
CXX = $(CCACHE) g++
PKGS = libevent libevent_openssl libzmq libprotobuf-c glib-2.0 gio-2.0 \
	libcyaml jansson argtable2 libpq libxxhash libsodium openssl
WARN = -Wall -Wextra -Werror -Wno-unused-parameter
INCLUDES = -I. -Isrc -Itests -Itools
SAN = $(if $(SANITIZE),-fsanitize=address$(comma)undefined -fno-omit-frame-pointer)
comma = ,
DEPFLAGS = -MMD -MP
CFLAGS = -std=gnu11 -O2 -g -fPIC $(WARN) $(INCLUDES) $(SAN) $(PKG_CFLAGS)
CXXFLAGS = -std=c++17 -O1 -g -Wall -Werror $(INCLUDES) $(SAN) $(PKG_CFLAGS)
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
LDLIBS = $(SAN) $(shell pkg-config --libs $(PKGS)) -lpg_query -lm

LIB_SRC = $(wildcard src/*/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libtoucanhook.a
SHARED = $(BUILD)/libtoucanhook.so

# What speaks the platform's protocols, and the node made with it.
PLATFORM_OBJ = $(patsubst %.c,$(BUILD)/%.o,\
	$(filter-out platform/main.c,$(wildcard platform/*.c)))
PLATFORM_NODE = $(BUILD)/bin/toucanhook-node

DAEMONS = $(patsubst daemons/%.c,$(BUILD)/bin/%,$(wildcard daemons/*.c))
TOOLS = $(patsubst tools/%.c,$(BUILD)/bin/%,$(wildcard tools/*.c))
# Each stand-in is a folder; common/ is shared by them.
STANDINS = $(patsubst tests/standin/%/main.c,$(BUILD)/bin/standin-%,\
	$(wildcard tests/standin/*/main.c))
LOAD_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tools/load/*.c))
COMMON_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/standin/common/*.c))
WORLD_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/world/*.c))
SIM_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/sim/*.c))

UNIT = $(patsubst tests/unit/%.c,$(BUILD)/tests/unit/%,\
	$(wildcard tests/unit/test_*.c))
PROPERTY = $(patsubst tests/property/%.cpp,$(BUILD)/tests/property/%,\
	$(wildcard tests/property/prop_*.cpp))
E2E = $(patsubst tests/e2e/%.c,$(BUILD)/tests/e2e/%,\
	$(wildcard tests/e2e/test_*.c))
SOAK = $(BUILD)/tests/soak/soak
SOAK_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))
BENCH = $(patsubst tests/bench/%.c,$(BUILD)/tests/bench/%,\
	$(wildcard tests/bench/*.c))

C_FILES = $(shell git ls-files --cached --others --exclude-standard \
	'*.c' '*.h' '*.cpp' | grep -v 'pb-c')
LINT_FILES = $(filter-out %.h %.cpp,$(C_FILES))
LINT_STAMPS = $(LINT_FILES:%=build/lint/%.ok)

PLATFORM_PHONY = platform-node
.PHONY: $(PLATFORM_PHONY) all setup check check-inner sanitize demo bench soak soak-faults format \
	format-check lint unit property e2e regenerate \
	clean
.SECONDARY:

all: setup
	$(MAKE) binaries

binaries: $(LIB) $(SHARED) $(DAEMONS) $(TOOLS) $(STANDINS) $(PLATFORM_NODE)

platform-node: $(PLATFORM_NODE)

setup:
	@scripts/setup.sh

check: setup
	$(MAKE) -j$$(nproc) format-check
	$(MAKE) -j$$(nproc) lint
	$(MAKE) -j$$(nproc) binaries test-programs
	$(MAKE) -j$$(nproc) sanitize-programs
	scripts/run_tests.sh

test-programs: $(UNIT) $(PROPERTY) $(E2E) $(SOAK)

sanitize-programs:
	$(MAKE) BUILD=build-asan SANITIZE=1 unit-programs

unit-programs: $(UNIT)

unit: $(UNIT)
	scripts/run_tests.sh unit

property: $(PROPERTY)
	scripts/run_tests.sh property

e2e: binaries $(E2E)
	scripts/run_tests.sh e2e

demo: all $(BUILD)/tests/bench/demo
	$(BUILD)/tests/bench/demo $(if $(KEEP),--keep)

bench: all $(BENCH)
	scripts/run_bench.sh

soak: all
	$(MAKE) test-programs
	scripts/soak.sh $(SEED) $(ROUNDS)

# Faults from outside on real processes; see docs/SOAK.md.
soak-faults: all $(SOAK)
	scripts/soak_faults.sh $(or $(SEED),1) $(or $(MINUTES),1)

format:
	@clang-format -i $(C_FILES)

format-check:
	@clang-format --dry-run -Werror $(C_FILES)
	@scripts/check_names.sh
	@scripts/check_text.sh

lint: $(LINT_STAMPS)

build/lint/%.ok: % .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 $(INCLUDES) $(PKG_CFLAGS) \
		-MD -MT $@ -MF build/lint/$*.d >$@.log 2>&1 \
		|| { cat $@.log; exit 1; }
	@touch $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(SHARED): $(LIB_OBJ)
	$(CC) -shared -o $@ $^ $(LDLIBS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(DEPFLAGS) -c -o $@ $<

$(BUILD)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) $(DEPFLAGS) -c -o $@ $<

$(BUILD)/bin/%: $(BUILD)/daemons/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS)

$(PLATFORM_NODE): $(BUILD)/platform/main.o $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) -Wl,--as-needed -o $@ $^ $(LDLIBS)

$(BUILD)/bin/%: $(BUILD)/tools/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

$(BUILD)/bin/toucanload: $(LOAD_OBJ)
$(BUILD)/tests/unit/test_load_checker: $(BUILD)/tools/load/checker.o
$(BUILD)/tests/unit/test_standin_engine: \
	$(BUILD)/tests/standin/backend/engine.o \
	$(BUILD)/tests/standin/backend/journal.o
$(BUILD)/tests/unit/test_standin_kv: $(BUILD)/tests/standin/platform/kv.o
$(BUILD)/tests/unit/test_relay_session \
$(BUILD)/tests/unit/test_relay_job \
$(BUILD)/tests/unit/test_relay_attempt \
$(BUILD)/tests/unit/test_relay_coordinator \
$(BUILD)/tests/unit/test_relay_forwarding \
$(BUILD)/tests/unit/test_relay_server \
$(BUILD)/tests/unit/test_relay_quota \
$(BUILD)/tests/unit/test_relay_server_customers \
$(BUILD)/tests/unit/test_relay_service_limits \
$(BUILD)/tests/unit/test_relay_control \
$(BUILD)/tests/unit/test_relay_subscription \
$(BUILD)/tests/unit/test_relay_bytes \
$(BUILD)/tests/unit/test_relay_grant \
$(BUILD)/tests/unit/test_relay_drain \
$(BUILD)/tests/unit/test_relay_link: $(PLATFORM_OBJ)
$(BUILD)/tests/property/prop_line_codec \
$(BUILD)/tests/bench/bench_codec: $(BUILD)/platform/line_codec.o \
	$(BUILD)/platform/line_frame.o
$(BUILD)/tests/unit/test_platform_codec: $(PLATFORM_OBJ)
$(BUILD)/tests/unit/test_platform_customers: $(PLATFORM_OBJ)
$(BUILD)/tests/unit/test_platform_documents: $(PLATFORM_OBJ)
$(BUILD)/tests/e2e/test_group: $(BUILD)/tests/e2e/fleet.o

.SECONDEXPANSION:
$(BUILD)/bin/standin-%: $$(addprefix $(BUILD)/,$$(subst .c,.o,$$(wildcard tests/standin/$$*/*.c))) $(COMMON_OBJ) $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS)

$(BUILD)/tests/unit/%: $(BUILD)/tests/unit/%.o $(LIB)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) -lcmocka $(LDLIBS)

$(BUILD)/tests/property/%: $(BUILD)/tests/property/%.o $(SIM_OBJ) $(LIB)
	$(CXX) -o $@ $(filter %.o,$^) $(LIB) -lrapidcheck $(LDLIBS)

$(BUILD)/tests/e2e/%: $(BUILD)/tests/e2e/%.o $(WORLD_OBJ) $(LIB)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) -lcmocka $(LDLIBS)

$(SOAK): $(SOAK_OBJ) $(WORLD_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $^ -lcmocka $(LDLIBS)

$(BUILD)/tests/bench/%: $(BUILD)/tests/bench/%.o $(WORLD_OBJ) $(SIM_OBJ) $(LIB)
	$(CC) -o $@ $(filter-out %/world_query.o,$(filter %.o,$^)) $(LIB) \
		$(LDLIBS)

regenerate:
	cd src/protocol && protoc-c --c_out=. peer.proto

clean:
	rm -rf build build-asan

-include $(shell find build build-asan $(BUILD) -name '*.d' 2>/dev/null)
