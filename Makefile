# Builds pearstair in build/: `make`, `make check`, `make demo`, `make rig`.
#
# KERNEL: modules that programs, tests and the bench share. DAEMON and PLATFORM:
# the rest of pearstaird.

BUILD := build
PKGS := glib-2.0 jansson libmicrohttpd libcurl libprotobuf-c libxxhash
CFLAGS ?= -O2 -g
CXXFLAGS ?= -O1 -g
WARN := -Wall -Wextra -Wshadow -Wstrict-prototypes -Werror
CSTD := -std=c11 -D_GNU_SOURCE
CPPFLAGS += -Isrc -Iplatform $(shell pkg-config --cflags $(PKGS))
LIBS := $(shell pkg-config --libs $(PKGS)) -lev -lm

KERNEL := status str request forecast prefix_cache speed marks suspects queue rules \
    rule_kinds settings config server pool estimate place_finish \
    place_baseline ids ledger owner members entry clock catalog quota \
    quota_share quota_pool quota_pools quota_division retry_budget backend \
    even_shares backend_registry scheduler allocator outliers \
    histogram crash_reports abandoned_runs recent_map recent_members \
    rate_bucket server_limit server_room stream_origins server_reach forwarders \
    event_stream version_history overcommit address_choice rendezvous fleet_waits \
    rank_rates attempts placement task_samples server_model server_models \
    concurrency_limit slot_order waiting team_shares team_order team_division \
    return_plan rollout rollout_evidence rollout_use rollout_samples \
    memory_budget answer http_head json_split election \
    member_doubts origin_log trial_turns mark_shares mark_trials
DAEMON := log counters http_client http_server platform peers peer.pb-c wire \
    cluster_state membership owned_pools frontend caller_request relay \
    config_edit admin daemon events_log gateway exchange sharing \
    allocator_rounds changes mark_crashes server_checks origin_lookups \
    server_notices reach_checks server_path forward_server response_headers \
    pace_messages quota_messages quota_admission team_messages \
    rollout_rounds answer_relay request_body gateway_metrics \
    gateway_memory exchange_task allocator_choice origin_records
PLATFORM := endpoints codec dialect_fleet run_gateway store store_items \
    store_origins store_rollouts
KERNEL_OBJS := $(KERNEL:%=$(BUILD)/%.o)
DAEMON_OBJS := $(DAEMON:%=$(BUILD)/%.o) $(PLATFORM:%=$(BUILD)/platform/%.o)
PROGRAMS := $(BUILD)/pearstaird $(BUILD)/pearstairctl $(BUILD)/pearstair-load
STANDINS := $(BUILD)/standin-platform $(BUILD)/standin-engine \
    $(BUILD)/standin-service $(BUILD)/standin-store $(BUILD)/standin-runner \
    $(BUILD)/standin-callers $(BUILD)/standin-readers

all: $(PROGRAMS) $(STANDINS)

$(BUILD):
	mkdir -p $@

$(BUILD)/%.o: src/%.c $(BUILD)/%.d Makefile | $(BUILD)
	$(CC) $(CSTD) $(WARN) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/platform/%.o: platform/%.c $(BUILD)/platform/%.d Makefile | $(BUILD)
	@mkdir -p $(BUILD)/platform
	$(CC) $(CSTD) $(WARN) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/standin_%.o: tests/standins/%.c $(BUILD)/standin_%.d Makefile | $(BUILD)
	$(CC) $(CSTD) $(WARN) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/pearstaird: $(BUILD)/pearstaird.o $(DAEMON_OBJS) $(KERNEL_OBJS)
	$(CC) $^ $(LIBS) -o $@

$(BUILD)/pearstairctl: $(BUILD)/pearstairctl.o $(KERNEL_OBJS)
	$(CC) $^ $(LIBS) -o $@

$(BUILD)/pearstair-load: $(BUILD)/load_generator.o $(BUILD)/http_client.o $(KERNEL_OBJS)
	$(CC) $^ $(LIBS) -o $@

$(BUILD)/soak-%: soak/%.c | $(BUILD)
	$(CC) $(CSTD) $(WARN) $(CPPFLAGS) $(CFLAGS) $< $(LIBS) -lpthread -o $@

$(BUILD)/standin-%: $(BUILD)/standin_%.o $(BUILD)/standin_common.o \
    $(BUILD)/str.o
	$(CC) $^ $(LIBS) -lpthread -o $@

$(BUILD)/standin-store: $(BUILD)/standin_store.o $(BUILD)/standin_common.o \
    $(BUILD)/json_split.o $(BUILD)/str.o
	$(CC) $^ $(LIBS) -lpthread -o $@

$(BUILD)/standin-callers: $(BUILD)/standin_callers.o $(BUILD)/http_client.o \
    $(BUILD)/http_head.o $(BUILD)/memory_budget.o $(BUILD)/str.o
	$(CC) $^ $(LIBS) -o $@

# Builds only the daemon, in target/; called by deploy/system.toml.
deploy-build:
	$(MAKE) -s BUILD=target target/pearstaird

packages:
	./tools/packages

demo: packages
	$(MAKE) -s all
	tests/demo.sh

rig: all
	tests/rig_foreground.sh

# Formatter and linters; fails on any finding.

