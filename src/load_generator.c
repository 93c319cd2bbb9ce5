/*
 * load_generator.c - Load and experiment tool: sends requests and judges the
 * answers.
 *
 * Asks /v1/entries for addresses as a caller would, sends requests of three
 * tiers in an open loop, and checks that each answer is whole and its own.
 * Exits 1 when a request was lost, doubled, cut or crossed.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "http_client.h"
#include "settings.h"

#define TIERS 3
#define TIMEOUT_MS 120000     /* for one request, whatever its deadline */
#define FETCH_TIMEOUT_MS 2000 /* for the list of entries */
#define RESEND_PAUSE_S 0.2    /* before a request is sent again */
#define WORDS_PER_KB 128      /* filler words in a kilobyte of prompt */

/* ---- Types ------------------------------------------------------------ */

typedef enum verdict {
    VERDICT_GOOD,
    VERDICT_LATE,
    VERDICT_REFUSED, /* error answer with "ran": "no" */
    VERDICT_FAILED,  /* error answer with another "ran" */
    VERDICT_CUT,     /* the answer is not whole */
    VERDICT_CROSSED, /* the answer of another request */
    VERDICT_DOUBLED, /* the service has run it twice */
    VERDICT_LOST,    /* no answer */
    VERDICTS
} verdict_t;

typedef struct shot {
    ps_transfer_t transfer;
    int number;
    int tier;
    bool is_service;
    bool is_stream;
    int tokens;        /* expected */
    int sends;         /* times sent so far */
    ps_name_t address; /* used last */
    ev_timer again;    /* pause before it is sent again */
    int64_t sent_us;   /* first time */
    int64_t first_us;
    int64_t ended_us;
    verdict_t verdict;
    ps_name_t backend; /* as the answer names it */
    char code[32];     /* of an error answer */
    ps_buf_t body;
} shot_t;

/* ---- Globals ---------------------------------------------------------- */

static char *entries_address;
static char *direct_address;
static int n_requests = 30;
static double rate = 20.0;
static int seed = 1;
static char *mix = "mixed";
static char *model = "draft";
static int fixed_tokens;
static int prompt_kb;
static int resends;
static int deadline_ms = 20000;
static gboolean is_quiet;
static gboolean as_csv;
static gboolean without_ids;

static const GOptionEntry options[] = {
    {"entries", 0, 0, G_OPTION_ARG_STRING, &entries_address,
     "Any daemon's address for callers", "IP:PORT"},
    {"direct", 0, 0, G_OPTION_ARG_STRING, &direct_address,
     "Send to this address without asking", "IP:PORT"},
    {"requests", 'n', 0, G_OPTION_ARG_INT, &n_requests, "Requests", "N"},
    {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate, "Requests a second", "R"},
    {"seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed of all draws", "N"},
    {"mix", 0, 0, G_OPTION_ARG_STRING, &mix, "mixed, model or service", "MIX"},
    {"model", 0, 0, G_OPTION_ARG_STRING, &model, "Model's name", "NAME"},
    {"tokens", 0, 0, G_OPTION_ARG_INT, &fixed_tokens,
     "Output tokens of each; else drawn from 4 to 200", "N"},
    {"prompt-kb", 0, 0, G_OPTION_ARG_INT, &prompt_kb,
     "Kilobytes of each prompt; else drawn from 0 to 8", "N"},
    {"resends", 0, 0, G_OPTION_ARG_INT, &resends,
     "Times a request without an answer is sent again elsewhere", "N"},
    {"deadline", 0, 0, G_OPTION_ARG_INT, &deadline_ms,
     "Deadline of each, in milliseconds", "MS"},
    {"quiet", 'q', 0, G_OPTION_ARG_NONE, &is_quiet, "Print totals only", NULL},
    {"without-ids", 0, 0, G_OPTION_ARG_NONE, &without_ids,
     "Send no Idempotency-Key", NULL},
    {"csv", 0, 0, G_OPTION_ARG_NONE, &as_csv, "Print a line a request", NULL},
    G_OPTION_ENTRY_NULL};

