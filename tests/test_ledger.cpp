// test_ledger.cpp - Tests the ledger of durable intents with a store whose
// operations fail or lose their answers.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "kernel.hpp"

namespace {

struct StoredObject {
    std::string value;
    uint64_t version;
};

// The platform's objects, with conditional writes.
class FakeStore {
  public:
    ps_status_t
    Apply(const ps_ledger_op_t &op, uint64_t *written)
    {
        std::string key = ToString(op.key);
        auto found = objects.find(key);
        uint64_t current = found == objects.end() ? 0 : found->second.version;
        if (current != op.version) {
            return PS_CONFLICT;
        }
        if (op.kind == PS_LEDGER_OP_DELETE) {
            objects.erase(key);
        }
        else {
            objects[key] = StoredObject{op.value, ++version};
            *written = version;
        }
        return PS_OK;
    }
    std::map<std::string, StoredObject> objects;
    uint64_t version = 0;
};

// How an operation on the store fails, and what the ledger learns of it.
enum Fault {
    FAULT_NONE,
    FAULT_UNAVAILABLE, // not carried out, reported as PS_UNAVAILABLE
    FAULT_LOST_BEFORE, // not carried out, reported as PS_UNKNOWN
    FAULT_LOST_AFTER   // carried out, reported as PS_UNKNOWN
};

// One owner's ledger, which writes to a store that owners share.
class LedgerWriter {
  public:
    LedgerWriter(FakeStore *shared_store, uint64_t epoch) : store(shared_store)
    {
        ps_name_t pool = ToName("s");
        // Writes at least 20 ms apart; sealed segments are kept for 600 s.
        PsLedger_Init(&ledger, &pool, epoch, 20, 600);
    }
    ~LedgerWriter()
    {
        PsLedger_Finish(&ledger);
    }
    // Carries out one operation, if one is due.
    void
    RunOp(int64_t now, Fault fault = FAULT_NONE)
    {
        const ps_ledger_op_t *op = PsLedger_StartOp(&ledger, now, now / 1000);
        if (op->kind == PS_LEDGER_OP_NONE) {
            return;
        }
        ps_status_t status = PS_OK;
        uint64_t written = 0;
        std::vector<ps_ledger_object_t> list;
        std::map<std::string, StoredObject> copy;
        if (fault == FAULT_UNAVAILABLE) {
            status = PS_UNAVAILABLE;
        }
        else if (fault == FAULT_LOST_BEFORE) {
            status = PS_UNKNOWN;
        }
        else if (op->kind == PS_LEDGER_OP_LIST) {
            copy = store->objects;
            for (auto &[key, object] : copy) {
                list.push_back(
                    {ToName(key), object.version, object.value.c_str()});
            }
        }
        else {
            status = store->Apply(*op, &written);
            writes += status == PS_OK ? 1 : 0;
        }
        if (fault == FAULT_LOST_AFTER) {
            status = PS_UNKNOWN;
        }
        PsLedger_HandleOpResult(&ledger, status, written, list.data(),
                                (int)list.size(), now);
    }
    // Runs at most 20 operations, 250 ms apart.
    void
    RunOps(int64_t *now)
    {
        for (int i = 0; i < 20; i++) {
            *now += 250;
            RunOp(*now);
        }
    }
    ps_ledger_t ledger;
    FakeStore *store;
    int writes = 0; // that the store has carried out
};

// Tells whether an id has an intent that was not released.
bool
HasIntent(const LedgerWriter &writer, const std::string &id)
{
    ps_name_t name = ToName(id);
    const ps_ledger_record_t *record =
        PsLedger_GetRecord(&writer.ledger, &name);
    return record && !record->is_released;
}

} // namespace

