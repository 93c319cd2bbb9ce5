/* reach_checks.c - Checks of connections, and questions to other daemons. */
#include "reach_checks.h"

#include "clock.h"
#include "events_log.h"
#include "gateway.h"

#define ASKED_MAX 3 /* daemons that are asked about a lost server */

// Longest wait for their answers: a check of theirs and the way there.
#define LOOKUP_MAX_MS 800

// Time between two checks whether a lost server is back.
#define RETURN_INTERVAL_MS 100

// An answer that comes sooner after a lost connection may have been sent
// before it.
#define ANSWER_DELAY_MS 50

/* ---- Types ------------------------------------------------------------ */

typedef struct lookup {
    ps_name_t server;
    int64_t started_ms;
    int n_asked;       // that have not answered
    bool is_unreached; // a daemon that reaches others does not reach it
    bool is_refused;   // by a check: no process listens there
    int64_t due_ms;
} lookup_t;

typedef struct question {
    ps_name_t from;
    ps_registration_t server;
    ps_registration_t other; // another server, checked too
    bool is_other_reached;
    bool is_server_lost; // its check has failed
    bool is_server_refused;
    int64_t since_ms; // the asking daemon lost the server
} question_t;

/* ---- Finding servers -------------------------------------------------- */

// Returns a server if this start of it is known; NULL: it isn't.
static ps_backend_t *
find_start(const ps_gateway_t *gateway, const ps_name_t *name,
           int64_t started_ms)
{
    ps_backend_t *backend =
        PsBackendRegistry_Find(&gateway->backend_registry, name);
    return backend && backend->registration.started_ms == started_ms ? backend
                                                                     : NULL;
}

static ps_backend_t *
find_server(const ps_gateway_t *gateway, const ps_registration_t *server)
{
    return find_start(gateway, &server->name, server->started_ms);
}

/* ---- Results ---------------------------------------------------------- */

static void
log_reach(const ps_backend_t *backend, const char *way, int64_t now_ms)
{
    const ps_server_reach_t *reach = &backend->reach;
    PsEvents_Add(
        "server.reach", "{s:s,s:s,s:s,s:I,s:I}", "name",
        backend->registration.name.data, "service",
        backend->registration.service.data, "way", way, "answered_age_ms",
        (json_int_t)(now_ms - reach->answered_ms), "lost_for_ms",
        (json_int_t)(reach->lost_ms > 0 ? now_ms - reach->lost_ms : 0));
}

// Ends the doubt about connections that were lost at a server.
// @is_server_lost: it counts as the server's failure
// @has_ended: no process listens there
static void
settle(ps_reach_checks_t *reach, ps_backend_t *backend, bool is_server_lost,
       bool has_ended, int64_t now_ms)
{
    ps_mark_crashes_t *crashes = &reach->gateway->mark_crashes;
    backend->reach.is_checking = false;
    PsMarkCrashes_Settle(crashes, &backend->registration, is_server_lost,
                         now_ms);
    if (!is_server_lost) {
        backend->unreported_outcomes.failed = 0;
        backend->unreported_outcomes.absent = 0;
    }
    if (has_ended) {
        PsMarkCrashes_HandleServerEnd(crashes, &backend->registration, now_ms);
    }
}

static void
check_unless_lost(void *user, ps_backend_t *backend)
{
    ps_reach_checks_t *reach = user;
    if (backend->reach.lost_ms == 0) {
        PsReachChecks_HandleSilence(reach, backend, PsClock_Now());
    }
}

// Uses a server by way of other daemons from now on, and checks the other
// servers, from which this daemon is probably cut off too.
static void
handle_cut(ps_reach_checks_t *reach, ps_backend_t *backend, int64_t now_ms)
{
    log_reach(backend, "other daemons", now_ms);
    PsBackend_Readmit(backend);
    backend->ejected_until_ms = 0;
    PsGateway_ForEachBackend(reach->gateway, check_unless_lost, reach);
}

static void
check_if_lost(void *user, ps_backend_t *backend)
{
    ps_reach_checks_t *reach = user;
    if (backend->reach.lost_ms > 0) {
        PsServerChecks_Add(&reach->checks, &backend->registration, 0,
                           PsClock_Now());
    }
}

static void
handle_open(ps_reach_checks_t *reach, ps_backend_t *backend, int64_t now_ms)
{
    bool was_cut_off = PsServerReach_IsCutOff(&backend->reach);
    if (PsServerReach_HandleAnswer(&backend->reach, now_ms)) {
        log_reach(backend, "own connections", now_ms);
        if (was_cut_off) {
            PsGateway_ForEachBackend(reach->gateway, check_if_lost, reach);
        }
    }
}

