/* changes.c - Keeping, telling and reading of changes. */
#include "changes.h"

#define KEEP_MS 3000 /* news of a name are remembered for so long */
#define KEPT_MAX 256 /* of a kind; the hash in grants finds lost ones */
#define TOLD_MS 250  /* news are told for some rounds */

/* ---- Internal functions ----------------------------------------------- */

static ps_change_header_t *
get_head(const GArray *all, guint i)
{
    guint size = g_array_get_element_size((GArray *)(uintptr_t)all);
    return (ps_change_header_t *)(void *)(all->data + (size_t)i * size);
}

// Appends news, which begin with their head, in place of older ones.
static void
keep(GArray *all, const ps_change_header_t *one)
{
    for (guint i = all->len; i-- > 0;) {
        const ps_change_header_t *each = get_head(all, i);
        if (PsName_IsEqual(&each->name, &one->name) ||
            one->recorded_ms - each->recorded_ms > KEEP_MS ||
            all->len >= KEPT_MAX) {
            g_array_remove_index(all, i);
        }
    }
    g_array_append_vals(all, one, 1);
}

static bool
is_told(const ps_change_header_t *head, int64_t now_ms)
{
    return head->is_local && now_ms - head->recorded_ms <= TOLD_MS;
}

static Ps__ServerNews *
write_server(const ps_server_change_t *each)
{
    Ps__ServerNews *message = g_new(Ps__ServerNews, 1);
    ps__server_news__init(message);
    message->name = (char *)(uintptr_t)each->registration.name.data;
    message->started_ms = each->registration.started_ms;
    message->service = (char *)(uintptr_t)each->registration.service.data;
    message->address = (char *)(uintptr_t)each->registration.address.data;
    message->domain = (char *)(uintptr_t)each->registration.domain.data;
    message->slots = (uint32_t)each->registration.slots;
    message->leaving = each->registration.is_leaving;
    message->cold_left_ms = each->registration.cold_left_ms;
    message->gone = each->header.is_removed;
    return message;
}

static Ps__MemberNews *
write_member(const ps_member_change_t *each)
{
    Ps__MemberNews *message = g_new(Ps__MemberNews, 1);
    ps__member_news__init(message);
    message->name = (char *)(uintptr_t)each->info.name.data;
    message->domain = (char *)(uintptr_t)each->info.domain.data;
    message->caller_address =
        (char *)(uintptr_t)each->info.caller_address.data;
    message->peer_address = (char *)(uintptr_t)each->info.peer_address.data;
    message->incarnation = each->info.incarnation;
    message->cpu_share = each->info.cpu_share;
    message->gone = each->header.is_removed;
    return message;
}

/* ---- Public functions ------------------------------------------------- */

void
PsChanges_Init(ps_changes_t *news)
{
    news->servers = g_array_new(FALSE, FALSE, sizeof(ps_server_change_t));
    news->members = g_array_new(FALSE, FALSE, sizeof(ps_member_change_t));
}

void
PsChanges_Finish(ps_changes_t *news)
{
    g_array_unref(news->servers);
    g_array_unref(news->members);
}

void
PsChanges_AddServer(ps_changes_t *news, const ps_registration_t *told,
                    bool is_gone, bool is_own, int64_t now_ms)
{
    ps_server_change_t one = {{told->name, is_gone, is_own, now_ms}, *told};
    keep(news->servers, &one.header);
}

void
PsChanges_AddMember(ps_changes_t *news, const ps_daemon_info_t *info,
                    bool is_gone, bool is_own, int64_t now_ms)
{
    ps_member_change_t one = {{info->name, is_gone, is_own, now_ms}, *info};
    keep(news->members, &one.header);
}

bool
PsChanges_IsServerRemoved(const ps_changes_t *news, const ps_name_t *name,
                          int64_t started_ms)
{
    for (guint i = 0; i < news->servers->len; i++) {
        const ps_server_change_t *each =
            &g_array_index(news->servers, ps_server_change_t, i);
        if (each->header.is_removed &&
            each->registration.started_ms == started_ms &&
            PsName_IsEqual(&each->header.name, name)) {
            return true;
        }
    }
    return false;
}

void
PsChanges_AddToGrant(const ps_changes_t *news, Ps__ShareGrant *grant,
                     int64_t now_ms)
{
    grant->news = g_new0(Ps__ServerNews *, news->servers->len + 1);
    for (guint i = 0; i < news->servers->len; i++) {
        if (is_told(get_head(news->servers, i), now_ms)) {
            grant->news[grant->n_news++] = write_server(
                &g_array_index(news->servers, ps_server_change_t, i));
        }
    }
    grant->member_news = g_new0(Ps__MemberNews *, news->members->len + 1);
    for (guint i = 0; i < news->members->len; i++) {
        if (is_told(get_head(news->members, i), now_ms)) {
            grant->member_news[grant->n_member_news++] = write_member(
                &g_array_index(news->members, ps_member_change_t, i));
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
PsChanges_DecodeServer(const Ps__ServerNews *message)
{
    return (ps_registration_t){.name = PsName_FromC(message->name),
                               .started_ms = message->started_ms,
                               .service = PsName_FromC(message->service),
                               .address = PsName_FromC(message->address),
                               .domain = PsName_FromC(message->domain),
                               .slots = (int)message->slots,
                               .is_leaving = message->leaving,
                               .cold_left_ms = message->cold_left_ms};
}

ps_daemon_info_t
PsChanges_DecodeMember(const Ps__MemberNews *message)
{
    return (ps_daemon_info_t){
        .name = PsName_FromC(message->name),
        .domain = PsName_FromC(message->domain),
        .caller_address = PsName_FromC(message->caller_address),
        .peer_address = PsName_FromC(message->peer_address),
        .incarnation = message->incarnation,
        .cpu_share = message->cpu_share};
}
