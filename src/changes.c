/* changes.c - Recent changes and their messages in grants. */
#include "changes.h"

// Time for which changes are remembered.
#define KEEP_MS 3000

// Time for which a change is added to each grant: several rounds.
#define FORWARD_MS 250

// Most changes of servers that are remembered, and most of members. A daemon
// that misses a change notices it by the hashes of servers and members in the
// grants, and reads the store.
#define CHANGES_MAX 256

/* ---- Internal functions ----------------------------------------------- */

static ps_change_header_t *
get_header(const GArray *list, guint i)
{
    guint size = g_array_get_element_size((GArray *)(uintptr_t)list);
    return (ps_change_header_t *)(void *)(list->data + (size_t)i * size);
}

// Appends a change, which begins with its header. Drops older changes of the
// name, expired ones and, from a full list, the newest one.
static void
add_change(GArray *list, const ps_change_header_t *change)
{
    for (guint i = list->len; i-- > 0;) {
        const ps_change_header_t *each = get_header(list, i);
        if (PsName_IsEqual(&each->name, &change->name) ||
            change->recorded_ms - each->recorded_ms > KEEP_MS ||
            list->len >= CHANGES_MAX) {
            g_array_remove_index(list, i);
        }
    }
    g_array_append_vals(list, change, 1);
}

static bool
must_forward(const ps_change_header_t *header, int64_t now_ms)
{
    return header->is_local && now_ms - header->recorded_ms <= FORWARD_MS;
}

static Ps__ServerNews *
make_server_message(const ps_server_change_t *change)
{
    Ps__ServerNews *message = g_new(Ps__ServerNews, 1);
    ps__server_news__init(message);
    message->name = (char *)(uintptr_t)change->registration.name.data;
    message->started_ms = change->registration.started_ms;
    message->service = (char *)(uintptr_t)change->registration.service.data;
    message->address = (char *)(uintptr_t)change->registration.address.data;
    message->domain = (char *)(uintptr_t)change->registration.domain.data;
    message->version = (char *)(uintptr_t)change->registration.version.data;
    message->slots = (uint32_t)change->registration.slots;
    message->leaving = change->registration.is_leaving;
    message->said_leaving = change->registration.has_said_leaving;
    message->cold_left_ms = change->registration.cold_left_ms;
    message->gone = change->header.is_removed;
    return message;
}

static Ps__MemberNews *
make_member_message(const ps_member_change_t *change)
{
    Ps__MemberNews *message = g_new(Ps__MemberNews, 1);
    ps__member_news__init(message);
    message->name = (char *)(uintptr_t)change->info.name.data;
    message->domain = (char *)(uintptr_t)change->info.domain.data;
    message->caller_address =
        (char *)(uintptr_t)change->info.caller_address.data;
    message->peer_address = (char *)(uintptr_t)change->info.peer_address.data;
    message->forward_address =
        (char *)(uintptr_t)change->info.forward_address.data;
    message->incarnation = change->info.incarnation;
    message->cpu_share = change->info.cpu_share;
    message->gone = change->header.is_removed;
    return message;
}

/* ---- Public functions ------------------------------------------------- */

void
PsChanges_Init(ps_changes_t *changes)
{
    changes->servers = g_array_new(FALSE, FALSE, sizeof(ps_server_change_t));
    changes->members = g_array_new(FALSE, FALSE, sizeof(ps_member_change_t));
}

void
PsChanges_Finish(ps_changes_t *changes)
{
    g_array_unref(changes->servers);
    g_array_unref(changes->members);
}

void
PsChanges_AddServer(ps_changes_t *changes,
                    const ps_registration_t *registration, bool is_removed,
                    bool is_local, int64_t now_ms)
{
    ps_server_change_t change = {
        {registration->name, is_removed, is_local, now_ms}, *registration};
    add_change(changes->servers, &change.header);
}

void
PsChanges_AddMember(ps_changes_t *changes, const ps_daemon_info_t *info,
                    bool is_removed, bool is_local, int64_t now_ms)
{
    ps_member_change_t change = {{info->name, is_removed, is_local, now_ms},
                                 *info};
    add_change(changes->members, &change.header);
}

bool
PsChanges_IsServerRemoved(const ps_changes_t *changes, const ps_name_t *name,
                          int64_t started_ms)
{
    for (guint i = 0; i < changes->servers->len; i++) {
        const ps_server_change_t *each =
            &g_array_index(changes->servers, ps_server_change_t, i);
        if (each->header.is_removed &&
            each->registration.started_ms == started_ms &&
            PsName_IsEqual(&each->header.name, name)) {
            return true;
        }
    }
    return false;
}

void
PsChanges_AddToGrant(const ps_changes_t *changes, Ps__ShareGrant *grant,
                     int64_t now_ms)
{
    grant->news = g_new0(Ps__ServerNews *, changes->servers->len + 1);
    for (guint i = 0; i < changes->servers->len; i++) {
        if (must_forward(get_header(changes->servers, i), now_ms)) {
            grant->news[grant->n_news++] = make_server_message(
                &g_array_index(changes->servers, ps_server_change_t, i));
        }
    }
    grant->member_news = g_new0(Ps__MemberNews *, changes->members->len + 1);
    for (guint i = 0; i < changes->members->len; i++) {
        if (must_forward(get_header(changes->members, i), now_ms)) {
            grant->member_news[grant->n_member_news++] = make_member_message(
                &g_array_index(changes->members, ps_member_change_t, i));
        }
    }
}

void
PsChanges_FreeInGrant(Ps__ShareGrant *grant)
{
    for (size_t i = 0; i < grant->n_news; i++) {
        g_free(grant->news[i]);
    }
    for (size_t i = 0; i < grant->n_member_news; i++) {
        g_free(grant->member_news[i]);
    }
    g_free(grant->news);
    g_free(grant->member_news);
}

ps_registration_t
PsChanges_ParseServer(const Ps__ServerNews *message)
{
    return (ps_registration_t){.name = PsName_FromC(message->name),
                               .started_ms = message->started_ms,
                               .service = PsName_FromC(message->service),
                               .address = PsName_FromC(message->address),
                               .domain = PsName_FromC(message->domain),
                               .version = PsName_FromC(message->version),
                               .slots = (int)message->slots,
                               .is_leaving = message->leaving,
                               .has_said_leaving = message->said_leaving,
                               .cold_left_ms = message->cold_left_ms};
}

ps_daemon_info_t
PsChanges_ParseMember(const Ps__MemberNews *message)
{
    return (ps_daemon_info_t){
        .name = PsName_FromC(message->name),
        .domain = PsName_FromC(message->domain),
        .caller_address = PsName_FromC(message->caller_address),
        .peer_address = PsName_FromC(message->peer_address),
        .forward_address = PsName_FromC(message->forward_address),
        .incarnation = message->incarnation,
        .cpu_share = message->cpu_share};
}
