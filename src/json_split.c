/* json_split.c - Splits a JSON text into its members and items. */
#include "json_split.h"

#include <string.h>

/* ---- Internal functions ----------------------------------------------- */

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static void
skip(ps_str_t *rest, size_t len)
{
    rest->data += len;
    rest->len -= len;
}

static void
skip_blanks(ps_str_t *rest)
{
    while (rest->len > 0 && is_blank(rest->data[0])) {
        skip(rest, 1);
    }
}

// Skips a byte and the blanks around it. Returns false if another byte stands
// there.
static bool
skip_byte(ps_str_t *rest, char byte)
{
    skip_blanks(rest);
    if (rest->len == 0 || rest->data[0] != byte) {
        return false;
    }
    skip(rest, 1);
    skip_blanks(rest);
    return true;
}

// Returns the length of the string that @text starts with, with its quotes; 0
// if it does not end.
static size_t
get_string_length(ps_str_t text)
{
    for (size_t i = 1; i < text.len; i++) {
        if (text.data[i] == '\\') {
            i++;
        }
        else if (text.data[i] == '"') {
            return i + 1;
        }
    }
    return 0;
}

// Returns the length of the object or array that @text starts with; 0 if it
// does not end. Whether each bracket has its match is left to the library.
static size_t
get_nested_length(ps_str_t text)
{
    size_t depth = 0;
    for (size_t i = 0; i < text.len; i++) {
        char c = text.data[i];
        if (c == '"') {
            size_t len =
                get_string_length((ps_str_t){text.data + i, text.len - i});
            if (len == 0) {
                return 0;
            }
            i += len - 1;
        }
        else if (c == '{' || c == '[') {
            depth++;
        }
        else if ((c == '}' || c == ']') && --depth == 0) {
            return i + 1;
        }
    }
    return 0;
}

static bool
ends_scalar(char c)
{
    return is_blank(c) || c == ',' || c == '}' || c == ']' || c == '{' ||
           c == '[' || c == '"' || c == ':';
}

// Returns the length of the value that @text starts with; 0 if there is none.
static size_t
get_value_length(ps_str_t text)
{
    if (text.len == 0) {
        return 0;
    }
    if (text.data[0] == '"') {
        return get_string_length(text);
    }
    if (text.data[0] == '{' || text.data[0] == '[') {
        return get_nested_length(text);
    }
    size_t len = 0;
    while (len < text.len && !ends_scalar(text.data[len])) {
        len++;
    }
    return len;
}

static bool
take_value(ps_str_t *rest, ps_str_t *value)
{
    *value = (ps_str_t){rest->data, get_value_length(*rest)};
    skip(rest, value->len);
    return value->len > 0;
}

static bool
take_key(ps_str_t *rest, ps_str_t *key)
{
    if (rest->len == 0 || rest->data[0] != '"' || !take_value(rest, key)) {
        return false;
    }
    *key = (ps_str_t){key->data + 1, key->len - 2};
    return skip_byte(rest, ':');
}

/* ---- Public functions ------------------------------------------------- */

void
PsJsonSplit_Init(ps_json_split_t *split, ps_str_t text)
{
    *split = (ps_json_split_t){.rest = text};
    split->is_object = skip_byte(&split->rest, '{');
    if (!split->is_object && !skip_byte(&split->rest, '[')) {
        split->rest.len = 0;
        return;
    }
    if (skip_byte(&split->rest, split->is_object ? '}' : ']')) {
        split->is_whole = split->rest.len == 0;
        split->rest.len = 0;
    }
}

bool
PsJsonSplit_Next(ps_json_split_t *split, ps_str_t *key, ps_str_t *value)
{
    ps_str_t *rest = &split->rest;
    *key = (ps_str_t){0};
    if (rest->len == 0 || (split->is_object && !take_key(rest, key)) ||
        !take_value(rest, value)) {
        rest->len = 0;
        return false;
    }
    if (skip_byte(rest, split->is_object ? '}' : ']')) {
        split->is_whole = rest->len == 0;
        rest->len = 0;
    }
    else if (!skip_byte(rest, ',')) {
        rest->len = 0;
    }
    return true;
}

bool
PsJsonSplit_IsObject(ps_str_t text)
{
    ps_json_split_t split;
    PsJsonSplit_Init(&split, text);
    ps_str_t key;
    ps_str_t value;
    while (PsJsonSplit_Next(&split, &key, &value)) {
    }
    return split.is_object && split.is_whole;
}

ps_str_t
PsJsonSplit_FindMember(ps_str_t text, const char *key)
{
    ps_str_t found = {0};
    ps_json_split_t split;
    PsJsonSplit_Init(&split, text);
    ps_str_t name;
    ps_str_t value;
    while (split.is_object && PsJsonSplit_Next(&split, &name, &value)) {
        if (PsStr_IsEqualC(name, key)) {
            found = value;
        }
    }
    return found;
}

json_t *
PsJsonSplit_Load(ps_str_t value)
{
    return value.len == 0
               ? NULL
               : json_loadb(value.data, value.len, JSON_DECODE_ANY, NULL);
}

json_t *
PsJsonSplit_LoadMembers(ps_str_t text)
{
    ps_json_split_t split;
    PsJsonSplit_Init(&split, text);
    if (!split.is_object) {
        return NULL;
    }
    json_t *object = json_object();
    ps_str_t key;
    ps_str_t value;
    while (PsJsonSplit_Next(&split, &key, &value)) {
        json_t *member = PsJsonSplit_Load(value);
        if (member) {
            json_object_setn_new(object, key.data, key.len, member);
        }
    }
    return object;
}
