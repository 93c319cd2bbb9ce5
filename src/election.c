/* election.c - Chooses the candidate of highest score that answers. */
#include "election.h"

#define AVOID_MS 3000  /* time in which a candidate is not chosen again */
#define PROBES_FIRST 6 /* candidates that are asked first */

typedef struct avoidance {
    uint64_t incarnation;
    int64_t since_ms;
    bool is_silent; /* and has to be heard from */
} avoidance_t;

/* ---- Internal functions ----------------------------------------------- */

static void
set_avoided(ps_election_t *election, const ps_candidate_t *candidate,
            bool is_silent, int64_t now_ms)
{
    avoidance_t avoidance = {candidate->incarnation, now_ms, is_silent};
    g_hash_table_replace(election->avoided,
                         g_memdup2(candidate->name, sizeof *candidate->name),
                         g_memdup2(&avoidance, sizeof avoidance));
}

static bool
is_avoided(const ps_election_t *election, const ps_candidate_t *candidate,
           int64_t now_ms)
{
    const avoidance_t *avoidance =
        g_hash_table_lookup(election->avoided, candidate->name);
    if (!avoidance || avoidance->incarnation != candidate->incarnation) {
        return false;
    }
    bool is_heard = candidate->is_self || !avoidance->is_silent ||
                    candidate->heard_ms > avoidance->since_ms;
    return !is_heard || now_ms < avoidance->since_ms + AVOID_MS;
}

static int
compare_scores(const void *left, const void *right)
{
    const ps_candidate_t *a = *(const ps_candidate_t *const *)left;
    const ps_candidate_t *b = *(const ps_candidate_t *const *)right;
    return (a->score < b->score) - (a->score > b->score);
}

/* ---- Public functions ------------------------------------------------- */

void
PsElection_Init(ps_election_t *election)
{
    *election = (ps_election_t){.n_probes = PROBES_FIRST};
    election->avoided =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
    election->probed =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
}

void
PsElection_Finish(ps_election_t *election)
{
    g_hash_table_destroy(election->avoided);
    g_hash_table_destroy(election->probed);
}

const ps_candidate_t *
PsElection_Choose(const ps_election_t *election,
                  const ps_candidate_t *candidates, size_t n, int64_t now_ms)
{
    const ps_candidate_t *best = NULL;
    const ps_candidate_t *self = NULL;
    for (size_t i = 0; i < n; i++) {
        const ps_candidate_t *each = &candidates[i];
        if ((!best || each->score > best->score) &&
            !is_avoided(election, each, now_ms)) {
            best = each;
        }
        self = each->is_self ? each : self;
    }
    return best ? best : self;
}

size_t
PsElection_ListProbes(ps_election_t *election,
                      const ps_candidate_t *candidates, size_t n,
                      const ps_name_t *allocator, const ps_name_t **names,
                      int64_t now_ms)
{
    GPtrArray *order = g_ptr_array_new();
    for (size_t i = 0; i < n; i++) {
        g_ptr_array_add(order, (gpointer)(uintptr_t)&candidates[i]);
    }
    g_ptr_array_sort(order, compare_scores);
    size_t n_listed = 0;
    for (guint i = 0; i < order->len && n_listed < election->n_probes; i++) {
        const ps_candidate_t *each = order->pdata[i];
        if (each->is_self) {
            break; // those after it are not chosen
        }
        if (!PsName_IsEqual(each->name, allocator) &&
            !is_avoided(election, each, now_ms)) {
            g_hash_table_replace(election->probed,
                                 g_memdup2(each->name, sizeof *each->name),
                                 g_memdup2(&now_ms, sizeof now_ms));
            names[n_listed++] = each->name;
        }
    }
    g_ptr_array_unref(order);
    election->n_probes *= 2;
    return n_listed;
}

void
PsElection_AvoidSilent(ps_election_t *election,
                       const ps_candidate_t *candidates, size_t n,
                       const ps_name_t *allocator, int64_t now_ms)
{
    for (size_t i = 0; i < n; i++) {
        const ps_candidate_t *each = &candidates[i];
        const int64_t *probed_ms =
            g_hash_table_lookup(election->probed, each->name);
        bool is_silent = probed_ms && each->heard_ms < *probed_ms &&
                         now_ms - *probed_ms >= PS_ELECTION_PROBE_MS / 2;
        if (is_silent || PsName_IsEqual(each->name, allocator)) {
            set_avoided(election, each, true, now_ms);
        }
    }
}

void
PsElection_Avoid(ps_election_t *election, const ps_candidate_t *candidates,
                 size_t n, const ps_name_t *allocator, int64_t now_ms)
{
    for (size_t i = 0; i < n; i++) {
        if (PsName_IsEqual(candidates[i].name, allocator)) {
            set_avoided(election, &candidates[i], false, now_ms);
        }
    }
}

void
PsElection_HandleGrant(ps_election_t *election)
{
    if (g_hash_table_size(election->probed) > 0) {
        g_hash_table_remove_all(election->probed);
    }
    election->n_probes = PROBES_FIRST;
}
