/* settings.c - Reads and checks the daemon's settings file. */
#include "settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* ---- Types ------------------------------------------------------------ */

typedef enum setting_kind {
    SETTING_NAME,
    SETTING_MODE,
    SETTING_ADDRESS,
    SETTING_TOKEN,
    SETTING_FLAG,
    SETTING_DURATION, /* this kind and later ones are numbers */
    SETTING_SIZE,
    SETTING_COUNT,
    SETTING_REAL /* without a unit in the value; the key's name may have it */
} setting_kind_t;

typedef struct setting {
    const char *group;
    const char *key;
    setting_kind_t kind;
    size_t offset;             /* of the field in ps_settings_t */
    const char *default_value; /* NULL: required */
    int64_t min;               /* of numbers, in the units of the field */
    int64_t max;
} setting_t;

typedef struct unit {
    const char *suffix;
    int64_t factor; /* to milliseconds or bytes */
} unit_t;

/* ---- Globals ---------------------------------------------------------- */

#define FIELD(field) offsetof(ps_settings_t, field)

static const setting_t setting_table[] = {
    {"daemon", "mode", SETTING_MODE, FIELD(mode), "pools", 0, 0},
    {"daemon", "name", SETTING_NAME, FIELD(name), NULL, 0, 0},
    {"daemon", "domain", SETTING_NAME, FIELD(domain), NULL, 0, 0},
    {"listen", "caller", SETTING_ADDRESS, FIELD(caller_address), NULL, 0, 0},
    {"listen", "admin", SETTING_ADDRESS, FIELD(admin_address), NULL, 0, 0},
    {"listen", "peer", SETTING_ADDRESS, FIELD(peer_address), NULL, 0, 0},
    {"platform", "address", SETTING_ADDRESS, FIELD(platform_address), NULL, 0,
     0},
    {"admin", "token", SETTING_TOKEN, FIELD(admin_token), NULL, 0, 0},
    {"timing", "renew", SETTING_DURATION, FIELD(renew_ms), "2s", 100, 60000},
    {"timing", "lease", SETTING_DURATION, FIELD(lease_ms), "8s", 500, 600000},
    {"timing", "heartbeat", SETTING_DURATION, FIELD(heartbeat_ms), "300ms", 20,
     10000},
    {"timing", "takeover", SETTING_DURATION, FIELD(takeover_ms), "1200ms", 100,
     60000},
    {"timing", "entries", SETTING_DURATION, FIELD(entries_ttl_ms), "5s", 100,
     600000},
    {"timing", "drain", SETTING_DURATION, FIELD(drain_ms), "10m", 100,
     86400000},
    {"timing", "id_window", SETTING_DURATION, FIELD(id_window_ms), "10m", 1000,
     86400000},
    {"timing", "ledger_batch", SETTING_DURATION, FIELD(ledger_batch_ms),
     "20ms", 1, 1000},
    {"limits", "body", SETTING_SIZE, FIELD(max_body_bytes), "4MiB", 1024,
     67108864},
    {"limits", "open_requests", SETTING_COUNT, FIELD(max_open_requests),
     "4000", 1, 100000},
    // parse_settings() requires the next two in gateway mode; pools mode does
    // not use them, so their defaults have no effect.
    {"listen", "ready", SETTING_ADDRESS, FIELD(gateway.ready_address),
     "0.0.0.0:1", 0, 0},
    {"listen", "directory", SETTING_ADDRESS, FIELD(gateway.directory_address),
     "0.0.0.0:1", 0, 0},
    {"listen", "forward", SETTING_ADDRESS, FIELD(gateway.forward_address), "",
     0, 0},
    {"gateway", "revoke_ms", SETTING_REAL, FIELD(gateway.revoke_ms), "5000",
     100, 3600000},
    {"gateway", "grace_s", SETTING_REAL, FIELD(gateway.grace_s), "8", 0, 3600},
    {"gateway", "address_life", SETTING_DURATION,
     FIELD(gateway.address_ttl_ms), "2s", 100, 600000},
    {"gateway", "address_sample", SETTING_COUNT, FIELD(gateway.address_sample),
     "0", 0, 64},
    {"gateway", "retry_ratio", SETTING_REAL, FIELD(gateway.retry_ratio), "0.2",
     0, 10},
    {"gateway", "retry_window", SETTING_REAL, FIELD(gateway.retry_window_s),
     "10", 1, 3600},
    {"gateway", "retry_slack", SETTING_REAL, FIELD(gateway.retry_slack), "50",
     0, 1000000},
    {"gateway", "quota_window", SETTING_REAL, FIELD(gateway.quota_window_s),
     "8", 1, 3600},
    {"gateway", "quota_overage", SETTING_REAL, FIELD(gateway.quota_overage),
     "0.1", 0, 10},
    {"gateway", "quota_slack", SETTING_REAL, FIELD(gateway.quota_slack), "0",
     0, 1000000000},
    {"gateway", "quota_by_bucket", SETTING_FLAG,
     FIELD(gateway.has_quota_buckets), "false", 0, 0},
    {"gateway", "first_start", SETTING_FLAG, FIELD(gateway.is_first_start),
     "false", 0, 0},
    {"gateway", "learned_limits", SETTING_FLAG, FIELD(gateway.learned_limits),
     "false", 0, 0},
    {"gateway", "rollout_exposure", SETTING_REAL,
     FIELD(gateway.rollout_exposure), "0", 0, 1},
    {"gateway", "rollout_slack", SETTING_REAL, FIELD(gateway.rollout_slack),
     "50", 0, 1000000},
    {"gateway", "rollback_ms", SETTING_REAL, FIELD(gateway.rollback_ms),
     "5000", 100, 3600000},
    {"gateway", "cpu_share", SETTING_REAL, FIELD(gateway.cpu_share), "1", 0,
     1024},
    {"gateway", "team_shares", SETTING_FLAG, FIELD(gateway.has_team_shares),
     "false", 0, 0},
    {"gateway", "planned_returns", SETTING_FLAG,
     FIELD(gateway.has_planned_returns), "false", 0, 0},
    {"gateway", "memory_mb", SETTING_REAL, FIELD(gateway.memory_mb), "0", 0,
     1048576},
};