/* ---- Questions to other daemons --------------------------------------- */

static void
send_lookup(ps_reach_checks_t *reach, const ps_name_t *to,
            const ps_backend_t *backend, int64_t now_ms)
{
    Ps__ReachLookup message = PS__REACH_LOOKUP__INIT;
    message.server = (char *)(uintptr_t)backend->registration.name.data;
    message.started_ms = backend->registration.started_ms;
    message.lost_age_ms =
        (uint32_t)CLAMP(now_ms - backend->reach.checked_ms, 0, INT32_MAX);
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_REACH_LOOKUP;
    frame.reach_lookup = &message;
    PsPeers_Send(&reach->gateway->sharing.peers, to, &frame);
}

static void
end_lookup(ps_reach_checks_t *reach, guint i, int64_t now_ms)
{
    lookup_t lookup = g_array_index(reach->lookups, lookup_t, i);
    g_array_remove_index_fast(reach->lookups, i);
    ps_backend_t *backend =
        find_start(reach->gateway, &lookup.server, lookup.started_ms);
    if (!backend) {
        return;
    }
    if (lookup.is_unreached) {
        PsServerReach_HandlePeerAnswer(&backend->reach, false, now_ms);
        log_reach(backend, "none", now_ms);
    }
    // Without a daemon that reaches other servers, nobody knows whose fault
    // it is.
    settle(reach, backend, lookup.is_unreached,
           lookup.is_unreached && lookup.is_refused, now_ms);
}

static bool
is_asked_about(const ps_reach_checks_t *reach, const ps_backend_t *backend)
{
    const ps_registration_t *server = &backend->registration;
    for (guint i = 0; i < reach->lookups->len; i++) {
        const lookup_t *lookup = &g_array_index(reach->lookups, lookup_t, i);
        if (lookup->started_ms == server->started_ms &&
            PsName_IsEqual(&lookup->server, &server->name)) {
            return true;
        }
    }
    return false;
}

// Chooses members to ask, those that have not said that they are cut off
// first.
static size_t
choose_members(ps_reach_checks_t *reach, const ps_name_t **names, size_t max)
{
    const ps_sharing_t *sharing = &reach->gateway->sharing;
    GPtrArray *others = PsGateway_ListOthers(reach->gateway);
    GPtrArray *all = g_ptr_array_new();
    guint n_first = 0;
    for (guint i = 0; i < others->len; i++) {
        bool is_last = PsSharing_IsCutOff(sharing, others->pdata[i]);
        g_ptr_array_insert(all, is_last ? -1 : 0, others->pdata[i]);
        n_first += is_last ? 0 : 1;
    }
    g_ptr_array_unref(others);
    size_t n = MIN(max, all->len);
    for (size_t i = 0; i < n; i++) {
        // Begins with another one each time, among those that come first.
        guint at = (guint)i;
        if (i < n_first) {
            at = (guint)((i + reach->n_lookups) % n_first);
        }
        names[i] = all->pdata[at];
    }
    reach->n_lookups++;
    g_ptr_array_unref(all);
    return n;
}

// Asks other daemons whether they reach a server. A daemon without others has
// only its own evidence.
static void
ask_others(ps_reach_checks_t *reach, ps_backend_t *backend, bool is_refused,
           int64_t now_ms)
{
    lookup_t lookup = {.server = backend->registration.name,
                       .started_ms = backend->registration.started_ms,
                       .is_refused = is_refused,
                       .due_ms = now_ms + LOOKUP_MAX_MS};
    const ps_name_t *asked[ASKED_MAX];
    size_t n = choose_members(reach, asked, ASKED_MAX);
    for (size_t i = 0; i < n; i++) {
        send_lookup(reach, asked[i], backend, now_ms);
    }
    lookup.n_asked = (int)n;
    lookup.is_unreached = g_hash_table_size(reach->gateway->members) <= 1;
    g_array_append_val(reach->lookups, lookup);
    if (n == 0) {
        end_lookup(reach, reach->lookups->len - 1, now_ms);
    }
}