// Whichever operations fail, a new owner knows all intents that the earlier
// owner counts as durable, and the earlier owner can't write any more.
// Otherwise a non-idempotent request could run twice after a takeover.
RC_GTEST_PROP(Ledger, SuccessorKnowsAllDurableIntents, ())
{
    FakeStore store;
    int64_t now = 1000;
    LedgerWriter first(&store, 1);
    LedgerWriter second(&store, 2);
    std::map<std::string, uint64_t> batches;
    std::set<std::string> durable;
    int steps = *rc::gen::inRange(10, 80);
    int takeover_step = *rc::gen::inRange(5, 80);
    bool is_taken_over = false; // the second owner has sealed the segments
    for (int i = 0; i < steps; i++) {
        now += *rc::gen::inRange(1, 300);
        Fault fault =
            (Fault)*rc::gen::weightedElement<int>({{6, FAULT_NONE},
                                                   {1, FAULT_UNAVAILABLE},
                                                   {1, FAULT_LOST_BEFORE},
                                                   {1, FAULT_LOST_AFTER}});
        if (first.ledger.state == PS_LEDGER_READY) {
            std::string id = "id" + std::to_string(i);
            // Long ids fill segments, so that some are sealed and the next
            // ones opened.
            ps_name_t name = ToName(id + std::string(100, 'x'));
            ps_name_t ticket = ToName("ticket" + std::string(100, 'y'));
            for (int copy = 0; copy < 20; copy++) {
                ps_name_t filler = ToName(id + "." + std::to_string(copy) +
                                          std::string(90, 'z'));
                PsLedger_AddIntent(&first.ledger, &filler, &ticket);
            }
            batches[ToString(name)] =
                PsLedger_AddIntent(&first.ledger, &name, &ticket);
        }
        first.RunOp(now, fault);
        for (auto &[id, batch] : batches) {
            if (first.ledger.durable_batch >= batch) {
                bool is_new = durable.insert(id).second;
                RC_ASSERT(!is_new || !is_taken_over);
            }
        }
        if (i >= takeover_step) {
            second.RunOp(now, (Fault)*rc::gen::inRange(0, 4));
            is_taken_over =
                is_taken_over || second.ledger.state == PS_LEDGER_READY;
        }
    }
    second.RunOps(&now);
    RC_ASSERT(second.ledger.state == PS_LEDGER_READY);
    for (const std::string &id : durable) {
        RC_ASSERT(HasIntent(second, id));
    }
    first.RunOps(&now);
    uint64_t before = first.ledger.durable_batch;
    ps_name_t late = ToName("late");
    PsLedger_AddIntent(&first.ledger, &late, &late);
    first.RunOps(&now);
    RC_ASSERT(first.ledger.durable_batch == before ||
              first.ledger.state == PS_LEDGER_FENCED);
    RC_ASSERT(!HasIntent(second, "late"));
}

TEST(Ledger, ManyIntentsShareOneWrite)
{
    FakeStore store;
    int64_t now = 1000;
    LedgerWriter writer(&store, 1);
    writer.RunOps(&now);
    int before = writer.writes;
    for (int i = 0; i < 300; i++) {
        ps_name_t id = ToName("id" + std::to_string(i));
        PsLedger_AddIntent(&writer.ledger, &id, &id);
        now += 1;
        writer.RunOp(now);
    }
    EXPECT_LE(writer.writes - before, 300 / 20 + 1);
}

TEST(Ledger, FailedWriteIsResolvedByReading)
{
    struct Case {
        const char *name;
        Fault fault;
    };
    for (const Case &c : {Case{"before the effect", FAULT_LOST_BEFORE},
                          Case{"after the effect", FAULT_LOST_AFTER},
                          Case{"unavailable", FAULT_UNAVAILABLE}}) {
        SCOPED_TRACE(c.name);
        FakeStore store;
        int64_t now = 1000;
        LedgerWriter writer(&store, 1);
        writer.RunOps(&now);
        ps_name_t id = ToName("a");
        uint64_t batch = PsLedger_AddIntent(&writer.ledger, &id, &id);
        now += 100;
        writer.RunOp(now, c.fault);
        EXPECT_LT(writer.ledger.durable_batch, batch);
        EXPECT_GT(writer.ledger.failing_since_ms, 0);
        writer.RunOps(&now);
        EXPECT_GE(writer.ledger.durable_batch, batch);
        EXPECT_EQ(writer.ledger.failing_since_ms, 0);
        EXPECT_EQ(writer.ledger.state, PS_LEDGER_READY);
    }
}

TEST(Ledger, SuccessorKnowsReleasedIds)
{
    FakeStore store;
    int64_t now = 1000;
    LedgerWriter first(&store, 1);
    first.RunOps(&now);
    ps_name_t id = ToName("a");
    PsLedger_AddIntent(&first.ledger, &id, &id);
    first.RunOps(&now);
    PsLedger_ReleaseIntent(&first.ledger, &id);
    first.RunOps(&now);
    LedgerWriter second(&store, 2);
    second.RunOps(&now);
    ASSERT_TRUE(PsLedger_GetRecord(&second.ledger, &id));
    EXPECT_FALSE(HasIntent(second, "a"));
}

TEST(Ledger, OldSealedSegmentsAreDeleted)
{
    FakeStore store;
    int64_t now = 1000;
    {
        LedgerWriter first(&store, 1);
        first.RunOps(&now);
        ps_name_t id = ToName("old");
        PsLedger_AddIntent(&first.ledger, &id, &id);
        first.RunOps(&now);
    }
    now += 300 * 1000;
    LedgerWriter second(&store, 2);
    second.RunOps(&now);
    EXPECT_TRUE(HasIntent(second, "old"));
    now += 700 * 1000;
    second.RunOps(&now);
    EXPECT_FALSE(HasIntent(second, "old"));
    EXPECT_EQ(store.objects.size(), 1u);
}