static const unit_t duration_units[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}, {NULL, 0}};
static const unit_t size_units[] = {
    {"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {NULL, 0}};
static const unit_t count_units[] = {{"", 1}, {NULL, 0}};

/* ---- Internal functions ----------------------------------------------- */

// Returns the line number of a key, or of its section's header when @key is
// NULL; 0 when the text does not have it.
static int
find_line(const char *text, const char *group, const char *key)
{
    char **lines = g_strsplit(text, "\n", -1);
    char *section_header = g_strdup_printf("[%s]", group);
    bool is_in_section = false;
    int line_number = 0;
    for (int i = 0; lines[i] && line_number == 0; i++) {
        char *line = g_strstrip(lines[i]);
        if (line[0] == '[') {
            is_in_section = strcmp(line, section_header) == 0;
            line_number = is_in_section && !key ? i + 1 : 0;
        }
        else if (is_in_section && key && g_str_has_prefix(line, key)) {
            const char *rest = line + strlen(key);
            rest += strspn(rest, " \t");
            line_number = *rest == '=' ? i + 1 : 0;
        }
    }
    g_free(section_header);
    g_strfreev(lines);
    return line_number;
}

// Parses a whole number that ends in the suffix of one of the units.
static bool
parse_number(const char *value, const unit_t *units, int64_t *out)
{
    char *end;
    gint64 number = g_ascii_strtoll(value, &end, 10);
    if (end == value || number < 0) {
        return false;
    }
    for (const unit_t *unit = units; unit->suffix; unit++) {
        if (strcmp(end, unit->suffix) == 0 &&
            number <= G_MAXINT64 / unit->factor) {
            *out = number * unit->factor;
            return true;
        }
    }
    return false;
}

static bool
is_plain_name(const char *value)
{
    size_t len = strlen(value);
    size_t n_allowed =
        strspn(value, "abcdefghijklmnopqrstuvwxyz"
                      "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.");
    return len > 0 && len <= 40 && n_allowed == len;
}

// Parses a text value; returns what is allowed when it is not valid, else
// NULL.
static const char *
parse_text(const setting_t *setting, const char *value, ps_name_t *out)
{
    bool ok;
    const char *allowed;
    if (setting->kind == SETTING_ADDRESS) {
        ok = PsAddress_IsValid(value);
        allowed = "an address is IP:PORT, such as 10.0.0.1:8080";
    }
    else if (setting->kind == SETTING_MODE) {
        ok = strcmp(value, "pools") == 0 || strcmp(value, "gateway") == 0;
        allowed = "a mode is pools or gateway";
    }
    else if (setting->kind == SETTING_TOKEN) {
        ok = strlen(value) >= 8 && strlen(value) <= PS_NAME_MAX;
        allowed = "a token has 8 to 127 characters";
    }
    else {
        ok = is_plain_name(value);
        allowed = "a name has 1 to 40 letters, digits, '-', '_' or '.'";
    }
    *out = PsName_FromC(value);
    return ok ? NULL : allowed;
}

// Parses a whole number, duration or size; returns what is allowed when it is
// not valid, else NULL.
static const char *
parse_integer(const setting_t *setting, const char *value, int64_t *out)
{
    static char allowed[160];
    const unit_t *units = count_units;
    const char *expected = "a whole number";
    if (setting->kind == SETTING_DURATION) {
        units = duration_units;
        expected = "a duration with unit ms, s, m or h; in milliseconds";
    }
    else if (setting->kind == SETTING_SIZE) {
        units = size_units;
        expected = "a size with unit B, KiB or MiB; in bytes";
    }
    if (parse_number(value, units, out) && *out >= setting->min &&
        *out <= setting->max) {
        return NULL;
    }
    g_snprintf(allowed, sizeof allowed, "allowed is %s from %lld to %lld",
               expected, (long long)setting->min, (long long)setting->max);
    return allowed;
}

// Parses a number that may have a fraction; returns what is allowed when it is
// not valid, else NULL.
static const char *
parse_real(const setting_t *setting, const char *value, double *out)
{
    static char allowed[160];
    char *end;
    *out = g_ascii_strtod(value, &end);
    if (end != value && *end == '\0' && *out >= (double)setting->min &&
        *out <= (double)setting->max) {
        return NULL;
    }
    g_snprintf(allowed, sizeof allowed,
               "allowed is a number from %lld to %lld",
               (long long)setting->min, (long long)setting->max);
    return allowed;
}

static const char *
parse_flag(const char *value, bool *out)
{
    *out = strcmp(value, "true") == 0;
    return *out || strcmp(value, "false") == 0 ? NULL
                                               : "allowed are true and false";
}

// Parses a value of any kind into the field of ps_settings_t at @field, whose
// type follows from the kind; returns what is allowed when it is not valid,
// else NULL.
static const char *
parse_value(const setting_t *setting, const char *value, void *field)
{
    if (setting->kind == SETTING_REAL) {
        return parse_real(setting, value, field);
    }
    if (setting->kind == SETTING_FLAG) {
        return parse_flag(value, field);
    }
    return setting->kind < SETTING_DURATION
               ? parse_text(setting, value, field)
               : parse_integer(setting, value, field);
}

static ps_status_t
parse_setting(ps_settings_t *settings, const setting_t *setting,
              GKeyFile *file, const char *path, const char *text)
{
    char *value =
        g_key_file_get_string(file, setting->group, setting->key, NULL);
    int line = find_line(text, setting->group, setting->key);
    if (!value && !setting->default_value) {
        return PsStatus_Fail(PS_INVALID, "%s: section [%s]: key '%s' missing",
                             path, setting->group, setting->key);
    }
    if (!value) {
        value = g_strdup(setting->default_value);
    }
    g_strstrip(value);
    void *field = (char *)settings + setting->offset;
    const char *allowed = NULL;
    // An empty default leaves the field as it is.
    if (*value || !setting->default_value || *setting->default_value) {
        allowed = parse_value(setting, value, field);
    }
    ps_status_t status = PS_OK;
    if (allowed) {
        status =
            PsStatus_Fail(PS_INVALID, "%s:%d: [%s] %s = '%s': %s", path, line,
                          setting->group, setting->key, value, allowed);
    }
    g_free(value);
    return status;
}

// Tells whether a section has a key, or with NULL as @key whether there is
// such a section. Otherwise @allowed receives the section's keys.
static bool
is_known_key(const char *group, const char *key, GString *allowed)
{
    g_string_truncate(allowed, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(setting_table); i++) {
        const setting_t *setting = &setting_table[i];
        if (strcmp(setting->group, group) != 0) {
            continue;
        }
        if (key && strcmp(setting->key, key) == 0) {
            return true;
        }
        g_string_append_printf(allowed, " %s", setting->key);
    }
    return !key && allowed->len > 0;
}

static ps_status_t
check_section(GKeyFile *file, const char *group, const char *path,
              const char *text)
{
    GString *allowed = g_string_new(NULL);
    char **keys = g_key_file_get_keys(file, group, NULL, NULL);
    ps_status_t status = PS_OK;
    if (!is_known_key(group, NULL, allowed)) {
        status =
            PsStatus_Fail(PS_INVALID,
                          "%s:%d: unknown section [%s]; allowed are "
                          "daemon listen platform admin timing limits gateway",
                          path, find_line(text, group, NULL), group);
    }
    for (int i = 0; status == PS_OK && keys && keys[i]; i++) {
        if (!is_known_key(group, keys[i], allowed)) {
            status = PsStatus_Fail(
                PS_INVALID, "%s:%d: [%s]: unknown key '%s'; allowed are%s",
                path, find_line(text, group, keys[i]), group, keys[i],
                allowed->str);
        }
    }
    g_strfreev(keys);
    g_string_free(allowed, TRUE);
    return status;
}

static ps_status_t
check_sections(GKeyFile *file, const char *path, const char *text)
{
    char **groups = g_key_file_get_groups(file, NULL);
    ps_status_t status = PS_OK;
    for (int i = 0; status == PS_OK && groups[i]; i++) {
        status = check_section(file, groups[i], path, text);
    }
    g_strfreev(groups);
    return status;
}

static ps_status_t
parse_settings(ps_settings_t *settings, GKeyFile *file, const char *path,
               const char *text)
{
    ps_status_t status = check_sections(file, path, text);
    for (size_t i = 0; status == PS_OK && i < G_N_ELEMENTS(setting_table);
         i++) {
        status = parse_setting(settings, &setting_table[i], file, path, text);
    }
    bool has_gateway = g_key_file_has_key(file, "listen", "ready", NULL) &&
                       g_key_file_has_key(file, "listen", "directory", NULL);
    settings->is_gateway = PsName_IsEqualC(&settings->mode, "gateway");
    if (status == PS_OK && settings->is_gateway && !has_gateway) {
        status = PsStatus_Fail(PS_INVALID,
                               "%s: section [listen]: keys 'ready' and "
                               "'directory' are needed in gateway mode",
                               path);
    }
    if (status == PS_OK && settings->lease_ms < 2 * settings->renew_ms) {
        status = PsStatus_Fail(PS_INVALID,
                               "%s:%d: [timing] lease must be at least twice "
                               "renew",
                               path, find_line(text, "timing", "lease"));
    }
    return status;
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsSettings_Load(ps_settings_t *settings, const char *path)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        ps_status_t status =
            PsStatus_Fail(PS_INVALID, "%s: %s", path, error->message);
        g_error_free(error);
        return status;
    }
    // Keys with an empty default leave their fields as they are.
    *settings = (ps_settings_t){0};
    GKeyFile *file = g_key_file_new();
    ps_status_t status;
    if (!g_key_file_load_from_data(file, text, (gsize)-1, G_KEY_FILE_NONE,
                                   &error)) {
        status = PsStatus_Fail(PS_INVALID, "%s: %s", path, error->message);
        g_error_free(error);
    }
    else {
        status = parse_settings(settings, file, path, text);
    }
    g_key_file_free(file);
    g_free(text);
    return status;
}

bool
PsAddress_IsValid(const char *text)
{
    const char *colon = strrchr(text, ':');
    if (!colon || colon - text >= INET6_ADDRSTRLEN) {
        return false;
    }
    char host[INET6_ADDRSTRLEN] = {0};
    memcpy(host, text, (size_t)(colon - text));
    struct in_addr ip;
    char *end;
    long port = strtol(colon + 1, &end, 10);
    return inet_pton(AF_INET, host, &ip) == 1 && end != colon + 1 &&
           *end == '\0' && port > 0 && port < 65536;
}

void
PsAddress_Split(const ps_name_t *address, ps_name_t *host, int *port)
{
    const char *colon = strrchr(address->data, ':');
    g_assert(colon);
    *host = PsName_FromStr(
        (ps_str_t){address->data, (size_t)(colon - address->data)});
    *port = atoi(colon + 1);
}
