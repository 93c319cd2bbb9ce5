/* queue.c - Weighted fair queuing between teams, by tier. */
#include "queue.h"

/* ---- Internal functions ----------------------------------------------- */

// Returns the queue of a team and sets its weight, which may have changed.
static ps_team_queue_t *
get_or_add_team(ps_tier_queue_t *tier, const ps_name_t *name, double weight)
{
    ps_team_queue_t *team = g_hash_table_lookup(tier->teams, name);
    if (!team) {
        team = g_new0(ps_team_queue_t, 1);
        team->name = *name;
        g_queue_init(&team->jobs);
        g_hash_table_insert(tier->teams, &team->name, team);
    }
    team->weight = weight;
    return team;
}

// Orders teams by virtual time, then by name.
static gint
compare_teams(gconstpointer left, gconstpointer right)
{
    const ps_team_queue_t *a = *(ps_team_queue_t *const *)left;
    const ps_team_queue_t *b = *(ps_team_queue_t *const *)right;
    if (a->virtual_time != b->virtual_time) {
        return a->virtual_time < b->virtual_time ? -1 : 1;
    }
    return PsName_IsEqual(&a->name, &b->name)
               ? 0
               : g_strcmp0(a->name.data, b->name.data);
}

// Returns the lowest virtual time of the active teams; the tier's own if there
// are none.
static double
min_virtual_time(const ps_tier_queue_t *tier)
{
    double min = tier->virtual_time;
    for (guint i = 0; i < tier->active->len; i++) {
        const ps_team_queue_t *team = tier->active->pdata[i];
        min = i == 0 ? team->virtual_time : MIN(min, team->virtual_time);
    }
    return min;
}

// Tells whether a team can be dropped from the table: it has nothing waiting
// and would start at the tier's virtual time anyway.
static gboolean
is_idle_team(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const ps_team_queue_t *team = value;
    const ps_tier_queue_t *tier = data;
    return team->jobs.length == 0 && team->virtual_time <= tier->virtual_time;
}

static ps_job_t *
find_first_not_held(const GQueue *jobs)
{
    GList *link = jobs->head;
    while (link && ((const ps_job_t *)link->data)->is_held) {
        link = link->next;
    }
    return link ? link->data : NULL;
}

/* ---- Public functions ------------------------------------------------- */

void
PsQueue_Init(ps_queue_t *queue)
{
    *queue = (ps_queue_t){.is_fair = true};
    for (int i = 0; i < PS_TIERS_MAX; i++) {
        ps_tier_queue_t *tier = &queue->tiers[i];
        tier->teams =
            g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
        tier->active = g_ptr_array_new();
        g_queue_init(&tier->jobs);
    }
}

void
PsQueue_Finish(ps_queue_t *queue)
{
    for (int i = 0; i < PS_TIERS_MAX; i++) {
        g_hash_table_destroy(queue->tiers[i].teams);
        g_ptr_array_free(queue->tiers[i].active, TRUE);
    }
}

void
PsQueue_Add(ps_queue_t *queue, ps_job_t *job, double weight)
{
    ps_tier_queue_t *tier = &queue->tiers[job->request.tier];
    ps_team_queue_t *team = get_or_add_team(tier, &job->request.team, weight);
    if (team->jobs.length == 0) {
        // A team gains no advantage from the time in which nothing of it
        // waited.
        team->virtual_time = MAX(team->virtual_time, min_virtual_time(tier));
        g_ptr_array_add(tier->active, team);
    }
    job->team = team;
    job->team_link = (GList){.data = job};
    job->tier_link = (GList){.data = job};
    g_queue_push_tail_link(&team->jobs, &job->team_link);
    g_queue_push_tail_link(&tier->jobs, &job->tier_link);
    team->work += job->work;
    tier->work += job->work;
    queue->len++;
}

void
PsQueue_Remove(ps_queue_t *queue, ps_job_t *job, bool charge_team)
{
    ps_tier_queue_t *tier = &queue->tiers[job->request.tier];
    ps_team_queue_t *team = job->team;
    g_queue_unlink(&team->jobs, &job->team_link);
    g_queue_unlink(&tier->jobs, &job->tier_link);
    team->work -= job->work;
    tier->work -= job->work;
    queue->len--;
    tier->virtual_time = MAX(tier->virtual_time, min_virtual_time(tier));
    if (charge_team) {
        team->virtual_time += job->work / team->weight;
    }
    job->team = NULL;
    if (team->jobs.length == 0) {
        team->work = 0;
        g_ptr_array_remove_fast(tier->active, team);
    }
    if (tier->jobs.length == 0) {
        tier->work = 0;
        g_hash_table_foreach_remove(tier->teams, is_idle_team, tier);
    }
}

int
PsQueue_GetHeads(ps_queue_t *queue, int tier_index, ps_job_t **heads, int max)
{
    ps_tier_queue_t *tier = &queue->tiers[tier_index];
    int n = 0;
    if (!queue->is_fair) {
        heads[0] = find_first_not_held(&tier->jobs);
        return heads[0] && max > 0 ? 1 : 0;
    }
    g_ptr_array_sort(tier->active, compare_teams);
    for (guint i = 0; i < tier->active->len && n < max; i++) {
        const ps_team_queue_t *team = tier->active->pdata[i];
        heads[n] = find_first_not_held(&team->jobs);
        n += heads[n] ? 1 : 0;
    }
    return n;
}

ps_job_t *
PsQueue_FindNextToShed(const ps_queue_t *queue, int tier_index)
{
    const ps_tier_queue_t *tier = &queue->tiers[tier_index];
    if (!queue->is_fair) {
        return g_queue_peek_tail((GQueue *)&tier->jobs);
    }
    const ps_team_queue_t *heaviest = NULL;
    for (guint i = 0; i < tier->active->len; i++) {
        const ps_team_queue_t *team = tier->active->pdata[i];
        if (!heaviest ||
            team->work / team->weight > heaviest->work / heaviest->weight) {
            heaviest = team;
        }
    }
    return heaviest ? heaviest->jobs.tail->data : NULL;
}

double
PsQueue_GetWorkAhead(const ps_queue_t *queue, int tier_index,
                     const ps_name_t *team_name, double weight)
{
    const ps_tier_queue_t *tier = &queue->tiers[tier_index];
    if (!queue->is_fair) {
        return tier->work;
    }
    const ps_team_queue_t *own = g_hash_table_lookup(tier->teams, team_name);
    double own_share = (own ? own->work : 0.0) / weight;
    double ahead = own ? own->work : 0.0;
    for (guint i = 0; i < tier->active->len; i++) {
        const ps_team_queue_t *team = tier->active->pdata[i];
        if (team != own) {
            ahead += MIN(team->work, own_share * team->weight);
        }
    }
    return ahead;
}