static void
handle_answer(ps_reach_checks_t *reach, const Ps__ReachAnswer *answer,
              int64_t now_ms)
{
    ps_name_t server = PsName_FromC(answer->server);
    for (guint i = 0; i < reach->lookups->len; i++) {
        lookup_t *lookup = &g_array_index(reach->lookups, lookup_t, i);
        if (!PsName_IsEqual(&lookup->server, &server) ||
            lookup->started_ms != answer->started_ms) {
            continue;
        }
        ps_backend_t *backend =
            find_start(reach->gateway, &server, answer->started_ms);
        lookup->n_asked--;
        lookup->is_unreached |= !answer->reached && !answer->unsure;
        lookup->is_refused |= answer->refused && !answer->unsure;
        if (backend && answer->reached) {
            g_array_remove_index_fast(reach->lookups, i);
            PsReachChecks_HandlePeerReach(reach, backend, now_ms);
        }
        else if (lookup->n_asked == 0) {
            end_lookup(reach, i, now_ms);
        }
        return;
    }
}

/* ---- Questions of other daemons --------------------------------------- */

static void
send_answer(ps_reach_checks_t *reach, const question_t *question,
            bool is_reached, bool is_unsure)
{
    Ps__ReachAnswer message = PS__REACH_ANSWER__INIT;
    message.server = (char *)(uintptr_t)question->server.name.data;
    message.started_ms = question->server.started_ms;
    message.reached = is_reached;
    message.refused = question->is_server_refused;
    message.unsure = is_unsure;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_REACH_ANSWER;
    frame.reach_answer = &message;
    PsPeers_Send(&reach->gateway->sharing.peers, &question->from, &frame);
}

typedef struct other_search {
    const ps_registration_t *except;
    const ps_backend_t *found; // that answered last
} other_search_t;

static void
find_other(void *user, ps_backend_t *backend)
{
    other_search_t *search = user;
    if (!PsName_IsEqual(&backend->registration.name, &search->except->name) &&
        backend->reach.lost_ms == 0 &&
        (!search->found ||
         backend->reach.answered_ms > search->found->reach.answered_ms)) {
        search->found = backend;
    }
}

// Answers at once if the server has answered here since the other daemon lost
// it. If not, checks it, and another server, which shows whether this daemon
// reaches any.
static void
handle_lookup(ps_reach_checks_t *reach, const ps_name_t *from,
              const Ps__ReachLookup *lookup, int64_t now_ms)
{
    ps_name_t name = PsName_FromC(lookup->server);
    const ps_backend_t *backend =
        find_start(reach->gateway, &name, lookup->started_ms);
    question_t question = {.from = *from,
                           .since_ms = now_ms - (int64_t)lookup->lost_age_ms};
    question.server.name = name;
    question.server.started_ms = lookup->started_ms;
    if (!backend) {
        send_answer(reach, &question, false, true);
        return;
    }
    if (backend->reach.answered_ms > question.since_ms) {
        send_answer(reach, &question, true, false);
        return;
    }
    question.server = backend->registration;
    other_search_t search = {&backend->registration, NULL};
    PsGateway_ForEachBackend(reach->gateway, find_other, &search);
    if (search.found &&
        PsServerChecks_Add(&reach->checks, &search.found->registration, 0,
                           now_ms)) {
        question.other = search.found->registration;
    }
    if (PsServerChecks_Add(&reach->checks, &question.server, 0, now_ms)) {
        g_array_append_val(reach->questions, question);
    }
    else {
        send_answer(reach, &question, false, true);
    }
}

// Answers the questions for which a check has shown enough.
static void
answer_questions(ps_reach_checks_t *reach, const ps_registration_t *server,
                 ps_check_result_t result)
{
    for (guint i = reach->questions->len; i-- > 0;) {
        question_t *question = &g_array_index(reach->questions, question_t, i);
        bool is_server = PsName_IsEqual(&question->server.name, &server->name);
        bool is_other = PsName_IsEqual(&question->other.name, &server->name);
        bool has_other = !PsName_IsEmpty(&question->other.name);
        if (!is_server && !is_other) {
            continue;
        }
        bool is_open = result == PS_CHECK_REACHED;
        question->is_server_lost |= is_server && !is_open;
        question->is_server_refused |= is_server && result == PS_CHECK_REFUSED;
        question->is_other_reached |= is_other && is_open;
        bool is_other_lost = is_other && !is_open;
        if ((is_server && is_open) ||
            (question->is_server_lost &&
             (!has_other || question->is_other_reached || is_other_lost))) {
            send_answer(reach, question, is_server && is_open,
                        !question->is_other_reached);
            g_array_remove_index_fast(reach->questions, i);
        }
    }
}

