/*
 * place_baseline.c - Plug-ins: simple placements with which benchmarks compare
 * the daemon's own.
 *
 * Both choose by the servers' last load reports, which lag behind the load,
 * and place a request at once whenever a server takes new work, without regard
 * to concurrency limits and deadlines.
 */
#include "pool.h"

/* ---- Internal functions ----------------------------------------------- */

static bool
is_usable(const ps_pool_t *pool, int index, int64_t now_ms)
{
    const ps_server_t *server = &pool->servers[index];
    return server->is_listed && server->config.state == PS_SERVER_JOINING &&
           now_ms >= server->down_until_ms;
}

// Returns the running and waiting requests of the last load report; 0 for a
// server that has not reported yet.
static int
get_reported_load(const ps_server_t *server)
{
    return MAX(server->reported_running, 0) + server->reported_waiting;
}

static ps_server_choice_t
make_choice(int server)
{
    return (ps_server_choice_t){server, 0.0, 0, "baseline"};
}

static ps_server_choice_t
pick_least_reported(ps_pool_t *pool, const ps_job_t *job, int64_t now_ms)
{
    (void)job;
    int best = -1;
    for (int i = 0; i < pool->n_servers; i++) {
        if (is_usable(pool, i, now_ms) &&
            (best < 0 || get_reported_load(&pool->servers[i]) <
                             get_reported_load(&pool->servers[best]))) {
            best = i;
        }
    }
    return make_choice(best);
}

// Linear congruential generator with a fixed seed, so that the runs of a
// benchmark can be repeated.
static uint32_t
next_random(ps_pool_t *pool)
{
    pool->random_state = pool->random_state * 1664525u + 1013904223u;
    return pool->random_state >> 8;
}

// Chooses the server with the lower reported load of two random ones, which
// may be the same (power of two choices).
static ps_server_choice_t
pick_two_choices(ps_pool_t *pool, const ps_job_t *job, int64_t now_ms)
{
    (void)job;
    int usable[PS_POOL_SERVERS_MAX];
    uint32_t n = 0;
    for (int i = 0; i < pool->n_servers; i++) {
        if (is_usable(pool, i, now_ms)) {
            usable[n++] = i;
        }
    }
    if (n == 0) {
        return make_choice(-1);
    }
    int a = usable[next_random(pool) % n];
    int b = usable[next_random(pool) % n];
    bool is_a = get_reported_load(&pool->servers[a]) <=
                get_reported_load(&pool->servers[b]);
    return make_choice(is_a ? a : b);
}

/* ---- Registration ----------------------------------------------------- */

static ps_placement_t least_reported = {"least-reported", pick_least_reported,
                                        NULL};
static ps_placement_t two_choices = {"two-choices", pick_two_choices, NULL};

__attribute__((constructor)) static void
register_placements(void)
{
    PsPlacement_Register(&least_reported);
    PsPlacement_Register(&two_choices);
}
