/*
 * pearstairctl.c - Command line tool for operators; calls the admin API.
 *
 * Exit codes: 0 done, 1 daemon not reached or call failed, 2 command line or
 * file not valid, 3 conflict: another edit came first, 4 denied: token not
 * accepted, 5 outcome of the edit unknown.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "settings.h"

#define CALL_TIMEOUT_MS 15000L /* the daemon ends an edit after 10 s */

/* ---- Types ------------------------------------------------------------ */

typedef enum ctl_exit {
    CTL_DONE,
    CTL_FAILED,
    CTL_INVALID,
    CTL_CONFLICT,
    CTL_DENIED,
    CTL_UNKNOWN
} ctl_exit_t;

typedef struct ctl_response {
    long status; /* HTTP status; 0: no complete response */
    ps_buf_t text;
    json_t *root; /* NULL: the text is not JSON */
} ctl_response_t;

typedef struct ctl_command {
    const char *name;
    int n_operands; /* after the name */
    const char *usage;
    ctl_exit_t (*run)(char **arguments);
} ctl_command_t;

/* ---- Globals ---------------------------------------------------------- */

static char *admin_address;
static char *admin_token;
static char *output_path;
static gint64 edited_version;  /* version that the file was edited from */
static gboolean has_no_config; /* --first: there is none to replace */
static gboolean as_json;
// The request described by the options of rules test.
static char *test_model;
static char *test_path;
static char *test_method;
static char *test_team;
static int test_tier;
static int test_prompt_tokens;
static gboolean test_idempotent;

static const GOptionEntry options[] = {
    {"address", 'a', 0, G_OPTION_ARG_STRING, &admin_address,
     "Admin address of any daemon", "IP:PORT"},
    {"token", 't', 0, G_OPTION_ARG_STRING, &admin_token,
     "Bearer token; default: PEARSTAIR_TOKEN of the environment", "TOKEN"},
    {"json", 'j', 0, G_OPTION_ARG_NONE, &as_json, "Print JSON", NULL},
    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &output_path,
     "get: write the configuration to a file", "FILE"},
    {"version", 'V', 0, G_OPTION_ARG_INT64, &edited_version,
     "apply: version that the file was edited from", "N"},
    {"first", 0, 0, G_OPTION_ARG_NONE, &has_no_config,
     "apply: there is no configuration yet", NULL},
    {"model", 0, 0, G_OPTION_ARG_STRING, &test_model, "rules test: model",
     "NAME"},
    {"path", 0, 0, G_OPTION_ARG_STRING, &test_path, "rules test: path",
     "PATH"},
    {"method", 0, 0, G_OPTION_ARG_STRING, &test_method,
     "rules test: HTTP method", "METHOD"},
    {"team", 0, 0, G_OPTION_ARG_STRING, &test_team, "rules test: team",
     "NAME"},
    {"tier", 0, 0, G_OPTION_ARG_INT, &test_tier, "rules test: tier", "N"},
    {"prompt-tokens", 0, 0, G_OPTION_ARG_INT, &test_prompt_tokens,
     "rules test: prompt tokens", "N"},
    {"idempotent", 0, 0, G_OPTION_ARG_NONE, &test_idempotent,
     "rules test: the request is idempotent", NULL},
    G_OPTION_ENTRY_NULL};

/* ---- HTTP ------------------------------------------------------------- */

static size_t
on_data(char *data, size_t size, size_t n, void *user)
{
    PsBuf_Append(user, data, size * n);
    return size * n;
}

static struct curl_slist *
make_headers(const char *header)
{
    char *line = g_strdup_printf("Authorization: Bearer %s",
                                 admin_token ? admin_token : "");
    struct curl_slist *headers = curl_slist_append(NULL, line);
    // Keeps curl from waiting for "100 Continue" before it sends a large body.
    headers = curl_slist_append(headers, "Expect:");
    if (header) {
        headers = curl_slist_append(headers, header);
    }
    g_free(line);
    return headers;
}

static ctl_response_t
send_request(const char *method, const char *path, const char *header,
             ps_str_t body)
{
    ctl_response_t response = {0};
    PsBuf_Init(&response.text);
    CURL *easy = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", admin_address, path);
    struct curl_slist *headers = make_headers(header);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.text);
    if (strcmp(method, "GET") != 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body.len);
        curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
                         body.data ? body.data : "");
    }
    CURLcode code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response.status);
    if (code != CURLE_OK) {
        fprintf(stderr, "pearstairctl: %s: %s\n", admin_address,
                curl_easy_strerror(code));
        response.status = 0;
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    g_free(url);
    response.root = json_loadb(response.text.data ? response.text.data : "",
                               response.text.len, 0, NULL);
    return response;
}

