/* rollout_use.c - A daemon's knowledge of an order and what it reports. */
#include "rollout_use.h"

// Time for which a version that turns up beside another one is not used
// without an order that names it. Orders are known within a second.
#define HOLD_MS 10000

#define RUN_MARGIN 1.1 /* on the time that a request is expected to run */

// Samples that are dropped at once when the record is full.
#define DROPPED_ANSWERS (PS_ROLLOUT_ANSWERS_KEPT / 4)

void
PsRolloutUse_Finish(ps_rollout_use_t *use)
{
    if (use->answers) {
        g_array_unref(use->answers);
        use->answers = NULL;
    }
}

void
PsRolloutUse_SetOrder(ps_rollout_use_t *use, uint64_t order, uint64_t target,
                      ps_rollout_step_t step)
{
    if (order == use->order) {
        if (use->step < PS_ROLLOUT_DONE) {
            use->step = MAX(use->step, step);
        }
        return;
    }
    if (use->order != 0 && use->target != target &&
        use->step != PS_ROLLOUT_DONE) {
        use->blocked = use->target;
    }
    use->blocked = use->blocked == target ? 0 : use->blocked;
    use->is_removed = false;
    use->order = order;
    use->target = target;
    use->step = step;
    use->arrived = 0;
    use->sent = 0;
    use->limit = 0;
    use->limit_until_ms = 0;
    use->first_answer = 0;
    use->next_report = 0;
    if (!use->answers) {
        use->answers = g_array_new(FALSE, FALSE, sizeof(ps_rollout_answer_t));
    }
    g_array_set_size(use->answers, 0);
}

void
PsRolloutUse_HandleRemoval(ps_rollout_use_t *use)
{
    use->is_removed = true;
    if (use->step < PS_ROLLOUT_DONE) {
        use->step = PS_ROLLOUT_BACK;
    }
}

void
PsRolloutUse_SetLimit(ps_rollout_use_t *use, uint64_t limit, int64_t until_ms)
{
    use->limit = limit;
    use->limit_until_ms = until_ms;
}

static ps_known_version_t *
find_version(ps_rollout_use_t *use, uint64_t version)
{
    for (int i = 0; i < use->n_versions; i++) {
        if (use->versions[i].version == version) {
            return &use->versions[i];
        }
    }
    return NULL;
}

void
PsRolloutUse_SetVersions(ps_rollout_use_t *use, const uint64_t *versions,
                         int n, int64_t now_ms)
{
    for (int i = 0; i < use->n_versions; i++) {
        use->versions[i].is_present = false;
    }
    for (int i = 0; i < n; i++) {
        ps_known_version_t *known = find_version(use, versions[i]);
        if (known) {
            known->is_present = true;
        }
        else if (use->n_versions < PS_ROLLOUT_VERSIONS_MAX) {
            use->versions[use->n_versions++] =
                (ps_known_version_t){versions[i], now_ms, true};
        }
    }
    int kept = 0;
    for (int i = 0; i < use->n_versions; i++) {
        if (use->versions[i].is_present) {
            use->versions[kept++] = use->versions[i];
        }
    }
    use->n_versions = kept;
    if (use->is_removed && kept <= 1) {
        use->order = 0;
        use->is_removed = false;
    }
}

// Tells whether servers of another version than this one take new work.
static bool
has_other_version(const ps_rollout_use_t *use, uint64_t version)
{
    for (int i = 0; i < use->n_versions; i++) {
        if (use->versions[i].version != version) {
            return true;
        }
    }
    return false;
}

// Tells whether a version is held back as it has turned up beside another
// one, and its order may not be known yet. Versions that were there when this
// daemon first saw the service are not.
static bool
is_held(const ps_rollout_use_t *use, uint64_t version, int64_t now_ms)
{
    int64_t oldest_ms = INT64_MAX;
    int64_t seen_ms = INT64_MAX; // not known yet
    for (int i = 0; i < use->n_versions; i++) {
        oldest_ms = MIN(oldest_ms, use->versions[i].seen_ms);
        if (use->versions[i].version == version) {
            seen_ms = use->versions[i].seen_ms;
        }
    }
    return oldest_ms < seen_ms && now_ms - oldest_ms >= 0 &&
           (seen_ms == INT64_MAX || now_ms - seen_ms < HOLD_MS);
}

// Tells whether a request is one of those that go to the target in this step.
// In the last step these are the ones that would not end at an old server
// before it stops.
static bool
is_chosen(const ps_rollout_use_t *use, const ps_rollout_request_t *request,
          int64_t now_ms)
{
    if (use->step == PS_ROLLOUT_LAST) {
        return (double)now_ms + request->run_ms * RUN_MARGIN >=
               (double)use->done_ms;
    }
    for (int i = 0; i < use->n_held_routes; i++) {
        if (use->held_routes[i] == request->route) {
            return false;
        }
    }
    return true;
}

bool
PsRolloutUse_IsExcluded(const ps_rollout_use_t *use, uint64_t version,
                        int64_t now_ms)
{
    if (!use->is_on || !has_other_version(use, version)) {
        return false;
    }
    if (use->order == 0) {
        return version == use->blocked || is_held(use, version, now_ms);
    }
    bool is_target = version == use->target;
    // At PS_ROLLOUT_DONE the old servers stop without draining.
    return version == use->blocked ||
           (use->step == PS_ROLLOUT_BACK && is_target) ||
           (use->step == PS_ROLLOUT_DONE && !is_target);
}

bool
PsRolloutUse_MayPlace(const ps_rollout_use_t *use,
                      const ps_rollout_request_t *request, uint64_t version,
                      int64_t now_ms)
{
    if (PsRolloutUse_IsExcluded(use, version, now_ms)) {
        return false;
    }
    return !PsRolloutUse_Prefers(use, version) ||
           !has_other_version(use, version) ||
           (use->sent < use->limit && now_ms < use->limit_until_ms &&
            is_chosen(use, request, now_ms));
}

bool
PsRolloutUse_Prefers(const ps_rollout_use_t *use, uint64_t version)
{
    return use->is_on && PsRolloutUse_IsRunning(use) && version == use->target;
}

bool
PsRolloutUse_IsRunning(const ps_rollout_use_t *use)
{
    return use->order != 0 && use->step < PS_ROLLOUT_DONE;
}

void
PsRolloutUse_AddArrival(ps_rollout_use_t *use)
{
    use->arrived += use->order != 0 ? 1 : 0;
}

void
PsRolloutUse_AddStart(ps_rollout_use_t *use, uint64_t version)
{
    use->sent += use->order != 0 && version == use->target ? 1 : 0;
}

void
PsRolloutUse_AddAnswer(ps_rollout_use_t *use,
                       const ps_rollout_answer_t *answer)
{
    if (!PsRolloutUse_IsRunning(use)) {
        return;
    }
    if (use->answers->len >= PS_ROLLOUT_ANSWERS_KEPT) {
        g_array_remove_range(use->answers, 0, DROPPED_ANSWERS);
        use->first_answer += DROPPED_ANSWERS;
        use->next_report = MAX(use->next_report, use->first_answer);
    }
    g_array_append_val(use->answers, *answer);
}