SOURCES := $(filter-out src/peer.pb-c.%,$(wildcard src/*.c src/*.h)) \
    $(wildcard platform/*.c platform/*.h soak/*.c tests/standins/*.c \
    tests/standins/*.h bench/*.c bench/*.h)

lint:
	clang-format --dry-run --Werror $(SOURCES)
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
	    --enable=warning,performance,portability -Isrc \
	    $(filter %.c,$(SOURCES))
	tools/tidy $(CSTD) $(CPPFLAGS)

proto: proto/peer.proto
	cd proto && protoc-c --c_out=../src peer.proto

# Bench: simulations in virtual time.

BENCH := bench engine workload
BENCH_OBJS := $(BENCH:%=$(BUILD)/bench/%.o)

$(BUILD)/bench/%.o: bench/%.c $(BUILD)/bench/%.d Makefile | $(BUILD)
	@mkdir -p $(BUILD)/bench
	$(CC) $(CSTD) $(WARN) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/pearstair-bench: $(BENCH_OBJS) $(KERNEL_OBJS)
	$(CC) $^ $(LIBS) -o $@

bench: $(BUILD)/pearstair-bench
	bench/run

# Scores the sites of the regression runs. FLEETBENCH: the users' bench; SITES:
# the folder with their site files; WHY: a line for the journal.
REGRESSION_SITES := further/tuapapa-opendays \
    further-grown/tuapapa-opendays-grown large/ktepb-pearstair-large

bench-sites:
	for site in $(REGRESSION_SITES); do \
	    $(FLEETBENCH) score $(SITES)/$$site.toml --why "$(WHY)" || exit 1; \
	done

# Tests

TESTS := test_tables test_pool test_ledger test_contract test_simulation \
    test_gateway test_limits test_mutations test_server_limits test_marks \
    test_origins test_reach test_fleet test_addresses test_server_model \
    test_quota_fleet test_team_shares test_rollout test_flow \
    test_broken_answers test_store_items test_election test_crash_fleet
TEST_BINS := $(TESTS:%=$(BUILD)/%)
CXXSTD := -std=c++17 -D_GNU_SOURCE
TEST_LIBS := -lrapidcheck -lgtest -lgtest_main -lpthread

$(BUILD)/tests/%.o: tests/%.cpp $(BUILD)/tests/%.d Makefile | $(BUILD)
	@mkdir -p $(BUILD)/tests
	$(CXX) $(CXXSTD) -Wall -Wextra -Werror $(CPPFLAGS) $(CXXFLAGS) -MMD -MP \
	    -c $< -o $@

$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_contract: $(BUILD)/tests/test_contract.o $(DAEMON_OBJS) \
    $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_server_model: $(BUILD)/tests/test_server_model.o $(DAEMON_OBJS) \
    $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_mutations: $(BUILD)/tests/test_mutations.o $(DAEMON_OBJS) \
    $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_server_limits: $(BUILD)/tests/test_server_limits.o \
    $(DAEMON_OBJS) $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_quota_fleet: $(BUILD)/tests/test_quota_fleet.o \
    $(filter-out $(BUILD)/events_log.o,$(DAEMON_OBJS)) $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_marks: $(BUILD)/tests/test_marks.o $(DAEMON_OBJS) \
    $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_crash_fleet: $(BUILD)/tests/test_crash_fleet.o \
    $(DAEMON_OBJS) $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_reach: $(BUILD)/tests/test_reach.o $(DAEMON_OBJS) \
    $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_team_shares: $(BUILD)/tests/test_team_shares.o \
    $(DAEMON_OBJS) $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_broken_answers: $(BUILD)/tests/test_broken_answers.o \
    $(BUILD)/http_client.o $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_store_items: $(BUILD)/tests/test_store_items.o \
    $(DAEMON_OBJS) $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_flow: $(BUILD)/tests/test_flow.o $(DAEMON_OBJS) $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

$(BUILD)/test_simulation: $(BUILD)/tests/test_simulation.o \
    $(BUILD)/tests/simulation.o $(KERNEL_OBJS)
	$(CXX) $^ $(LIBS) $(TEST_LIBS) -o $@

check: packages
	$(MAKE) -s all $(TEST_BINS)
	tests/check.sh

# Test programs with SEED and many more CASES, for at most 20 minutes.
soak: all $(TEST_BINS)
	CHECK_SEED=$(or $(SEED),1) CHECK_CASES=$(or $(CASES),20000) \
	    CHECK_NO_RUNS=1 timeout 1200 tests/check.sh

# Real processes under load and random faults: COUNT runs from seed SEED on.
soak-run: all $(BUILD)/soak-proxy $(BUILD)/soak-caller
	soak/run $(or $(SEED),1) $(or $(COUNT),1)

# All tests with the address and undefined-behaviour sanitizers; 60 cases each.
SANITIZE := -fsanitize=address,undefined -fno-omit-frame-pointer
sanitize:
	$(MAKE) -s BUILD=build/sanitize CFLAGS="-O1 -g $(SANITIZE)" \
	    CXXFLAGS="-O1 -g $(SANITIZE)" LIBS="$(LIBS) $(SANITIZE)" \
	    all test-programs
	RIG_BUILD=build/sanitize CHECK_CASES=60 tests/check.sh

test-programs: $(TEST_BINS)

clean:
	rm -rf $(BUILD)

.PHONY: all deploy-build packages demo rig bench bench-sites check soak sanitize \
    test-programs soak-run lint clean proto

# An object whose dependency file is missing is built again.
DEPS := $(KERNEL_OBJS:.o=.d) $(DAEMON_OBJS:.o=.d) $(BENCH_OBJS:.o=.d) \
    $(BUILD)/pearstaird.d $(BUILD)/pearstairctl.d $(BUILD)/load_generator.d \
    $(patsubst tests/standins/%.c,$(BUILD)/standin_%.d,$(wildcard tests/standins/*.c)) \
    $(TESTS:%=$(BUILD)/tests/%.d) $(BUILD)/tests/simulation.d
$(DEPS): ;
-include $(wildcard $(DEPS))
