/*
 * settings.h - The daemon's settings file.
 *
 * An INI file, read with GKeyFile. An unknown section or key, a missing key
 * that has no default, or a value out of its range or without its unit is an
 * error. The message names the file, line and key and what is allowed; that of
 * a missing key has no line.
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
    ps_name_t forward_address;   /* [listen] forward, where requests of other
                                    daemons are taken; empty: none are */
    double revoke_ms;            /* [gateway] revoke_ms, longest time that a
                                    removed API key is still accepted */
    double grace_s;         /* [gateway] grace_s, longest graceful shutdown */
    int64_t address_ttl_ms; /* [gateway] address_life, how long callers may
                               keep an answer of the directory */
    int64_t address_sample; /* [gateway] address_sample, addresses that a
                               caller gets, by what daemons can carry; 0: those
                               of all daemons */
    double retry_ratio;     /* [gateway] retry_ratio, retries per request */
    double retry_window_s;  /* [gateway] retry_window, in which retries and
                               requests are counted */
    double retry_slack;     /* [gateway] retry_slack, retries in a window in
                               addition, over all daemons */
    double quota_window_s;  /* [gateway] quota_window, in which usage is
                               summed */
    double quota_overage;   /* [gateway] quota_overage, fraction of a quota by
                               which it may be exceeded */
    double quota_slack;     /* [gateway] quota_slack, units by which a quota
                               may be exceeded in addition */
    bool has_quota_buckets; /* [gateway] quota_by_bucket, quotas are token
                               buckets that daemons hold claims to */
    bool is_first_start;    /* [gateway] first_start, no daemon of the
                               deployment has run before */
    bool learned_limits;    /* [gateway] learned_limits, speeds and limits of
                               servers are learned over all daemons */
    double cpu_share;       /* [gateway] cpu_share, processor share of this
                               daemon, in cores */
    bool has_team_shares;   /* [gateway] team_shares, scarce slots are shared
                               fairly among teams */
    bool has_planned_returns; /* [gateway] planned_returns, refused callers
                                 are told to return when there is room */
    double rollout_exposure;  /* [gateway] rollout_exposure, share of requests
                                 that may go to a version that isn't known to
                                 be good; 0: roll-outs are off */
    double rollout_slack; /* [gateway] rollout_slack, requests in addition */
    double rollback_ms;   /* [gateway] rollback_ms, longest time from the 50th
                             bad answer to the last request */
    double memory_mb;     /* [gateway] memory_mb, limit of this process's
                             memory in MiB; 0: not known */
} ps_gateway_settings_t;

/**
 * struct ps_settings - Checked settings of one daemon.
 *
 * Addresses are IP:PORT. Durations are in milliseconds where the name ends in
 * _ms and in seconds where it ends in _s; sizes are in bytes.
 */
typedef struct ps_settings {
    bool is_gateway;            /* [daemon] mode is "gateway" */
    ps_name_t mode;             /* [daemon] mode: pools or gateway */
    ps_name_t name;             /* [daemon] name, unique in the deployment */
    ps_name_t domain;           /* [daemon] domain, the failure domain */
    ps_name_t caller_address;   /* [listen] caller */
    ps_name_t admin_address;    /* [listen] admin */
    ps_name_t peer_address;     /* [listen] peer */
    ps_name_t platform_address; /* [platform] address */
    ps_name_t admin_token;      /* [admin] token, bearer token of operators */
    int64_t renew_ms;           /* [timing] renew, between renewals of the
                                   daemon's member object */
    int64_t lease_ms;           /* [timing] lease, time without a renewal after
                                   which a member is not live */
    int64_t heartbeat_ms;       /* [timing] heartbeat, between heartbeats */
    int64_t takeover_ms;       /* [timing] takeover, time without a frame after
                                  which a peer is silent */
    int64_t entries_ttl_ms;    /* [timing] entries, how long callers may keep
                                  the answer of /v1/entries */
    int64_t drain_ms;          /* [timing] drain, longest graceful shutdown */
    int64_t id_window_ms;      /* [timing] id_window, how long the ids of ended
                                  requests are kept */
    int64_t ledger_batch_ms;   /* [timing] ledger_batch, how long records are
                                  collected for one write */
    int64_t max_body_bytes;    /* [limits] body, largest request body */
    int64_t max_open_requests; /* [limits] open_requests, at a time */
    ps_gateway_settings_t gateway; /* used in gateway mode only */
} ps_settings_t;

/**
 * PsSettings_Load() - Reads and checks a settings file.
 * @settings: filled on PS_OK
 * @path: file name
 *
 * Return: PS_OK or PS_INVALID with the message.
 */
ps_status_t PsSettings_Load(ps_settings_t *settings, const char *path);

/**
 * PsAddress_IsValid() - Tells whether a text is IP:PORT, IPv4 only.
 */
bool PsAddress_IsValid(const char *text);

/**
 * PsAddress_Split() - Splits IP:PORT.
 * @address: a valid address
 * @host: receives the IP address
 * @port: receives the port
 */
void PsAddress_Split(const ps_name_t *address, ps_name_t *host, int *port);

#endif
