/*
 * load_generator.c - Sends requests at a given rate and checks the answers.
 *
 * Gets the addresses of daemons from /v1/entries, as a caller does, and sends
 * requests of three tiers with Poisson arrivals, whether or not earlier ones
 * were answered (open loop). Checks that each answer is complete and belongs
 * to its request. Exits 1 when a request was lost, doubled, cut or crossed.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "http_client.h"
#include "settings.h"

#define N_TIERS 3
#define REQUEST_TIMEOUT_MS 120000 /* of one send, whatever the deadline */
#define FETCH_TIMEOUT_MS 2000     /* for the list of entries */
#define RETRY_DELAY_S 0.2         /* from a failed send to its retry */
#define WORDS_PER_KB 128 /* 8-byte filler words of a kilobyte of prompt */

/* ---- Types ------------------------------------------------------------ */

typedef enum verdict {
    VERDICT_GOOD,    /* complete and within the deadline */
    VERDICT_LATE,    /* complete, after the deadline */
    VERDICT_REFUSED, /* error answer with "ran": "no" */
    VERDICT_FAILED,  /* error answer with another "ran" */
    VERDICT_CUT,     /* the answer is not complete */
    VERDICT_CROSSED, /* the answer belongs to another request */
    VERDICT_DOUBLED, /* the service ran it more than once */
    VERDICT_LOST,    /* no answer */
    VERDICTS         /* number of verdicts */
} verdict_t;

typedef struct request {
    ps_transfer_t transfer;
    int number; /* from 0 */
    int tier;
    bool is_service;
    bool is_stream;
    int tokens;            /* of the output requested */
    int sends;             /* so far, retries included */
    ps_name_t address;     /* of the last send */
    ev_timer retry_timer;  /* delay before a retry */
    int64_t sent_us;       /* first send; monotonic, as below */
    int64_t first_byte_us; /* first byte of the answer */
    int64_t ended_us;      /* end of the last send */
    verdict_t verdict;
    ps_name_t backend; /* X-Backend of the answer */
    char code[32];     /* error code of the answer */
    ps_buf_t body;
} request_t;

/* ---- Globals ---------------------------------------------------------- */

static char *entries_address;
static char *direct_address;
static int n_requests = 30;
static double rate = 20.0; /* requests a second */
static int seed = 1;
static char *mix = "mixed";
static char *model = "draft";
static int fixed_tokens; /* 0: drawn for each request */
static int prompt_kb;    /* 0: varies with the request number */
static int retries_max;
static int deadline_ms = 20000;
static gboolean is_quiet;
static gboolean as_csv;
static gboolean without_ids;

static const GOptionEntry options[] = {
    {"entries", 0, 0, G_OPTION_ARG_STRING, &entries_address,
     "Any daemon's address for callers", "IP:PORT"},
    {"direct", 0, 0, G_OPTION_ARG_STRING, &direct_address,
     "Send to this address only", "IP:PORT"},
    {"requests", 'n', 0, G_OPTION_ARG_INT, &n_requests, "Requests", "N"},
    {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate, "Requests a second", "R"},
    {"seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed of the generated load",
     "N"},
    {"mix", 0, 0, G_OPTION_ARG_STRING, &mix, "mixed, model or service", "MIX"},
    {"model", 0, 0, G_OPTION_ARG_STRING, &model, "Model's name", "NAME"},
    {"tokens", 0, 0, G_OPTION_ARG_INT, &fixed_tokens,
     "Output tokens of each; else drawn from 4 to 200", "N"},
    {"prompt-kb", 0, 0, G_OPTION_ARG_INT, &prompt_kb,
     "Kilobytes of each prompt; else from 0 to 8, by the request number", "N"},
    {"resends", 0, 0, G_OPTION_ARG_INT, &retries_max,
     "Retries elsewhere of a request without a complete answer", "N"},
    {"deadline", 0, 0, G_OPTION_ARG_INT, &deadline_ms,
     "Deadline of each, in milliseconds", "MS"},
    {"quiet", 'q', 0, G_OPTION_ARG_NONE, &is_quiet, "Print totals only", NULL},
    {"without-ids", 0, 0, G_OPTION_ARG_NONE, &without_ids,
     "Send no Idempotency-Key", NULL},
    {"csv", 0, 0, G_OPTION_ARG_NONE, &as_csv,
     "Print each request as a CSV line", NULL},
    G_OPTION_ENTRY_NULL};

