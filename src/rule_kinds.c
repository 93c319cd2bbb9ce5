/* rule_kinds.c - Plug-ins: the kinds of conditions and actions of rules. */
#include <glib.h>
#include <string.h>

#include "rules.h"

/* ---- Checks of values ------------------------------------------------- */

// Tells whether a value is a string or a list of one or more strings.
static bool
check_pattern(const json_t *value)
{
    if (json_is_string(value)) {
        return true;
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        if (!json_is_string(json_array_get(value, i))) {
            return false;
        }
    }
    return json_array_size(value) > 0;
}

static bool
check_non_negative(const json_t *value)
{
    return json_is_integer(value) && json_integer_value(value) >= 0;
}

static bool
check_bool(const json_t *value)
{
    return json_is_boolean(value);
}

/* ---- Conditions ------------------------------------------------------- */

// Tells whether a text matches a pattern or one of a list of patterns; '*' and
// '?' are wildcards.
static bool
matches_pattern(const json_t *value, const ps_name_t *text)
{
    if (json_is_string(value)) {
        return g_pattern_match_simple(json_string_value(value), text->data);
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        if (matches_pattern(json_array_get(value, i), text)) {
            return true;
        }
    }
    return false;
}

static bool
match_model(const ps_condition_t *condition, const ps_rule_input_t *input)
{
    return !PsName_IsEmpty(&input->model) &&
           matches_pattern(condition->value, &input->model);
}

static bool
match_path(const ps_condition_t *condition, const ps_rule_input_t *input)
{
    return matches_pattern(condition->value, &input->path);
}

static bool
match_method(const ps_condition_t *condition, const ps_rule_input_t *input)
{
    return matches_pattern(condition->value, &input->method);
}

static bool
match_team(const ps_condition_t *condition, const ps_rule_input_t *input)
{
    return matches_pattern(condition->value, &input->team);
}

static bool
match_tier(const ps_condition_t *condition, const ps_rule_input_t *input)
{
    return input->tier == json_integer_value(condition->value);
}

static bool
match_prompt_at_least(const ps_condition_t *condition,
                      const ps_rule_input_t *input)
{
    return input->prompt_tokens >= json_integer_value(condition->value);
}

static bool
match_prompt_below(const ps_condition_t *condition,
                   const ps_rule_input_t *input)
{
    return input->prompt_tokens < json_integer_value(condition->value);
}

static bool
match_idempotent(const ps_condition_t *condition, const ps_rule_input_t *input)
{
    return input->idempotent == json_is_true(condition->value);
}

/* ---- Actions ---------------------------------------------------------- */

static bool
parse_name(const json_t *value, ps_name_t *out)
{
    const char *text = json_string_value(value);
    if (!text || !*text || strlen(text) > PS_NAME_MAX) {
        return false;
    }
    *out = PsName_FromC(text);
    return true;
}

// Parses a whole number from 1 to @max.
static bool
parse_positive(const json_t *value, int64_t max, int64_t *out)
{
    *out = json_integer_value(value);
    return json_is_integer(value) && *out > 0 && *out <= max;
}

static bool
parse_pool(const json_t *value, ps_action_t *action)
{
    return parse_name(value, &action->pool);
}

static bool
parse_refuse(const json_t *value, ps_action_t *action)
{
    return parse_name(value, &action->refuse);
}

static bool
parse_tier(const json_t *value, ps_action_t *action)
{
    action->tier = (int)json_integer_value(value);
    return check_non_negative(value) && json_integer_value(value) < 8;
}

static bool
parse_deadline(const json_t *value, ps_action_t *action)
{
    return parse_positive(value, 86400000, &action->deadline_ms);
}

static bool
parse_first_token(const json_t *value, ps_action_t *action)
{
    return parse_positive(value, 86400000, &action->first_token_ms);
}

static bool
parse_max_tokens(const json_t *value, ps_action_t *action)
{
    int64_t number;
    bool is_valid = parse_positive(value, 10000000, &number);
    action->max_tokens = (uint32_t)number;
    return is_valid;
}

static bool
parse_max_prompt(const json_t *value, ps_action_t *action)
{
    int64_t number;
    bool is_valid = parse_positive(value, 10000000, &number);
    action->max_prompt_tokens = (uint32_t)number;
    return is_valid;
}

static bool
parse_idempotent(const json_t *value, ps_action_t *action)
{
    action->idempotent = json_is_true(value);
    return json_is_boolean(value);
}

/* ---- Registration ----------------------------------------------------- */

#define ALLOWED_PATTERN "a pattern or a list of patterns with * and ?"
#define ALLOWED_MS "milliseconds from 1 to 86400000"

static ps_condition_kind_t conditions[] = {
    {"model", ALLOWED_PATTERN, check_pattern, match_model, NULL},
    {"path", ALLOWED_PATTERN, check_pattern, match_path, NULL},
    {"method", ALLOWED_PATTERN, check_pattern, match_method, NULL},
    {"team", ALLOWED_PATTERN, check_pattern, match_team, NULL},
    {"tier", "a whole number", check_non_negative, match_tier, NULL},
    {"prompt_tokens_at_least", "a whole number", check_non_negative,
     match_prompt_at_least, NULL},
    {"prompt_tokens_below", "a whole number", check_non_negative,
     match_prompt_below, NULL},
    {"idempotent", "true or false", check_bool, match_idempotent, NULL},
};

static ps_action_kind_t actions[] = {
    {"pool", "a pool's name", parse_pool, NULL},
    {"refuse", "a message of 1 to 127 characters", parse_refuse, NULL},
    {"tier", "a tier from 0 to 7", parse_tier, NULL},
    {"deadline_ms", ALLOWED_MS, parse_deadline, NULL},
    {"first_token_ms", ALLOWED_MS, parse_first_token, NULL},
    {"max_tokens", "tokens from 1 to 10000000", parse_max_tokens, NULL},
    {"max_prompt_tokens", "tokens from 1 to 10000000", parse_max_prompt, NULL},
    {"idempotent", "true or false", parse_idempotent, NULL},
};

__attribute__((constructor)) static void
register_kinds(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(conditions); i++) {
        PsRules_RegisterCondition(&conditions[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
        PsRules_RegisterAction(&actions[i]);
    }
}
