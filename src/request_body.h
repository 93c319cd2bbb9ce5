/*
 * request_body.h - Receives the body of a request within the memory budget.
 *
 * Used by http_server.c only. Without a budget, body_max alone bounds a body.
 */
#ifndef PS_REQUEST_BODY_H
#define PS_REQUEST_BODY_H

#include "http_server.h"

/**
 * PsRequestBody_Accept() - Accepts a request by what its headers say of its
 * body, and counts the body at once: one that was accepted with its length is
 * not refused half way.
 *
 * Return: false if there is no memory for it.
 */
bool PsRequestBody_Accept(ps_http_request_t *request);

/**
 * PsRequestBody_Append() - Appends received bytes.
 *
 * A body that exceeds body_max is dropped and the request marked as too large;
 * one without a Content-Length for which no memory is left is dropped too, and
 * the request marked as over the budget.
 */
void PsRequestBody_Append(ps_http_request_t *request, const char *data,
                          size_t len);

/**
 * PsRequestBody_Finish() - Frees the body and ends the request's counting.
 */
void PsRequestBody_Finish(ps_http_request_t *request);

#endif