static const char *const verdict_names[VERDICTS] = {
    "good", "late", "refused", "failed", "cut", "crossed", "doubled", "lost"};

static struct ev_loop *loop;
static ps_http_client_t client;
static GPtrArray *addresses;
static request_t *requests;
static int n_ended;
static GRand *random_state;
static double refresh_s = 5.0; /* seconds between fetches of the entries */
static bool is_fetching;
static bool is_initial_fetch = true;

static void send_request(request_t *request);

/* ---- Checks of answers ------------------------------------------------ */

// Returns the word that identifies the request: the first of its prompt, and
// its Idempotency-Key. The backend servers of the tests echo it.
static ps_name_t
get_tag(const request_t *request)
{
    return PsName_Format("r%d-%d", seed, request->number);
}

// Checks that a text has just the words TAG:0 to TAG:n-1 in this order, where
// n is the number of tokens requested.
static verdict_t
classify_words(const request_t *request, const char *text)
{
    ps_name_t tag = get_tag(request);
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
    return verdict == VERDICT_GOOD && n != request->tokens ? VERDICT_CUT
                                                           : verdict;
}

static const char *
get_choice_text(const json_t *root)
{
    const json_t *choices = json_object_get(root, "choices");
    return json_string_value(
        json_object_get(json_array_get(choices, 0), "text"));
}

// Checks the events of a streamed answer: their words, and that [DONE] is the
// last one.
static verdict_t
classify_stream(const request_t *request)
{
    GString *text = g_string_new(NULL);
    char **lines = g_strsplit(request->body.data, "\n", -1);
    bool is_done_last = false;
    for (int i = 0; lines[i]; i++) {
        if (!g_str_has_prefix(lines[i], "data: ")) {
            continue;
        }
        const char *data = lines[i] + strlen("data: ");
        is_done_last = strcmp(data, "[DONE]") == 0;
        json_t *root = json_loads(data, 0, NULL);
        const char *word = get_choice_text(root);
        g_string_append(text, word ? word : "");
        json_decref(root);
    }
    verdict_t verdict = classify_words(request, text->str);
    g_strfreev(lines);
    g_string_free(text, TRUE);
    return verdict == VERDICT_GOOD && !is_done_last ? VERDICT_CUT : verdict;
}

// Checks an answer that is one JSON document. A service echoes the tag and
// counts in "run" how often it ran the request.
static verdict_t
classify_json(const request_t *request)
{
    json_t *root = json_loads(request->body.data, 0, NULL);
    verdict_t verdict = VERDICT_CUT;
    if (request->is_service) {
        const char *echo = json_string_value(json_object_get(root, "echo"));
        ps_name_t tag = get_tag(request);
        verdict = echo && strcmp(echo, tag.data) == 0 ? VERDICT_GOOD
                                                      : VERDICT_CROSSED;
        if (json_integer_value(json_object_get(root, "run")) > 1) {
            verdict = VERDICT_DOUBLED;
        }
    }
    else if (get_choice_text(root)) {
        verdict = classify_words(request, get_choice_text(root));
    }
    json_decref(root);
    return verdict;
}

// Returns the verdict on an error answer and keeps its error code.
static verdict_t
classify_error(request_t *request)
{
    json_t *root = json_loads(request->body.data, 0, NULL);
    const json_t *error = json_object_get(root, "error");
    const char *code = json_string_value(json_object_get(error, "code"));
    const char *ran = json_string_value(json_object_get(error, "ran"));
    g_strlcpy(request->code, code ? code : "?", sizeof request->code);
    verdict_t verdict =
        ran && strcmp(ran, "no") == 0 ? VERDICT_REFUSED : VERDICT_FAILED;
    json_decref(root);
    return verdict;
}