static bool
has_question(const ps_reach_checks_t *reach, const ps_registration_t *server)
{
    for (guint i = 0; i < reach->questions->len; i++) {
        const question_t *question =
            &g_array_index(reach->questions, question_t, i);
        if (PsName_IsEqual(&question->server.name, &server->name) ||
            PsName_IsEqual(&question->other.name, &server->name)) {
            return true;
        }
    }
    return false;
}

/* ---- Checks ----------------------------------------------------------- */

static bool
is_needed(void *user, const ps_registration_t *server)
{
    const ps_reach_checks_t *reach = user;
    const ps_backend_t *backend = find_server(reach->gateway, server);
    return has_question(reach, server) ||
           (backend &&
            (backend->reach.is_checking || backend->reach.lost_ms > 0));
}

// Handles the end of a check, or of an attempt to connect for a request.
static void
handle_result(ps_reach_checks_t *reach, ps_backend_t *backend,
              ps_check_result_t result, int64_t now_ms)
{
    bool was_checking = backend->reach.is_checking;
    if (result == PS_CHECK_REACHED) {
        handle_open(reach, backend, now_ms);
        if (was_checking) {
            settle(reach, backend, true, false, now_ms);
        }
        return;
    }
    if (PsServerReach_HandleLost(&backend->reach, now_ms)) {
        log_reach(backend, "not by own connections", now_ms);
    }
    if (was_checking && PsServerReach_IsCutOff(&backend->reach)) {
        settle(reach, backend, false, false, now_ms);
    }
    else if (was_checking && !is_asked_about(reach, backend)) {
        ask_others(reach, backend, result == PS_CHECK_REFUSED, now_ms);
    }
}

static const char *
find_path(void *user, const ps_registration_t *server)
{
    const ps_reach_checks_t *reach = user;
    const ps_catalog_t *catalog = reach->gateway->catalog;
    for (guint i = 0; catalog && i < catalog->services->len; i++) {
        const ps_service_t *service = catalog->services->pdata[i];
        if (PsName_IsEqual(&service->name, &server->service) &&
            !PsName_IsEmpty(&service->check_path)) {
            return service->check_path.data;
        }
    }
    return NULL;
}

static bool
is_own_answer(void *user, const ps_registration_t *server,
              const ps_transfer_t *transfer)
{
    const ps_reach_checks_t *reach = user;
    return reach->gateway->dialect->is_check_answer(transfer, &server->name);
}

static void
on_checked(void *user, const ps_registration_t *server,
           ps_check_result_t result)
{
    ps_reach_checks_t *reach = user;
    ps_backend_t *backend = find_server(reach->gateway, server);
    if (backend) {
        handle_result(reach, backend, result, PsClock_Now());
    }
    answer_questions(reach, server, result);
}

typedef struct return_search {
    ps_backend_t *found; // lost, and checked longest ago
} return_search_t;

static void
find_lost(void *user, ps_backend_t *backend)
{
    return_search_t *search = user;
    const ps_server_reach_t *reach = &backend->reach;
    if (reach->lost_ms > 0 && !reach->is_checking &&
        (!search->found ||
         reach->checked_ms < search->found->reach.checked_ms)) {
        search->found = backend;
    }
}

// Checks the lost server that was checked longest ago.
static void
check_return(ps_reach_checks_t *reach, int64_t now_ms)
{
    return_search_t search = {NULL};
    PsGateway_ForEachBackend(reach->gateway, find_lost, &search);
    if (search.found && now_ms - search.found->reach.checked_ms >=
                            PS_REACH_CHECK_INTERVAL_MS) {
        search.found->reach.checked_ms = now_ms;
        PsServerChecks_Add(&reach->checks, &search.found->registration, 0,
                           now_ms);
    }
}

