/*
 * platform.h - Asynchronous client of the platform's object store.
 *
 * An object has a key, a value and a version; versions grow with every change
 * of any object. A write takes effect only if the object still has the version
 * that was read. A watch waits for changes after a version.
 *
 * An object that the JSON library can't hold is reported without its value.
 */
#ifndef PS_PLATFORM_H
#define PS_PLATFORM_H

#include <glib.h>
#include <jansson.h>

#include "http_client.h"
#include "status.h"

struct ps_platform;

/**
 * struct ps_platform_object - One object of an answer.
 * @version: of the object's last change
 * @value: text owned by the answer; NULL for a deleted object, or if it can't
 *         be read
 */
typedef struct ps_platform_object {
    ps_name_t key;
    uint64_t version;
    const char *value;
} ps_platform_object_t;

/**
 * struct ps_platform_result - Answer of the platform; valid in the callback.
 * @status: PS_OK, PS_NOT_FOUND, PS_CONFLICT, PS_INVALID (the request breaks
 *          a rule), PS_UNAVAILABLE (no effect) or PS_UNKNOWN (a write may
 *          have taken effect)
 * @version: of the object written, or up to which a list or watch is complete
 * @objects: @n_objects objects of a get, list or watch
 */
typedef struct ps_platform_result {
    ps_status_t status;
    uint64_t version;
    ps_platform_object_t *objects;
    int n_objects;
} ps_platform_result_t;

typedef void (*ps_platform_done_t)(void *user,
                                   const ps_platform_result_t *result);

/**
 * struct ps_platform - Client of one platform address.
 */
typedef struct ps_platform {
    ps_http_client_t *client;
    ps_name_t address;   /* IP:PORT */
    uint64_t reads;      /* get, list and watch calls so far */
    uint64_t writes;     /* put and delete calls so far */
    uint64_t failures;   /* calls that were PS_UNAVAILABLE or PS_UNKNOWN */
    int logged_nameless; /* objects without a usable key that were logged */
    GQueue calls;        /* in progress */
} ps_platform_t;

void PsPlatform_Init(ps_platform_t *platform, ps_http_client_t *client,
                     const ps_name_t *address);
/* Stops all calls in progress; their done callbacks are not called. */
void PsPlatform_Finish(ps_platform_t *platform);

/* Each call below calls @done with @user once, from the loop. A get, list, put
 * or delete takes at most 2 s, a watch at most 2 s longer than its @wait_ms.
 */
void PsPlatform_Get(ps_platform_t *platform, const char *key,
                    ps_platform_done_t done, void *user);
void PsPlatform_List(ps_platform_t *platform, const char *prefix,
                     ps_platform_done_t done, void *user);

/**
 * PsPlatform_Put() - Writes an object if its version is as expected.
 * @version: expected version; 0: the object must not exist
 * @value: copied
 *
 * Another version gives PS_CONFLICT.
 */
void PsPlatform_Put(ps_platform_t *platform, const char *key, uint64_t version,
                    ps_str_t value, ps_platform_done_t done, void *user);

/**
 * PsPlatform_Delete() - Deletes an object if its version is as expected.
 * @version: expected version
 *
 * Another version gives PS_CONFLICT.
 */
void PsPlatform_Delete(ps_platform_t *platform, const char *key,
                       uint64_t version, ps_platform_done_t done, void *user);

/**
 * PsPlatform_Watch() - Waits for changes of objects after a version.
 * @from: version up to which changes are known
 * @wait_ms: longest wait; after it the answer has no objects
 *
 * PS_NOT_FOUND means that the platform no longer has the changes since @from;
 * list the objects again.
 */
void PsPlatform_Watch(ps_platform_t *platform, const char *prefix,
                      uint64_t from, int64_t wait_ms, ps_platform_done_t done,
                      void *user);

#endif
