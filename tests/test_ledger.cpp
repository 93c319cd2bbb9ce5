// test_ledger.cpp - Durable intents against a store that fails.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "kernel.hpp"

namespace {

struct Stored {
    std::string value;
    uint64_t version;
};

// The platform's objects, with answers that get lost and calls that fail.
class Store {
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
            objects[key] = Stored{op.value, ++version};
            *written = version;
        }
        return PS_OK;
    }
    std::map<std::string, Stored> objects;
    uint64_t version = 0;
};

enum Fault {
    FAULT_NONE,
    FAULT_UNAVAILABLE,
    FAULT_LOST_BEFORE,
    FAULT_LOST_AFTER
};

class Writer {
  public:
    Writer(Store *given, uint64_t epoch) : store(given)
    {
        ps_name_t pool = ToName("s");
        PsLedger_Init(&ledger, &pool, epoch, 20, 600);
    }
    ~Writer()
    {
        PsLedger_Finish(&ledger);
    }
    // Carries out one operation, if one is due.
    void
    Step(int64_t now, Fault fault = FAULT_NONE)
    {
        const ps_ledger_op_t *op = PsLedger_StartOp(&ledger, now, now / 1000);
        if (op->kind == PS_LEDGER_OP_NONE) {
            return;
        }
        ps_status_t status = PS_OK;
        uint64_t written = 0;
        std::vector<ps_ledger_object_t> list;
        std::map<std::string, Stored> copy;
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
    void
    Settle(int64_t *now)
    {
        for (int i = 0; i < 20; i++) {
            *now += 250;
            Step(*now);
        }
    }
    ps_ledger_t ledger;
    Store *store;
    int writes = 0;
};

bool
Knows(const Writer &writer, const std::string &id)
{
    ps_name_t name = ToName(id);
    const ps_ledger_record_t *record =
        PsLedger_GetRecord(&writer.ledger, &name);
    return record && !record->is_released;
}

} // namespace

// Whatever fails: what one owner has called durable its successor knows, and
// the former owner never gets another intent written.
RC_GTEST_PROP(Ledger, SuccessorKnowsAllDurableIntents, ())
{
    Store store;
    int64_t now = 1000;
    Writer first(&store, 1);
    Writer second(&store, 2);
    std::map<std::string, uint64_t> batches;
    std::set<std::string> durable;
    int steps = *rc::gen::inRange(10, 80);
    int takeover = *rc::gen::inRange(5, 80);
    bool is_taken = false;
    for (int i = 0; i < steps; i++) {
        now += *rc::gen::inRange(1, 300);
        Fault fault =
            (Fault)*rc::gen::weightedElement<int>({{6, FAULT_NONE},
                                                   {1, FAULT_UNAVAILABLE},
                                                   {1, FAULT_LOST_BEFORE},
                                                   {1, FAULT_LOST_AFTER}});
        if (first.ledger.state == PS_LEDGER_READY) {
            std::string id = "id" + std::to_string(i);
            // Long ids fill segments, so that they rotate.
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
        first.Step(now, fault);
        for (auto &[id, batch] : batches) {
            if (first.ledger.durable_batch >= batch) {
                bool is_new = durable.insert(id).second;
                RC_ASSERT(!is_new || !is_taken);
            }
        }
        if (i >= takeover) {
            second.Step(now, (Fault)*rc::gen::inRange(0, 4));
            is_taken = is_taken || second.ledger.state == PS_LEDGER_READY;
        }
    }
    second.Settle(&now);
    RC_ASSERT(second.ledger.state == PS_LEDGER_READY);
    for (const std::string &id : durable) {
        RC_ASSERT(Knows(second, id));
    }
    first.Settle(&now);
    uint64_t before = first.ledger.durable_batch;
    ps_name_t late = ToName("late");
    PsLedger_AddIntent(&first.ledger, &late, &late);
    first.Settle(&now);
    RC_ASSERT(first.ledger.durable_batch == before ||
              first.ledger.state == PS_LEDGER_FENCED);
    RC_ASSERT(!Knows(second, "late"));
}

TEST(Ledger, ManyIntentsShareOneWrite)
{
    Store store;
    int64_t now = 1000;
    Writer writer(&store, 1);
    writer.Settle(&now);
    int before = writer.writes;
    for (int i = 0; i < 300; i++) {
        ps_name_t id = ToName("id" + std::to_string(i));
        PsLedger_AddIntent(&writer.ledger, &id, &id);
        now += 1;
        writer.Step(now);
    }
    EXPECT_LE(writer.writes - before, 300 / 20 + 1);
}

TEST(Ledger, ALostAnswerIsSettledByReading)
{
    struct Case {
        const char *name;
        Fault fault;
    };
    for (const Case &c : {Case{"before the effect", FAULT_LOST_BEFORE},
                          Case{"after the effect", FAULT_LOST_AFTER},
                          Case{"unavailable", FAULT_UNAVAILABLE}}) {
        SCOPED_TRACE(c.name);
        Store store;
        int64_t now = 1000;
        Writer writer(&store, 1);
        writer.Settle(&now);
        ps_name_t id = ToName("a");
        uint64_t batch = PsLedger_AddIntent(&writer.ledger, &id, &id);
        now += 100;
        writer.Step(now, c.fault);
        EXPECT_LT(writer.ledger.durable_batch, batch);
        EXPECT_GT(writer.ledger.failing_since_ms, 0);
        writer.Settle(&now);
        EXPECT_GE(writer.ledger.durable_batch, batch);
        EXPECT_EQ(writer.ledger.failing_since_ms, 0);
        EXPECT_EQ(writer.ledger.state, PS_LEDGER_READY);
    }
}

TEST(Ledger, ReleasedIdsAreKnownAsReleased)
{
    Store store;
    int64_t now = 1000;
    Writer first(&store, 1);
    first.Settle(&now);
    ps_name_t id = ToName("a");
    PsLedger_AddIntent(&first.ledger, &id, &id);
    first.Settle(&now);
    PsLedger_ReleaseIntent(&first.ledger, &id);
    first.Settle(&now);
    Writer second(&store, 2);
    second.Settle(&now);
    ASSERT_TRUE(PsLedger_GetRecord(&second.ledger, &id));
    EXPECT_FALSE(Knows(second, "a"));
}

TEST(Ledger, OldSealedSegmentsAreDeleted)
{
    Store store;
    int64_t now = 1000;
    {
        Writer first(&store, 1);
        first.Settle(&now);
        ps_name_t id = ToName("old");
        PsLedger_AddIntent(&first.ledger, &id, &id);
        first.Settle(&now);
    }
    now += 300 * 1000;
    Writer second(&store, 2);
    second.Settle(&now);
    EXPECT_TRUE(Knows(second, "old"));
    now += 700 * 1000;
    second.Settle(&now);
    EXPECT_FALSE(Knows(second, "old"));
    EXPECT_EQ(store.objects.size(), 1u);
}
