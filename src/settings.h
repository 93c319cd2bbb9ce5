/*
 * settings.h - The daemon's settings file.
 *
 * INI, read with GKeyFile and checked whole: an unknown section or key, a
 * missing key or a value without a valid unit is refused with file, line, key
 * and what is allowed.
 */
#ifndef PS_SETTINGS_H
#define PS_SETTINGS_H

#include "status.h"
#include "str.h"

/**
 * struct ps_gateway_settings - Settings of a daemon in gateway mode.
 */
typedef struct ps_gateway_settings {
    ps_name_t ready_address;     /* [listen] ready */
    ps_name_t directory_address; /* [listen] directory */
    double revoke_ms;       /* [gateway] revoke_ms, after a key's removal */
    double grace_s;         /* [gateway] grace_s, of a graceful shutdown */
    int64_t address_ttl_ms; /* [gateway] address_life, of an answer */
    double retry_ratio;     /* [gateway] retry_ratio, for each request */
    double retry_window_s;  /* [gateway] retry_window, seconds */
    double retry_slack;     /* [gateway] retry_slack, over all daemons */
    double quota_window_s;  /* [gateway] quota_window, seconds */
    double quota_overage;   /* [gateway] quota_overage, a share */
    double quota_slack;     /* [gateway] quota_slack, units */
    double cpu_share;       /* [gateway] cpu_share, of a core */
} ps_gateway_settings_t;

/**
 * struct ps_settings - Checked settings of one daemon.
 *
 * Addresses are IP:PORT. Durations are in milliseconds, sizes in bytes.
 */
typedef struct ps_settings {
    bool is_gateway;           /* [daemon] mode is "gateway" */
    ps_name_t mode;            /* [daemon] mode: pools or gateway */
    ps_name_t name;            /* [daemon] name, unique in the deployment */
    ps_name_t domain;          /* [daemon] domain, the failure domain */
    ps_name_t caller_address;  /* [listen] caller */
    ps_name_t admin_address;   /* [listen] admin */
    ps_name_t peer_address;    /* [listen] peer */
    ps_name_t platform;        /* [platform] address */
    ps_name_t admin_token;     /* [admin] token, bearer token */
    int64_t renew_ms;          /* [timing] renew, membership renewal */
    int64_t lease_ms;          /* [timing] lease, membership lease */
    int64_t heartbeat_ms;      /* [timing] heartbeat, between peers */
    int64_t takeover_ms;       /* [timing] takeover, silence of an owner */
    int64_t entries_ttl_ms;    /* [timing] entries, life of /v1/entries */
    int64_t drain_ms;          /* [timing] drain, longest graceful shutdown */
    int64_t id_window_ms;      /* [timing] id_window, ids are remembered */
    int64_t ledger_batch_ms;   /* [timing] ledger_batch, group commit */
    int64_t body_bytes;        /* [limits] body, largest request body */
    int64_t max_open_requests; /* [limits] open_requests at a time */
    ps_gateway_settings_t gateway;
} ps_settings_t;

/**
 * PsSettings_Load() - Reads and checks a settings file.
 * @settings: filled on PS_OK
 * @path: file name
 *
 * Return: PS_OK or PS_INVALID with file, line, key and what is allowed.
 */
ps_status_t PsSettings_Load(ps_settings_t *settings, const char *path);

/**
 * PsAddress_IsValid() - Tells whether a text is IP:PORT.
 * @text: NUL-terminated text
 */
bool PsAddress_IsValid(const char *text);

/**
 * PsAddress_Split() - Splits IP:PORT.
 * @address: a valid address
 * @host: receives the IP number
 * @port: receives the port
 */
void PsAddress_Split(const ps_name_t *address, ps_name_t *host, int *port);

#endif
