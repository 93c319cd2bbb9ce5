/*
 * json_split.h - Splits a JSON text into its members and items without parsing
 * their values.
 *
 * A JSON library rejects a text as a whole if it can't hold one of its values:
 * an integer of more than 64 bits, a deeply nested one, a string that is not
 * UTF-8. Here only strings and brackets are recognized, so that each part can
 * be handed to the library alone. Time is linear in the text's length, the
 * stack's use constant. Does no I/O.
 */
#ifndef PS_JSON_SPLIT_H
#define PS_JSON_SPLIT_H

#include <jansson.h>

#include "str.h"

/**
 * struct ps_json_split - Iterator over the members of an object or the items
 * of an array.
 * @rest: what is left of the text
 * @is_object: members have keys
 * @is_whole: the closing bracket was reached, and nothing but blanks follows
 */
typedef struct ps_json_split {
    ps_str_t rest;
    bool is_object;
    bool is_whole;
} ps_json_split_t;

/**
 * PsJsonSplit_Init() - Starts to split an object or an array.
 * @text: must outlive the iterator
 */
void PsJsonSplit_Init(ps_json_split_t *split, ps_str_t text);

/**
 * PsJsonSplit_Next() - Finds the next part.
 * @key: receives a member's key, without its quotes and with escapes as they
 *       stand; empty for an item of an array
 * @value: receives the text of its value, which may be no valid JSON
 *
 * Return: false if there are no more parts, or the text is malformed; @split's
 * is_whole tells which.
 */
bool PsJsonSplit_Next(ps_json_split_t *split, ps_str_t *key, ps_str_t *value);

/**
 * PsJsonSplit_IsObject() - Tells whether a text is one object that ends.
 */
bool PsJsonSplit_IsObject(ps_str_t text);

/**
 * PsJsonSplit_FindMember() - Finds a member of an object.
 *
 * Return: the text of its value, of the last one if there are several, as JSON
 * libraries have it; its data is NULL if @text is no object or has no such
 * member.
 */
ps_str_t PsJsonSplit_FindMember(ps_str_t text, const char *key);

/**
 * PsJsonSplit_Load() - Parses a value of any type with the library.
 *
 * Return: a new reference; NULL if the library can't hold it.
 */
json_t *PsJsonSplit_Load(ps_str_t value);

/**
 * PsJsonSplit_LoadMembers() - Parses an object, without the members that the
 * library can't hold.
 *
 * Return: a new reference; NULL if @text is no object.
 */
json_t *PsJsonSplit_LoadMembers(ps_str_t text);

#endif