// Maps the HTTP status of a response to an exit code; status 0 means that
// there was no complete response.
static ctl_exit_t
get_exit_code(const ctl_response_t *response)
{
    switch (response->status) {
    case 200:
    case 202:
        return CTL_DONE;
    case 400:
    case 404:
    case 413:
    case 428:
        return CTL_INVALID;
    case 401:
        return CTL_DENIED;
    case 409:
        return CTL_CONFLICT;
    case 504:
        return CTL_UNKNOWN;
    default:
        return CTL_FAILED;
    }
}

static void
print_error(const ctl_response_t *response)
{
    const json_t *error = json_object_get(response->root, "error");
    const char *message = json_string_value(json_object_get(error, "message"));
    const json_t *current = json_object_get(error, "current_version");
    const char *keys =
        json_string_value(json_object_get(error, "differing_keys"));
    if (message) {
        fprintf(stderr, "pearstairctl: %s\n", message);
    }
    if (current) {
        fprintf(stderr,
                "pearstairctl: current version is %lld; keys that differ: "
                "%s\n",
                (long long)json_integer_value(current), keys ? keys : "");
    }
}

// Prints the response as JSON, as an error message or by @print, frees it and
// returns the exit code.
static ctl_exit_t
finish_command(ctl_response_t *response, void (*print)(const json_t *root))
{
    ctl_exit_t result = get_exit_code(response);
    if (as_json && response->text.len > 0) {
        printf("%s\n", response->text.data);
    }
    else if (result == CTL_DONE && print) {
        print(response->root);
    }
    if (result != CTL_DONE && !as_json) {
        print_error(response);
    }
    json_decref(response->root);
    PsBuf_Finish(&response->text);
    return result;
}

/* ---- Printing --------------------------------------------------------- */

// Returns a text of a JSON object; "-" when it has none, to be printed.
static const char *
get_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text ? text : "-";
}

static long long
get_number(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
print_version(const json_t *root)
{
    printf("in force from version %lld on\n", get_number(root, "version"));
}

static void
print_backends(const json_t *root)
{
    const json_t *list = json_object_get(root, "backends");
    printf("%-16s %-16s %-22s %-12s %-8s %s\n", "BACKEND", "POOL", "ADDRESS",
           "DOMAIN", "STATE", "RUNNING");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *item = json_array_get(list, i);
        const json_t *running = json_object_get(item, "running");
        printf("%-16s %-16s %-22s %-12s %-8s ", get_text(item, "name"),
               get_text(item, "pool"), get_text(item, "address"),
               get_text(item, "domain"), get_text(item, "state"));
        if (running) {
            printf("%lld\n", (long long)json_integer_value(running));
        }
        else {
            printf("-\n");
        }
    }
}

static void
print_status(const json_t *root)
{
    printf("daemon %s, failure domain %s%s, configuration %lld, %lld open "
           "requests\n",
           get_text(root, "daemon"), get_text(root, "domain"),
           json_is_true(json_object_get(root, "leaving")) ? ", leaving" : "",
           get_number(root, "config_version"),
           get_number(root, "open_requests"));
    printf("%-16s %-12s %-22s %s\n", "MEMBER", "DOMAIN", "ADDRESS", "STATE");
    const json_t *members = json_object_get(root, "members");
    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *item = json_array_get(members, i);
        printf("%-16s %-12s %-22s %s\n", get_text(item, "name"),
               get_text(item, "domain"), get_text(item, "address"),
               get_text(item, "state"));
    }
    printf("%-16s %-16s %s\n", "POOL", "OWNER", "EPOCH");
    const json_t *pools = json_object_get(root, "pools");
    for (size_t i = 0; i < json_array_size(pools); i++) {
        const json_t *item = json_array_get(pools, i);
        printf("%-16s %-16s %lld\n", get_text(item, "pool"),
               get_text(item, "owner"), get_number(item, "epoch"));
    }
}

