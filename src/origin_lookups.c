/* origin_lookups.c - Messages about the origins of streams. */
#include "origin_lookups.h"

#include "exchange.h"
#include "origin_records.h"

// Request that probes ask for.
#define NO_REQUEST 0

/* ---- Internal functions ----------------------------------------------- */

static void
send_lookup(ps_gateway_t *gateway, const ps_name_t *to, uint64_t request)
{
    Ps__OriginLookup lookup = PS__ORIGIN_LOOKUP__INIT;
    lookup.request = request;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_ORIGIN_LOOKUP;
    frame.origin_lookup = &lookup;
    PsPeers_Send(&gateway->sharing.peers, to, &frame);
}

// Chooses other members for a request's record, without those that are silent.
static size_t
choose_holders(const ps_gateway_t *gateway, uint64_t request,
               const ps_name_t **holders, size_t max)
{
    GPtrArray *names = PsGateway_ListOthers(gateway);
    size_t n = PsStreamOrigins_ChooseHolders(request, names, holders, max);
    g_ptr_array_unref(names);
    return n;
}

// Passes an origin to the exchange that waits for it. One that is not known is
// passed on too.
static void
handle_origin(ps_gateway_t *gateway, const ps_name_t *from,
              const Ps__StreamOrigin *origin, int64_t now_ms)
{
    if (origin->version != 0) {
        PsStreamOrigins_Add(&gateway->stream_origins, origin->request,
                            origin->version, now_ms);
        ps_origin_t known = {origin->request, origin->version};
        PsOriginRecords_Take(gateway, &known, now_ms);
    }
    GList *l = gateway->exchanges.head;
    while (l) {
        // An exchange that ends may end others, whose slots it frees.
        bool has_changed = PsExchange_HandleOrigin(
            l->data, origin->request, origin->version, from, now_ms);
        l = has_changed ? gateway->exchanges.head : l->next;
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsOriginLookups_SendOrigin(ps_gateway_t *gateway, const ps_name_t *to,
                           uint64_t request, uint64_t version)
{
    Ps__StreamOrigin origin = PS__STREAM_ORIGIN__INIT;
    origin.request = request;
    origin.version = version;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_STREAM_ORIGIN;
    frame.stream_origin = &origin;
    PsPeers_Send(&gateway->sharing.peers, to, &frame);
}

void
PsOriginLookups_Record(ps_gateway_t *gateway, const ps_name_t *request_id,
                       uint64_t version, int64_t now_ms)
{
    uint64_t request = PsStreamOrigins_HashId(request_id);
    PsStreamOrigins_Add(&gateway->stream_origins, request, version, now_ms);
    PsOriginRecords_Tell(gateway, request, version, now_ms);
    const ps_name_t *holders[PS_ORIGIN_HOLDERS];
    size_t n = choose_holders(gateway, request, holders, PS_ORIGIN_HOLDERS);
    for (size_t i = 0; i < n; i++) {
        PsOriginLookups_SendOrigin(gateway, holders[i], request, version);
    }
}

int
PsOriginLookups_Ask(ps_gateway_t *gateway, uint64_t request)
{
    const ps_name_t *holders[PS_ORIGIN_ASKED];
    size_t n = choose_holders(gateway, request, holders, PS_ORIGIN_ASKED);
    for (size_t i = 0; i < n; i++) {
        send_lookup(gateway, holders[i], request);
    }
    return (int)n;
}

void
PsOriginLookups_Probe(ps_gateway_t *gateway, const ps_name_t *member)
{
    send_lookup(gateway, member, NO_REQUEST);
}

bool
PsOriginLookups_HandleFrame(ps_gateway_t *gateway, const ps_name_t *from,
                            const Ps__Frame *frame, int64_t now_ms)
{
    if (frame->body_case == PS__FRAME__BODY_ORIGIN_LOOKUP) {
        uint64_t request = frame->origin_lookup->request;
        PsOriginLookups_SendOrigin(
            gateway, from, request,
            PsStreamOrigins_Find(&gateway->stream_origins, request, now_ms));
        return true;
    }
    if (frame->body_case == PS__FRAME__BODY_STREAM_ORIGIN) {
        if (frame->stream_origin->request != NO_REQUEST) {
            handle_origin(gateway, from, frame->stream_origin, now_ms);
        }
        return true;
    }
    return false;
}