// Returns the verdict on the answer to a send.
static verdict_t
classify_response(request_t *request, ps_transfer_result_t result)
{
    // Terminates the text, also when no byte was received.
    PsBuf_Append(&request->body, "", 0);
    if (result != PS_TRANSFER_COMPLETE) {
        return request->body.len > 0 ? VERDICT_CUT : VERDICT_LOST;
    }
    if (request->transfer.status != 200) {
        return classify_error(request);
    }
    verdict_t verdict =
        request->is_stream ? classify_stream(request) : classify_json(request);
    bool is_late = request->ended_us - request->sent_us > deadline_ms * 1000LL;
    return verdict == VERDICT_GOOD && is_late ? VERDICT_LATE : verdict;
}

/* ---- Sending ---------------------------------------------------------- */

// Prints one request. The columns are its number, tier, kind, verdict, error
// code or backend server, milliseconds from its first send to the first byte
// and to the end of the answer, and the address of the last send.
static void
print_request(const request_t *request)
{
    static const char *const kinds[] = {"model", "stream", "service"};
    int kind = request->is_service ? 2 : request->is_stream;
    printf(as_csv ? "%d,%d,%s,%s,%s,%.1f,%.1f,%s\n"
                  : "%4d  tier %d  %-7s  %-8s %-16s first %7.1f ms  total "
                    "%8.1f ms  %s\n",
           request->number, request->tier, kinds[kind],
           verdict_names[request->verdict],
           *request->code ? request->code : request->backend.data,
           (double)(request->first_byte_us - request->sent_us) / 1000.0,
           (double)(request->ended_us - request->sent_us) / 1000.0,
           request->address.data);
}

static void
on_data(ps_transfer_t *transfer, const char *data, size_t len)
{
    request_t *request = transfer->user;
    if (request->first_byte_us == 0) {
        request->first_byte_us = g_get_monotonic_time();
    }
    PsBuf_Append(&request->body, data, len);
}

static void
on_retry_timer(struct ev_loop *event_loop, ev_timer *timer, int events)
{
    (void)event_loop;
    (void)events;
    send_request(timer->data);
}

// Handles the end of a send. A lost or cut answer is retried up to --resends
// times; every other end is final.
static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    request_t *request = transfer->user;
    request->ended_us = g_get_monotonic_time();
    if (request->first_byte_us == 0) {
        request->first_byte_us = request->ended_us;
    }
    request->verdict = classify_response(request, result);
    request->backend = transfer->backend;
    PsTransfer_Finish(transfer);
    bool is_incomplete =
        request->verdict == VERDICT_LOST || request->verdict == VERDICT_CUT;
    if (is_incomplete && request->sends <= retries_max) {
        PsBuf_Clear(&request->body);
        ev_timer_init(&request->retry_timer, on_retry_timer, RETRY_DELAY_S,
                      0.0);
        request->retry_timer.data = request;
        ev_timer_start(loop, &request->retry_timer);
        return;
    }
    n_ended++;
    if (!is_quiet) {
        print_request(request);
    }
    PsBuf_Finish(&request->body);
    if (n_ended == n_requests) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static const ps_transfer_events_t request_events = {.data = on_data,
                                                    .done = on_done};

// Builds the body: the tag alone for a service, else a completion request.
// Unless --prompt-kb sets the length of the prompts, it varies with the
// request number from 0 to 8 KB.
static char *
build_body(const request_t *request)
{
    ps_name_t tag = get_tag(request);
    if (request->is_service) {
        return g_strdup(tag.data);
    }
    GString *prompt = g_string_new(tag.data);
    int kb = prompt_kb > 0 ? prompt_kb : (request->number * 7) % 9;
    for (int i = 0; i < kb * WORDS_PER_KB; i++) {
        g_string_append_printf(prompt, " %07d", i);
    }
    json_t *root = json_pack("{s:s, s:s, s:i, s:b}", "model", model, "prompt",
                             prompt->str, "max_tokens", request->tokens,
                             "stream", (int)request->is_stream);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    g_string_free(prompt, TRUE);
    return text;
}

