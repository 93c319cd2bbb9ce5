/*
 * news.h - Changes of servers and daemons, told from the allocator to others.
 *
 * A daemon keeps the newest change of each name for some seconds. Only what it
 * read from the store itself is told on, so that no news goes in circles.
 */
#ifndef PS_NEWS_H
#define PS_NEWS_H

#include "feed.h"
#include "peer.pb-c.h"

/**
 * struct ps_news_head - What all news say alike; their first member.
 */
typedef struct ps_news_head {
    ps_name_t name;
    bool is_gone;
    bool is_own; /* read from the store here, and so told to others */
    int64_t at_ms;
} ps_news_head_t;

/**
 * struct ps_server_news - A change of a backend server.
 */
typedef struct ps_server_news {
    ps_news_head_t head;
    ps_registration_t told;
} ps_server_news_t;

/**
 * struct ps_member_news - A daemon that has joined or is gone.
 */
typedef struct ps_member_news {
    ps_news_head_t head;
    ps_daemon_info_t info;
} ps_member_news_t;

/**
 * struct ps_news - The changes of the last seconds.
 */
typedef struct ps_news {
    GArray *servers; /* ps_server_news_t */
    GArray *members; /* ps_member_news_t */
} ps_news_t;

void PsNews_Init(ps_news_t *news);
void PsNews_Finish(ps_news_t *news);

/**
 * PsNews_KeepServer() - Keeps a change in place of older ones of the name.
 * @is_own: read from the store here
 */
void PsNews_KeepServer(ps_news_t *news, const ps_registration_t *told,
                       bool is_gone, bool is_own, int64_t now_ms);
void PsNews_KeepMember(ps_news_t *news, const ps_daemon_info_t *info,
                       bool is_gone, bool is_own, int64_t now_ms);

/**
 * PsNews_IsServerGone() - Tells whether this start of a server is known to be
 * gone.
 */
bool PsNews_IsServerGone(const ps_news_t *news, const ps_name_t *name,
                         int64_t started_ms);

/**
 * PsNews_AddToGrant() - Adds own news of the last rounds to a grant.
 */
void PsNews_AddToGrant(const ps_news_t *news, Ps__ShareGrant *grant,
                       int64_t now_ms);

/**
 * PsNews_FreeInGrant() - Frees what PsNews_AddToGrant() has added.
 */
void PsNews_FreeInGrant(Ps__ShareGrant *grant);
ps_registration_t PsNews_ReadServer(const Ps__ServerNews *message);
ps_daemon_info_t PsNews_ReadMember(const Ps__MemberNews *message);

#endif