static void
print_rule(const json_t *root)
{
    if (json_is_null(json_object_get(root, "rule"))) {
        printf("no rule matches\n");
        return;
    }
    const char *refuse = get_text(root, "refuse");
    if (*refuse && strcmp(refuse, "-") != 0) {
        printf("rule %s refuses: %s\n", get_text(root, "rule"), refuse);
        return;
    }
    printf("rule %s, pool %s\n", get_text(root, "rule"),
           get_text(root, "pool"));
}

static void
print_done(const json_t *root)
{
    (void)root;
    printf("done\n");
}

/* ---- Commands --------------------------------------------------------- */

static bool
read_file(const char *path, char **text, gsize *len)
{
    GError *error = NULL;
    if (g_file_get_contents(path, text, len, &error)) {
        return true;
    }
    fprintf(stderr, "pearstairctl: %s\n", error->message);
    g_error_free(error);
    return false;
}

// Checks a configuration file and prints the result; returns whether it is
// valid.
static bool
check_config(const char *path, const char *text, gsize len)
{
    ps_config_t config;
    ps_str_t view = {text, len};
    if (PsConfig_Parse(&config, view, 1) != PS_OK) {
        fprintf(stderr, "%s: %s\n", path, PsStatus_LastMessage());
        return false;
    }
    if (!as_json) {
        printf("%s: valid, %d pools, %d rules, %d teams\n", path,
               config.n_pools, config.rules.n_rules, config.n_teams);
    }
    PsConfig_Finish(&config);
    return true;
}

static ctl_exit_t
run_check(char **arguments)
{
    char *text;
    gsize len;
    if (!read_file(arguments[0], &text, &len)) {
        return CTL_INVALID;
    }
    bool ok = check_config(arguments[0], text, len);
    g_free(text);
    return ok ? CTL_DONE : CTL_INVALID;
}

// Replaces the configuration by a file, if the version in force is still the
// one that the file was edited from.
static ctl_exit_t
run_apply(char **arguments)
{
    char *text;
    gsize len;
    if (!has_no_config && edited_version <= 0) {
        fprintf(stderr, "pearstairctl: apply requires --version N (as printed "
                        "by get) or --first\n");
        return CTL_INVALID;
    }
    if (!read_file(arguments[0], &text, &len)) {
        return CTL_INVALID;
    }
    if (!check_config(arguments[0], text, len)) {
        g_free(text);
        return CTL_INVALID;
    }
    char *header = has_no_config ? g_strdup("If-None-Match: *")
                                 : g_strdup_printf("If-Match: %lld",
                                                   (long long)edited_version);
    ctl_response_t response =
        send_request("PUT", "/v1/config", header, (ps_str_t){text, len});
    g_free(header);
    g_free(text);
    return finish_command(&response, print_version);
}

// Prints the configuration or writes it to the output file. The version goes
// to standard error, apart from the JSON.
static void
print_config(const json_t *root)
{
    char *text = json_dumps(json_object_get(root, "config"), JSON_INDENT(2));
    if (output_path) {
        GError *error = NULL;
        if (!g_file_set_contents(output_path, text, -1, &error)) {
            fprintf(stderr, "pearstairctl: %s\n", error->message);
            g_error_free(error);
        }
    }
    else {
        printf("%s\n", text);
    }
    fprintf(stderr, "version %lld\n", get_number(root, "version"));
    free(text);
}

static ctl_exit_t
run_get(char **arguments)
{
    (void)arguments;
    ctl_response_t response =
        send_request("GET", "/v1/config", NULL, PsStr_FromC(NULL));
    return finish_command(&response, print_config);
}

static ctl_exit_t
run_rules(char **arguments)
{
    if (strcmp(arguments[0], "test") != 0) {
        fprintf(stderr, "pearstairctl: usage: rules test --model NAME ...\n");
        return CTL_INVALID;
    }
    json_t *root = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:i, s:b}", "model",
        test_model ? test_model : "", "path", test_path ? test_path : "",
        "method", test_method ? test_method : "POST", "team",
        test_team ? test_team : "default", "tier", test_tier, "prompt_tokens",
        test_prompt_tokens, "idempotent", (int)test_idempotent);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    ctl_response_t response =
        send_request("POST", "/v1/rules/test", NULL, PsStr_FromC(text));
    free(text);
    return finish_command(&response, print_rule);
}