static const char *const verdict_names[VERDICTS] = {
    "good", "late", "refused", "failed", "cut", "crossed", "doubled", "lost"};

static struct ev_loop *loop;
static ps_http_client_t client;
static GPtrArray *addresses;
static shot_t *shots;
static int n_ended;
static GRand *dice;
static double keep_s = 5.0; /* the list of entries is kept */
static bool is_fetching;
static bool is_first_fetch = true;

static void send_shot(shot_t *shot);

/* ---- Judging ---------------------------------------------------------- */

static ps_name_t
tag_of(const shot_t *shot)
{
    return PsName_Format("r%d-%d", seed, shot->number);
}

// Checks that a text holds exactly the words TAG:0 to TAG:n-1 in order.
static verdict_t
judge_words(const shot_t *shot, const char *text)
{
    ps_name_t tag = tag_of(shot);
    int n = 0;
    char **words = g_strsplit(text, " ", -1);
    verdict_t verdict = VERDICT_GOOD;
    for (int i = 0; words[i] && verdict == VERDICT_GOOD; i++) {
        if (!*words[i]) {
            continue;
        }
        ps_name_t expected = PsName_Format("%s:%d", tag.data, n++);
        if (strcmp(words[i], expected.data) != 0) {
            verdict = VERDICT_CROSSED;
        }
    }
    g_strfreev(words);
    return verdict == VERDICT_GOOD && n != shot->tokens ? VERDICT_CUT
                                                        : verdict;
}

static const char *
choice_text(const json_t *root)
{
    const json_t *choices = json_object_get(root, "choices");
    return json_string_value(
        json_object_get(json_array_get(choices, 0), "text"));
}

static verdict_t
judge_stream(const shot_t *shot)
{
    GString *text = g_string_new(NULL);
    char **lines = g_strsplit(shot->body.data, "\n", -1);
    bool is_whole = false;
    for (int i = 0; lines[i]; i++) {
        if (!g_str_has_prefix(lines[i], "data: ")) {
            continue;
        }
        const char *data = lines[i] + strlen("data: ");
        is_whole = strcmp(data, "[DONE]") == 0;
        json_t *root = json_loads(data, 0, NULL);
        const char *word = choice_text(root);
        g_string_append(text, word ? word : "");
        json_decref(root);
    }
    verdict_t verdict = judge_words(shot, text->str);
    g_strfreev(lines);
    g_string_free(text, TRUE);
    return verdict == VERDICT_GOOD && !is_whole ? VERDICT_CUT : verdict;
}

static verdict_t
judge_whole(const shot_t *shot)
{
    json_t *root = json_loads(shot->body.data, 0, NULL);
    verdict_t verdict = VERDICT_CUT;
    if (shot->is_service) {
        const char *echo = json_string_value(json_object_get(root, "echo"));
        ps_name_t tag = tag_of(shot);
        verdict = echo && strcmp(echo, tag.data) == 0 ? VERDICT_GOOD
                                                      : VERDICT_CROSSED;
        if (json_integer_value(json_object_get(root, "run")) > 1) {
            verdict = VERDICT_DOUBLED;
        }
    }
    else if (choice_text(root)) {
        verdict = judge_words(shot, choice_text(root));
    }
    json_decref(root);
    return verdict;
}

static verdict_t
judge_error(shot_t *shot)
{
    json_t *root = json_loads(shot->body.data, 0, NULL);
    const json_t *error = json_object_get(root, "error");
    const char *code = json_string_value(json_object_get(error, "code"));
    const char *ran = json_string_value(json_object_get(error, "ran"));
    g_strlcpy(shot->code, code ? code : "?", sizeof shot->code);
    verdict_t verdict =
        ran && strcmp(ran, "no") == 0 ? VERDICT_REFUSED : VERDICT_FAILED;
    json_decref(root);
    return verdict;
}