// Chooses a random address, other than @last if there are several.
static ps_name_t
choose_address(const ps_name_t *last)
{
    guint n = addresses->len;
    guint index = g_random_int() % n;
    if (n > 1 && PsName_IsEqualC(last, addresses->pdata[index])) {
        index = (index + 1 + g_random_int() % (n - 1)) % n;
    }
    return PsName_FromC(addresses->pdata[index]);
}

static void
send_request(request_t *request)
{
    char tier[8];
    char deadline[16];
    ps_name_t tag = get_tag(request);
    g_snprintf(tier, sizeof tier, "%d", request->tier);
    g_snprintf(deadline, sizeof deadline, "%d", deadline_ms);
    PsTransfer_Init(&request->transfer, &request_events, request);
    PsTransfer_AddHeader(&request->transfer, "X-Team", "load");
    PsTransfer_AddHeader(&request->transfer, "X-Tier", tier);
    PsTransfer_AddHeader(&request->transfer, "X-Deadline-Ms", deadline);
    if (!without_ids) {
        PsTransfer_AddHeader(&request->transfer, "Idempotency-Key", tag.data);
    }
    PsTransfer_AddHeader(&request->transfer, "Content-Type",
                         request->is_service ? "text/plain"
                                             : "application/json");
    char *body = build_body(request);
    request->sends++;
    request->address = choose_address(&request->address);
    char *url = g_strdup_printf("http://%s%s", request->address.data,
                                request->is_service ? "/records/note"
                                                    : "/v1/completions");
    if (request->sent_us == 0) {
        request->sent_us = g_get_monotonic_time();
    }
    PsTransfer_Start(&client, &request->transfer, "POST", url,
                     PsStr_FromC(body), REQUEST_TIMEOUT_MS, true);
    g_free(body);
    g_free(url);
}

static void
generate_request(request_t *request, int number)
{
    *request = (request_t){.number = number};
    PsBuf_Init(&request->body);
    request->tier = g_rand_int_range(random_state, 0, N_TIERS);
    bool is_mixed = strcmp(mix, "mixed") == 0;
    int kind_draw = g_rand_int_range(random_state, 0, 3);
    request->is_service =
        strcmp(mix, "service") == 0 || (is_mixed && kind_draw == 2);
    request->is_stream =
        !request->is_service && g_rand_int_range(random_state, 0, 2) == 0;
    // Log-uniform from 4 to 200 tokens.
    double drawn_tokens = 4.0 * pow(50.0, g_rand_double(random_state));
    request->tokens = fixed_tokens > 0 ? fixed_tokens : (int)drawn_tokens;
}

// Sends the next request and sets the timer for the one after it. Arrival
// times add up from the first one, so that a late timer does not lower the
// rate.
static void
on_arrival_timer(struct ev_loop *event_loop, ev_timer *timer, int events)
{
    (void)events;
    static int next;
    static double arrival_s;
    arrival_s = arrival_s > 0 ? arrival_s : ev_time();
    generate_request(&requests[next], next);
    send_request(&requests[next]);
    next++;
    if (next < n_requests) {
        arrival_s += -log(1.0 - g_rand_double(random_state)) / rate;
        ev_timer_set(timer, MAX(arrival_s - ev_time(), 0.0), 0.0);
        ev_timer_start(event_loop, timer);
    }
}

/* ---- Addresses -------------------------------------------------------- */

