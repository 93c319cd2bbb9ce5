/*
 * status.h - Status codes, and the message of the last failure.
 *
 * A function that can fail returns a ps_status_t. The message of the last
 * failure is kept until the next one, in one static buffer, since the programs
 * are single-threaded.
 */
#ifndef PS_STATUS_H
#define PS_STATUS_H

#define PS_MESSAGE_MAX 512 /* bytes of the last message, with its NUL */

/**
 * enum ps_status - Result of an operation.
 */
typedef enum ps_status {
    PS_OK = 0,
    PS_INVALID,     /* input breaks a documented rule */
    PS_NOT_FOUND,   /* no such object */
    PS_CONFLICT,    /* the object is not at the expected version */
    PS_UNAVAILABLE, /* could not be done now; nothing was changed */
    PS_UNKNOWN,     /* no answer; the change may have been made */
    PS_FULL,        /* a documented limit is reached */
    PS_DENIED       /* not allowed for this caller */
} ps_status_t;

/**
 * PsStatus_Fail() - Records a message and returns the status.
 * @status: returned as it is; not PS_OK
 * @format: printf format of the message, cut at PS_MESSAGE_MAX
 */
ps_status_t PsStatus_Fail(ps_status_t status, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * PsStatus_LastMessage() - Returns the message of the last failure.
 *
 * Return: static text, valid until the next PsStatus_Fail().
 */
const char *PsStatus_LastMessage(void);

/**
 * PsStatus_Name() - Returns a status in words of lower case.
 */
const char *PsStatus_Name(ps_status_t status);

#endif