static verdict_t
judge(shot_t *shot, ps_transfer_result_t result)
{
    PsBuf_Append(&shot->body, "", 0);
    if (result != PS_TRANSFER_COMPLETE) {
        return shot->body.len > 0 ? VERDICT_CUT : VERDICT_LOST;
    }
    if (shot->transfer.status != 200) {
        return judge_error(shot);
    }
    verdict_t verdict =
        shot->is_stream ? judge_stream(shot) : judge_whole(shot);
    bool is_late = shot->ended_us - shot->sent_us > deadline_ms * 1000LL;
    return verdict == VERDICT_GOOD && is_late ? VERDICT_LATE : verdict;
}

/* ---- Sending ---------------------------------------------------------- */

static void
print_shot(const shot_t *shot)
{
    static const char *const kinds[] = {"model", "stream", "service"};
    int kind = shot->is_service ? 2 : shot->is_stream;
    printf(as_csv ? "%d,%d,%s,%s,%s,%.1f,%.1f,%s\n"
                  : "%4d  tier %d  %-7s  %-8s %-16s first %7.1f ms  total "
                    "%8.1f ms  %s\n",
           shot->number, shot->tier, kinds[kind], verdict_names[shot->verdict],
           *shot->code ? shot->code : shot->backend.data,
           (double)(shot->first_us - shot->sent_us) / 1000.0,
           (double)(shot->ended_us - shot->sent_us) / 1000.0,
           shot->address.data);
}

static void
on_data(ps_transfer_t *transfer, const char *data, size_t len)
{
    shot_t *shot = transfer->user;
    if (shot->first_us == 0) {
        shot->first_us = g_get_monotonic_time();
    }
    PsBuf_Append(&shot->body, data, len);
}

static void
on_again(struct ev_loop *on, ev_timer *timer, int events)
{
    (void)on;
    (void)events;
    send_shot(timer->data);
}

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    shot_t *shot = transfer->user;
    shot->ended_us = g_get_monotonic_time();
    if (shot->first_us == 0) {
        shot->first_us = shot->ended_us;
    }
    shot->verdict = judge(shot, result);
    shot->backend = transfer->backend;
    PsTransfer_Finish(transfer);
    bool is_open =
        shot->verdict == VERDICT_LOST || shot->verdict == VERDICT_CUT;
    if (is_open && shot->sends <= resends) {
        PsBuf_Clear(&shot->body);
        ev_timer_init(&shot->again, on_again, RESEND_PAUSE_S, 0.0);
        shot->again.data = shot;
        ev_timer_start(loop, &shot->again);
        return;
    }
    n_ended++;
    if (!is_quiet) {
        print_shot(shot);
    }
    PsBuf_Finish(&shot->body);
    if (n_ended == n_requests) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static const ps_transfer_events_t shot_events = {.data = on_data,
                                                 .done = on_done};

static char *
make_body(const shot_t *shot)
{
    ps_name_t tag = tag_of(shot);
    if (shot->is_service) {
        return g_strdup(tag.data);
    }
    GString *prompt = g_string_new(tag.data);
    int kb = prompt_kb > 0 ? prompt_kb : (shot->number * 7) % 9;
    for (int i = 0; i < kb * WORDS_PER_KB; i++) {
        g_string_append_printf(prompt, " %07d", i);
    }
    json_t *root = json_pack("{s:s, s:s, s:i, s:b}", "model", model, "prompt",
                             prompt->str, "max_tokens", shot->tokens, "stream",
                             (int)shot->is_stream);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    g_string_free(prompt, TRUE);
    return text;
}

// Draws an address other than the last one, where there is another.
static ps_name_t
pick_address(const ps_name_t *last)
{
    guint n = addresses->len;
    guint at = g_random_int() % n;
    if (n > 1 && PsName_IsEqualC(last, addresses->pdata[at])) {
        at = (at + 1 + g_random_int() % (n - 1)) % n;
    }
    return PsName_FromC(addresses->pdata[at]);
}

