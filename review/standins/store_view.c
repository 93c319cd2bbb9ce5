/*
 * store_view.c - Passes calls on to a store, and shows one text of its answers
 * as another one.
 *
 * Usage: review-store-view IP:PORT STORE FROM TO
 * What the store's stand-in can't hold, since it keeps parsed values, is shown
 * by this in place of FROM in all bodies: a number of more than 64 bits, say.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

static const char *store_address;
static const char *shown_from;
static const char *shown_to;

typedef struct answer {
    GString *body;
    char era[32];
} answer_t;

static size_t
on_body(char *data, size_t size, size_t n, void *user)
{
    g_string_append_len(((answer_t *)user)->body, data, (gssize)(size * n));
    return size * n;
}

static size_t
on_header(char *data, size_t size, size_t n, void *user)
{
    answer_t *answer = user;
    if (size * n > 11 && g_ascii_strncasecmp(data, "Store-Era: ", 11) == 0) {
        g_snprintf(answer->era, sizeof answer->era, "%d", atoi(data + 11));
    }
    return size * n;
}

static enum MHD_Result
add_argument(void *user, enum MHD_ValueKind kind, const char *key,
             const char *value)
{
    (void)kind;
    GString *url = user;
    g_string_append_printf(url, "%c%s=%s", strchr(url->str, '?') ? '&' : '?',
                           key, value ? value : "");
    return MHD_YES;
}

static enum MHD_Result
handle_request(standin_request_t *request)
{
    CURL *easy = curl_easy_init();
    GString *url = g_string_new(NULL);
    g_string_printf(url, "http://%s%s", store_address, request->path);
    MHD_get_connection_values(request->connection, MHD_GET_ARGUMENT_KIND,
                              add_argument, url);
    answer_t answer = {.body = g_string_new(NULL)};
    curl_easy_setopt(easy, CURLOPT_URL, url->str);
    if (strcmp(request->method, "GET") != 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         (long)request->body.len);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         request->body.len > 0 ? request->body.data : "");
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    long status = 0;
    curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    g_string_replace(answer.body, shown_from, shown_to, 0);
    const char *headers[] = {"Store-Era", answer.era, NULL};
    enum MHD_Result result =
        status == 0 ? MHD_NO
                    : Standin_SendText(request, (unsigned)status,
                                       answer.body->str,
                                       *answer.era ? headers : NULL);
    g_string_free(answer.body, TRUE);
    g_string_free(url, TRUE);
    return result;
}

int
main(int argc, char **argv)
{
    if (argc != 5) {
        fprintf(stderr, "usage: review-store-view IP:PORT STORE FROM TO\n");
        return 2;
    }
    store_address = argv[2];
    shown_from = argv[3];
    shown_to = argv[4];
    curl_global_init(CURL_GLOBAL_ALL);
    Standin_RunServer(argv[1], handle_request);
    return 0;
}