// Replaces the addresses by the list of entries, if one was received. The
// first fetch ends the run of the loop in fetch_addresses().
static void
on_entries_fetched(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    json_t *root =
        json_loads(transfer->body.data ? transfer->body.data : "", 0, NULL);
    const json_t *list = json_object_get(root, "entries");
    if (result == PS_TRANSFER_COMPLETE && json_array_size(list) > 0) {
        g_ptr_array_set_size(addresses, 0);
        refresh_s =
            (double)json_integer_value(json_object_get(root, "keep_ms")) /
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
    if (is_initial_fetch) {
        ev_break(loop, EVBREAK_ALL);
    }
    is_initial_fetch = false;
    is_fetching = false;
}

static const ps_transfer_events_t entries_events = {.done =
                                                        on_entries_fetched};

static void
start_entries_fetch(const char *address)
{
    static ps_transfer_t transfer;
    is_fetching = true;
    PsTransfer_Init(&transfer, &entries_events, NULL);
    char *url = g_strdup_printf("http://%s/v1/entries", address);
    PsTransfer_Start(&client, &transfer, "GET", url, PsStr_FromC(NULL),
                     FETCH_TIMEOUT_MS, true);
    g_free(url);
}

// Refreshes the list of entries, as a caller does whose list has expired.
// Without an answer, the old list stays in use.
static void
on_refresh_timer(struct ev_loop *event_loop, ev_timer *timer, int events)
{
    (void)event_loop;
    (void)timer;
    (void)events;
    if (!is_fetching) {
        start_entries_fetch(addresses->pdata[g_random_int() % addresses->len]);
    }
}

// Gets the addresses to send to: the one of --direct, or the list of entries,
// which is then refreshed at the interval that the daemons ask for.
static void
fetch_addresses(void)
{
    if (direct_address) {
        g_ptr_array_add(addresses, g_strdup(direct_address));
        return;
    }
    start_entries_fetch(entries_address);
    ev_run(loop, 0);
    static ev_timer refresh;
    ev_timer_init(&refresh, on_refresh_timer, refresh_s, refresh_s);
    ev_timer_start(loop, &refresh);
}

/* ---- Results ---------------------------------------------------------- */

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

// Prints the median and the 99th percentile of the times, in milliseconds,
// from the first send to the end of a complete answer.
static void
print_times(void)
{
    double *totals = g_new0(double, (gsize)n_requests);
    int n = 0;
    for (int i = 0; i < n_requests; i++) {
        if (requests[i].verdict <= VERDICT_LATE) {
            totals[n++] =
                (double)(requests[i].ended_us - requests[i].sent_us) / 1000.0;
        }
    }
    qsort(totals, (size_t)n, sizeof *totals, compare_doubles);
    if (n > 0) {
        printf("whole answers: median %.2f ms, 99th %.2f ms\n", totals[n / 2],
               totals[n * 99 / 100]);
    }
    g_free(totals);
}

// Prints the verdicts by tier; goodput is the part with the verdict good.
// Returns the number of requests that were lost, doubled, cut or crossed.
static int
print_totals(void)
{
    int counts[N_TIERS][VERDICTS] = {{0}};
    int n_bad = 0;
    for (int i = 0; i < n_requests; i++) {
        counts[requests[i].tier][requests[i].verdict]++;
        n_bad += requests[i].verdict >= VERDICT_CUT ? 1 : 0;
    }
    printf("tier  requests  goodput");
    for (int v = 0; v < VERDICTS; v++) {
        printf("  %8s", verdict_names[v]);
    }
    printf("\n");
    for (int t = 0; t < N_TIERS; t++) {
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
    return n_bad;
}

/* ---- Program ---------------------------------------------------------- */

static void
parse_arguments(int *argc, char ***argv)
{
    GError *error = NULL;
    GOptionContext *context =
        g_option_context_new("- sends requests and checks the answers");
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "pearstair-load: %s\n", error->message);
        exit(2);
    }
    g_option_context_free(context);
    const char *address = direct_address ? direct_address : entries_address;
    if (!address || !PsAddress_IsValid(address) || n_requests < 1 ||
        n_requests > 1000000 || !(rate > 0) || *argc > 1) {
        fprintf(stderr,
                "pearstair-load: requires --entries or --direct IP:PORT, "
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
    random_state = g_rand_new_with_seed((guint32)seed);
    fetch_addresses();
    if (addresses->len == 0) {
        fprintf(stderr, "pearstair-load: got no addresses of daemons\n");
        return 1;
    }
    requests = g_new0(request_t, (gsize)n_requests);
    ev_timer arrival_timer;
    ev_timer_init(&arrival_timer, on_arrival_timer, 0.0, 0.0);
    ev_timer_start(loop, &arrival_timer);
    ev_run(loop, 0);
    return print_totals() > 0 ? 1 : 0;
}