static void
send_shot(shot_t *shot)
{
    char tier[8];
    char deadline[16];
    ps_name_t tag = tag_of(shot);
    g_snprintf(tier, sizeof tier, "%d", shot->tier);
    g_snprintf(deadline, sizeof deadline, "%d", deadline_ms);
    PsTransfer_Init(&shot->transfer, &shot_events, shot);
    PsTransfer_AddHeader(&shot->transfer, "X-Team", "load");
    PsTransfer_AddHeader(&shot->transfer, "X-Tier", tier);
    PsTransfer_AddHeader(&shot->transfer, "X-Deadline-Ms", deadline);
    if (!without_ids) {
        PsTransfer_AddHeader(&shot->transfer, "Idempotency-Key", tag.data);
    }
    PsTransfer_AddHeader(&shot->transfer, "Content-Type",
                         shot->is_service ? "text/plain" : "application/json");
    char *body = make_body(shot);
    shot->sends++;
    shot->address = pick_address(&shot->address);
    char *url = g_strdup_printf("http://%s%s", shot->address.data,
                                shot->is_service ? "/records/note"
                                                 : "/v1/completions");
    if (shot->sent_us == 0) {
        shot->sent_us = g_get_monotonic_time();
    }
    PsTransfer_Start(&client, &shot->transfer, "POST", url, PsStr_FromC(body),
                     TIMEOUT_MS, true);
    g_free(body);
    g_free(url);
}

static void
draw_shot(shot_t *shot, int number)
{
    *shot = (shot_t){.number = number};
    PsBuf_Init(&shot->body);
    shot->tier = g_rand_int_range(dice, 0, TIERS);
    bool is_mixed = strcmp(mix, "mixed") == 0;
    int face = g_rand_int_range(dice, 0, 3);
    shot->is_service = strcmp(mix, "service") == 0 || (is_mixed && face == 2);
    shot->is_stream = !shot->is_service && g_rand_int_range(dice, 0, 2) == 0;
    double length = 4.0 * pow(50.0, g_rand_double(dice));
    shot->tokens = fixed_tokens > 0 ? fixed_tokens : (int)length;
}

static void
on_next(struct ev_loop *on, ev_timer *timer, int events)
{
    (void)events;
    static int next;
    static double due;
    due = due > 0 ? due : ev_time();
    draw_shot(&shots[next], next);
    send_shot(&shots[next]);
    next++;
    if (next < n_requests) {
        due += -log(1.0 - g_rand_double(dice)) / rate;
        ev_timer_set(timer, MAX(due - ev_time(), 0.0), 0.0);
        ev_timer_start(on, timer);
    }
}

/* ---- Addresses -------------------------------------------------------- */

static void
on_entries(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    json_t *root =
        json_loads(transfer->body.data ? transfer->body.data : "", 0, NULL);
    const json_t *list = json_object_get(root, "entries");
    if (result == PS_TRANSFER_COMPLETE && json_array_size(list) > 0) {
        g_ptr_array_set_size(addresses, 0);
        keep_s = (double)json_integer_value(json_object_get(root, "keep_ms")) /
                 1000.0;
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *address = json_string_value(
            json_object_get(json_array_get(list, i), "address"));
        if (address && PsAddress_IsValid(address)) {
            g_ptr_array_add(addresses, g_strdup(address));
        }
    }
    json_decref(root);
    PsTransfer_Finish(transfer);
    if (is_first_fetch) {
        ev_break(loop, EVBREAK_ALL);
    }
    is_first_fetch = false;
    is_fetching = false;
}

static const ps_transfer_events_t entries_events = {.done = on_entries};

static void
start_fetch(const char *address)
{
    static ps_transfer_t transfer;
    is_fetching = true;
    PsTransfer_Init(&transfer, &entries_events, NULL);
    char *url = g_strdup_printf("http://%s/v1/entries", address);
    PsTransfer_Start(&client, &transfer, "GET", url, PsStr_FromC(NULL),
                     FETCH_TIMEOUT_MS, true);
    g_free(url);
}

