/* caller_request.c - Parses and checks callers' requests. */
#include "caller_request.h"

#include <string.h>
#include <xxhash.h>

#define TEAM_DEFAULT "default"
#define TEAM_MAX 40              /* characters of an X-Team header */
#define KEY_MAX 80               /* characters of an Idempotency-Key header */
#define DEADLINE_MAX_MS 86400000 /* largest X-Deadline-Ms header: one day */

/* ---- Internal functions ----------------------------------------------- */

// Tells whether a text has 1 to @max visible ASCII characters, none of them a
// quotation mark or a backslash, so that it needs no escapes in JSON.
static bool
is_visible_text(const char *text, size_t max)
{
    size_t len = strlen(text);
    for (size_t i = 0; i < len; i++) {
        if (text[i] <= ' ' || text[i] > '~' || text[i] == '"' ||
            text[i] == '\\') {
            return false;
        }
    }
    return len > 0 && len <= max;
}

// Parses a header with a whole number. Returns false if it is malformed or out
// of range. Without the header @value is unchanged.
static bool
parse_number_header(const ps_http_request_t *request, const char *name,
                    int64_t min, int64_t max, int64_t *value)
{
    const char *text = PsHttpRequest_GetHeader(request, name);
    if (!text) {
        return true;
    }
    gint64 number;
    if (!g_ascii_string_to_signed(text, 10, min, max, &number, NULL)) {
        return false;
    }
    *value = number;
    return true;
}

static bool
is_model_path(const ps_http_request_t *request)
{
    ps_name_t path = PsHttpRequest_GetPath(request);
    return PsName_IsEqualC(&path, "/v1/completions") ||
           PsName_IsEqualC(&path, "/v1/chat/completions");
}

// Joins the roles and contents of chat messages into one prompt.
static bool
join_messages(const json_t *messages, ps_buf_t *prompt)
{
    for (size_t i = 0; i < json_array_size(messages); i++) {
        const json_t *item = json_array_get(messages, i);
        const char *role = json_string_value(json_object_get(item, "role"));
        const char *text = json_string_value(json_object_get(item, "content"));
        if (!role || !text) {
            return false;
        }
        PsBuf_AppendFormat(prompt, "%s\n%s\n", role, text);
    }
    return json_array_size(messages) > 0;
}

static void
set_prompt(ps_grant_request_t *grant_request, ps_str_t prompt)
{
    grant_request->prompt_tokens =
        (uint32_t)(prompt.len / PS_BYTES_PER_TOKEN) + 1;
    PsGrantRequest_HashPrompt(grant_request, prompt);
}

// Parses the fields of a model request. Returns NULL, or the error message.
static const char *
parse_model_request(ps_caller_exchange_t *exchange, const json_t *root,
                    bool is_chat)
{
    ps_grant_request_t *grant_request = &exchange->call.request;
    const char *model = json_string_value(json_object_get(root, "model"));
    const json_t *prompt = json_object_get(root, "prompt");
    const json_t *messages = json_object_get(root, "messages");
    const json_t *max_tokens = json_object_get(root, "max_tokens");
    const json_t *stream = json_object_get(root, "stream");
    if (!model || !is_visible_text(model, 40)) {
        return "'model' takes 1 to 40 visible characters";
    }
    if (max_tokens &&
        (!json_is_integer(max_tokens) || json_integer_value(max_tokens) < 1 ||
         json_integer_value(max_tokens) > 10000000)) {
        return "'max_tokens' takes a whole number above 0";
    }
    if (stream && !json_is_boolean(stream)) {
        return "'stream' takes true or false";
    }
    grant_request->model = PsName_FromC(model);
    grant_request->max_tokens = (uint32_t)json_integer_value(max_tokens);
    exchange->wants_stream = json_is_true(stream);
    ps_buf_t joined;
    PsBuf_Init(&joined);
    bool ok = true;
    if (is_chat) {
        ok = json_is_array(messages) && join_messages(messages, &joined);
        set_prompt(grant_request, PsBuf_View(&joined));
    }
    else if (json_is_string(prompt)) {
        set_prompt(grant_request, (ps_str_t){json_string_value(prompt),
                                             json_string_length(prompt)});
    }
    else {
        ok = false;
    }
    PsBuf_Finish(&joined);
    if (!ok) {
        return is_chat ? "'messages' takes a list of objects with 'role' and "
                         "'content' texts"
                       : "'prompt' takes a text";
    }
    return NULL;
}

static const char *
parse_model_body(ps_caller_exchange_t *exchange)
{
    ps_http_request_t *request = exchange->request;
    json_error_t error;
    json_t *root = json_loadb(request->body.data ? request->body.data : "",
                              request->body.len, 0, &error);
    if (!json_is_object(root)) {
        json_decref(root);
        return "the body is not a JSON object";
    }
    bool is_chat = strstr(request->path.data, "/chat/") != NULL;
    const char *message = parse_model_request(exchange, root, is_chat);
    json_decref(root);
    return message;
}

// Parses team, id, tier and deadline. Returns NULL, or the error message.
static const char *
parse_headers(ps_caller_exchange_t *exchange, int64_t *tier,
              int64_t *deadline_ms)
{
    ps_grant_request_t *grant_request = &exchange->call.request;
    const char *team = PsHttpRequest_GetHeader(exchange->request, "X-Team");
    const char *key =
        PsHttpRequest_GetHeader(exchange->request, "Idempotency-Key");
    if (team && !is_visible_text(team, TEAM_MAX)) {
        return "X-Team takes 1 to 40 visible characters";
    }
    if (key && !is_visible_text(key, KEY_MAX)) {
        return "Idempotency-Key takes 1 to 80 visible characters";
    }
    if (!parse_number_header(exchange->request, "X-Tier", 0, PS_TIERS_MAX - 1,
                             tier)) {
        return "X-Tier takes a whole number from 0 to 7";
    }
    if (!parse_number_header(exchange->request, "X-Deadline-Ms", 1,
                             DEADLINE_MAX_MS, deadline_ms)) {
        return "X-Deadline-Ms takes milliseconds from 1 to 86400000";
    }
    grant_request->team = PsName_FromC(team ? team : TEAM_DEFAULT);
    if (key) {
        grant_request->id =
            PsName_Format("%s/%s", grant_request->team.data, key);
    }
    return NULL;
}

// Hashes path and body, by which content that crashes servers is recognized.
static uint64_t
hash_content(const ps_http_request_t *request)
{
    uint64_t seed = XXH3_64bits(request->path.data, request->path.len);
    return XXH3_64bits_withSeed(request->body.data ? request->body.data : "",
                                request->body.len, seed);
}

/* ---- Public functions ------------------------------------------------- */

const char *
PsCallerRequest_Parse(ps_caller_exchange_t *exchange, int64_t *tier,
                      int64_t *deadline_ms)
{
    ps_http_request_t *request = exchange->request;
    exchange->is_model_request =
        is_model_path(request) && PsName_IsEqualC(&request->method, "POST");
    const char *message = parse_headers(exchange, tier, deadline_ms);
    if (!message && exchange->is_model_request) {
        message = parse_model_body(exchange);
    }
    exchange->call.request.content_hash = hash_content(request);
    return message;
}