static void
start_check(ps_reach_checks_t *reach, ps_backend_t *backend,
            int64_t interval_ms, int64_t delay_ms, int64_t now_ms)
{
    if (PsServerReach_StartCheck(&backend->reach, interval_ms, now_ms) &&
        !PsServerChecks_Add(&reach->checks, &backend->registration, delay_ms,
                            now_ms)) {
        settle(reach, backend, false, false, now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsReachChecks_Init(ps_reach_checks_t *reach, ps_gateway_t *gateway)
{
    static const ps_server_checks_events_t events = {
        is_needed, find_path, is_own_answer, on_checked};
    *reach = (ps_reach_checks_t){
        .gateway = gateway,
        .lookups = g_array_new(FALSE, FALSE, sizeof(lookup_t)),
        .questions = g_array_new(FALSE, FALSE, sizeof(question_t))};
    PsServerChecks_Init(&reach->checks, &events, reach, &gateway->http_client);
}

void
PsReachChecks_Finish(ps_reach_checks_t *reach)
{
    PsServerChecks_Finish(&reach->checks);
    g_array_unref(reach->lookups);
    g_array_unref(reach->questions);
}

void
PsReachChecks_HandleLost(ps_reach_checks_t *reach, ps_backend_t *backend,
                         int64_t now_ms)
{
    start_check(reach, backend, 0, PS_SERVER_CHECK_DELAY_MS, now_ms);
}

void
PsReachChecks_HandleSilence(ps_reach_checks_t *reach, ps_backend_t *backend,
                            int64_t now_ms)
{
    start_check(reach, backend, PS_REACH_CHECK_INTERVAL_MS, 0, now_ms);
}

void
PsReachChecks_HandleUnopened(ps_reach_checks_t *reach, ps_backend_t *backend,
                             bool is_refused, int64_t now_ms)
{
    // Asks others as after a check, unless one is in progress.
    bool was_checking = backend->reach.is_checking;
    if (was_checking ||
        PsServerReach_StartCheck(&backend->reach, PS_REACH_CHECK_INTERVAL_MS,
                                 now_ms)) {
        handle_result(reach, backend,
                      is_refused ? PS_CHECK_REFUSED : PS_CHECK_UNOPENED,
                      now_ms);
    }
    else if (PsServerReach_HandleLost(&backend->reach, now_ms)) {
        log_reach(backend, "not by own connections", now_ms);
    }
}

void
PsReachChecks_HandleAnswer(ps_reach_checks_t *reach, ps_backend_t *backend,
                           int64_t now_ms)
{
    bool is_settled = backend->reach.is_checking &&
                      now_ms - backend->reach.checked_ms >= ANSWER_DELAY_MS;
    handle_open(reach, backend, now_ms);
    if (is_settled) {
        settle(reach, backend, true, false, now_ms);
    }
}

void
PsReachChecks_HandlePeerReach(ps_reach_checks_t *reach, ps_backend_t *backend,
                              int64_t now_ms)
{
    bool is_cut =
        PsServerReach_HandlePeerAnswer(&backend->reach, true, now_ms);
    if (backend->reach.is_checking) {
        settle(reach, backend, false, false, now_ms);
    }
    if (is_cut) {
        handle_cut(reach, backend, now_ms);
    }
}

void
PsReachChecks_HandlePeerLost(ps_reach_checks_t *reach, ps_backend_t *backend,
                             int64_t now_ms)
{
    PsServerReach_HandlePeerLost(&backend->reach);
    PsReachChecks_HandleLost(reach, backend, now_ms);
}

bool
PsReachChecks_HandleFrame(ps_reach_checks_t *reach, const ps_name_t *from,
                          const Ps__Frame *frame, int64_t now_ms)
{
    if (frame->body_case == PS__FRAME__BODY_REACH_LOOKUP) {
        handle_lookup(reach, from, frame->reach_lookup, now_ms);
        return true;
    }
    if (frame->body_case == PS__FRAME__BODY_REACH_ANSWER) {
        handle_answer(reach, frame->reach_answer, now_ms);
        return true;
    }
    return false;
}

void
PsReachChecks_Run(ps_reach_checks_t *reach, int64_t now_ms)
{
    for (guint i = reach->lookups->len; i-- > 0;) {
        if (now_ms >= g_array_index(reach->lookups, lookup_t, i).due_ms) {
            end_lookup(reach, i, now_ms);
        }
    }
    if (now_ms >= reach->next_return_ms) {
        reach->next_return_ms = now_ms + RETURN_INTERVAL_MS;
        check_return(reach, now_ms);
    }
    PsServerChecks_Run(&reach->checks, now_ms);
}

bool
PsReachChecks_IsCutOff(const ps_reach_checks_t *reach)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, reach->gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const GPtrArray *backends =
            ((const ps_dispatcher_t *)value)->scheduler.backends;
        guint n_cut_off = 0;
        guint n_lost = 0;
        for (guint i = 0; i < backends->len; i++) {
            const ps_backend_t *backend = backends->pdata[i];
            n_cut_off += PsServerReach_IsCutOff(&backend->reach) ? 1 : 0;
            n_lost += backend->reach.lost_ms > 0 ? 1 : 0;
        }
        if (n_cut_off > 0 && n_lost == backends->len) {
            return true;
        }
    }
    return false;
}