// Asks one of the known addresses, as a caller does whose answer is out of
// date; without an answer the old ones are kept.
static void
on_refresh(struct ev_loop *on, ev_timer *timer, int events)
{
    (void)on;
    (void)timer;
    (void)events;
    if (!is_fetching) {
        start_fetch(addresses->pdata[g_random_int() % addresses->len]);
    }
}

static void
fetch_addresses(void)
{
    if (direct_address) {
        g_ptr_array_add(addresses, g_strdup(direct_address));
        return;
    }
    start_fetch(entries_address);
    ev_run(loop, 0);
    static ev_timer refresh;
    ev_timer_init(&refresh, on_refresh, keep_s, keep_s);
    ev_timer_start(loop, &refresh);
}

/* ---- Totals ----------------------------------------------------------- */

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

static void
print_times(void)
{
    double *totals = g_new0(double, (gsize)n_requests);
    int n = 0;
    for (int i = 0; i < n_requests; i++) {
        if (shots[i].verdict <= VERDICT_LATE) {
            totals[n++] =
                (double)(shots[i].ended_us - shots[i].sent_us) / 1000.0;
        }
    }
    qsort(totals, (size_t)n, sizeof *totals, compare_doubles);
    if (n > 0) {
        printf("whole answers: median %.2f ms, 99th %.2f ms\n", totals[n / 2],
               totals[n * 99 / 100]);
    }
    g_free(totals);
}

static int
print_totals(void)
{
    int counts[TIERS][VERDICTS] = {{0}};
    int bad = 0;
    for (int i = 0; i < n_requests; i++) {
        counts[shots[i].tier][shots[i].verdict]++;
        bad += shots[i].verdict >= VERDICT_CUT ? 1 : 0;
    }
    printf("tier  requests  goodput");
    for (int v = 0; v < VERDICTS; v++) {
        printf("  %8s", verdict_names[v]);
    }
    printf("\n");
    for (int t = 0; t < TIERS; t++) {
        int sum = 0;
        for (int v = 0; v < VERDICTS; v++) {
            sum += counts[t][v];
        }
        printf("%4d  %8d  %7.3f", t, sum,
               sum > 0 ? (double)counts[t][VERDICT_GOOD] / sum : 0.0);
        for (int v = 0; v < VERDICTS; v++) {
            printf("  %8d", counts[t][v]);
        }
        printf("\n");
    }
    print_times();
    return bad;
}

/* ---- Program ---------------------------------------------------------- */

static void
parse_arguments(int *argc, char ***argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- load and experiments");
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "pearstair-load: %s\n", error->message);
        exit(2);
    }
    g_option_context_free(context);
    const char *address = direct_address ? direct_address : entries_address;
    if (!address || !PsAddress_IsValid(address) || n_requests < 1 ||
        n_requests > 1000000 || !(rate > 0) || *argc > 1) {
        fprintf(stderr, "pearstair-load: needs --entries or --direct IP:PORT, "
                        "1 to 1000000 requests and a rate above 0\n");
        exit(2);
    }
}

int
main(int argc, char **argv)
{
    parse_arguments(&argc, &argv);
    loop = ev_default_loop(EVFLAG_AUTO);
    PsHttpClient_Init(&client, loop);
    addresses = g_ptr_array_new_with_free_func(g_free);
    dice = g_rand_new_with_seed((guint32)seed);
    fetch_addresses();
    if (addresses->len == 0) {
        fprintf(stderr, "pearstair-load: no entries\n");
        return 1;
    }
    shots = g_new0(shot_t, (gsize)n_requests);
    ev_timer next;
    ev_timer_init(&next, on_next, 0.0, 0.0);
    ev_timer_start(loop, &next);
    ev_run(loop, 0);
    return print_totals() > 0 ? 1 : 0;
}