static ctl_exit_t
run_backend(char **arguments)
{
    static const char *const states[][2] = {
        {"join", "joining"}, {"leave", "leaving"}, {"stop", "stopped"}};
    const char *state = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        if (strcmp(arguments[0], states[i][0]) == 0) {
            state = states[i][1];
        }
    }
    if (!state) {
        fprintf(stderr, "pearstairctl: usage: backend join|leave|stop NAME\n");
        return CTL_INVALID;
    }
    char *name = g_uri_escape_string(arguments[1], NULL, FALSE);
    char *path = g_strdup_printf("/v1/backends/%s?state=%s", name, state);
    ctl_response_t response =
        send_request("POST", path, NULL, PsStr_FromC(NULL));
    g_free(path);
    g_free(name);
    return finish_command(&response, print_version);
}

static ctl_exit_t
run_backends(char **arguments)
{
    (void)arguments;
    ctl_response_t response =
        send_request("GET", "/v1/backends", NULL, PsStr_FromC(NULL));
    return finish_command(&response, print_backends);
}

static ctl_exit_t
run_status(char **arguments)
{
    (void)arguments;
    ctl_response_t response =
        send_request("GET", "/v1/status", NULL, PsStr_FromC(NULL));
    return finish_command(&response, print_status);
}

static ctl_exit_t
run_drain(char **arguments)
{
    (void)arguments;
    ctl_response_t response =
        send_request("POST", "/v1/drain", NULL, PsStr_FromC(NULL));
    return finish_command(&response, print_done);
}

static const ctl_command_t commands[] = {
    {"check", 1, "check FILE", run_check},
    {"apply", 1, "apply FILE --version N", run_apply},
    {"get", 0, "get [--output FILE]", run_get},
    {"rules", 1, "rules test --model NAME ...", run_rules},
    {"backend", 2, "backend join|leave|stop NAME", run_backend},
    {"backends", 0, "backends", run_backends},
    {"status", 0, "status", run_status},
    {"drain", 0, "drain", run_drain},
};

/* ---- Program ---------------------------------------------------------- */

static const char description[] =
    "Commands:\n"
    "  check FILE                    check a configuration file\n"
    "  apply FILE --version N        replace the configuration\n"
    "  get [--output FILE]           print the configuration in force\n"
    "  rules test --model NAME ...   show which rule a request matches\n"
    "  backend join|leave|stop NAME  change a backend server's state\n"
    "  backends                      list backend servers\n"
    "  status                        show members, pools and owners\n"
    "  drain                         shut the daemon down gracefully\n\n"
    "Examples:\n"
    "  pearstairctl check examples/board.json\n"
    "  pearstairctl -a 10.0.0.1:8081 get -o now.json\n"
    "  pearstairctl -a 10.0.0.1:8081 apply now.json --version 12\n"
    "  pearstairctl -a 10.0.0.1:8081 backend leave draft-3\n"
    "  pearstairctl -a 10.0.0.1:8081 rules test --model draft --tier 0\n\n"
    "Exit codes: 0 done, 1 daemon not reached or call failed, 2 command line "
    "or file not valid, 3 conflict: another edit came first, 4 denied: token "
    "not accepted, 5 outcome of the edit unknown.";

static void
parse_arguments(int *argc, char ***argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("COMMAND ...");
    g_option_context_add_main_entries(context, options, NULL);
    g_option_context_set_summary(context,
                                 "Administers the daemons of pearstair.");
    g_option_context_set_description(context, description);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "pearstairctl: %s\n", error->message);
        exit(CTL_INVALID);
    }
    g_option_context_free(context);
    if (!admin_token) {
        admin_token = g_strdup(g_getenv("PEARSTAIR_TOKEN"));
    }
    if (!admin_address) {
        admin_address = g_strdup("127.0.0.1:8081");
    }
}

int
main(int argc, char **argv)
{
    parse_arguments(&argc, &argv);
    const ctl_command_t *command = NULL;
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, argv[1]) == 0) {
            command = &commands[i];
        }
    }
    if (!command) {
        fprintf(stderr,
                "pearstairctl: missing or unknown command; see --help\n");
        return CTL_INVALID;
    }
    if (argc - 2 != command->n_operands) {
        fprintf(stderr, "pearstairctl: usage: %s\n", command->usage);
        return CTL_INVALID;
    }
    if (!PsAddress_IsValid(admin_address)) {
        fprintf(stderr, "pearstairctl: --address must be IP:PORT\n");
        return CTL_INVALID;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return (int)command->run(argv + 2);
}
