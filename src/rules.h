/*
 * rules.h - Ordered when-then rules; the first match applies.
 *
 * Conditions and actions are plug-ins that register themselves under the key
 * that they have in a rule.
 */
#ifndef PS_RULES_H
#define PS_RULES_H

#include <jansson.h>

#include "status.h"
#include "str.h"

#define PS_RULE_CONDITIONS_MAX 12 /* conditions in one rule */

/**
 * struct ps_rule_input - What the rules can see of a request.
 */
typedef struct ps_rule_input {
    ps_name_t model; /* empty for a plain service */
    ps_name_t path;
    ps_name_t method;
    ps_name_t team;
    int tier; /* as asked for by the caller */
    uint32_t prompt_tokens;
    bool idempotent;
} ps_rule_input_t;

struct ps_condition;

/**
 * struct ps_condition_kind - Plug-in: one kind of condition.
 * @key: key in a rule's "when"
 * @allowed: shape of its value, for messages
 * @check: tells whether a value has that shape
 * @matches: tells whether a request meets it
 */
typedef struct ps_condition_kind {
    const char *key;
    const char *allowed;
    bool (*check)(const json_t *value);
    bool (*matches)(const struct ps_condition *condition,
                    const ps_rule_input_t *request);
    struct ps_condition_kind *next;
} ps_condition_kind_t;

/**
 * struct ps_condition - A condition of a rule.
 */
typedef struct ps_condition {
    const ps_condition_kind_t *kind;
    json_t *value;
} ps_condition_t;

/**
 * struct ps_action - What a rule decides; unset fields keep the defaults.
 */
typedef struct ps_action {
    ps_name_t pool;
    int tier;                   /* -1: as the caller asks */
    int64_t deadline_ms;        /* 0: the tier's */
    int64_t first_token_ms;     /* 0: the tier's */
    uint32_t max_tokens;        /* 0: no limit */
    uint32_t max_prompt_tokens; /* 0: no limit */
    int idempotent;             /* -1: by method, else 0 or 1 */
    ps_name_t refuse;           /* message; empty: not refused */
} ps_action_t;

/**
 * struct ps_action_kind - Plug-in: one key of a rule's "then".
 * @key: key in a rule's "then"
 * @allowed: shape of its value, for messages
 * @load: stores a value; false when it has not that shape
 */
typedef struct ps_action_kind {
    const char *key;
    const char *allowed;
    bool (*load)(const json_t *value, ps_action_t *action);
    struct ps_action_kind *next;
} ps_action_kind_t;

/**
 * struct ps_rule - One rule.
 */
typedef struct ps_rule {
    ps_name_t name;
    ps_condition_t conditions[PS_RULE_CONDITIONS_MAX];
    int n_conditions;
    ps_action_t action;
} ps_rule_t;

/**
 * struct ps_rules - The ordered list.
 */
typedef struct ps_rules {
    ps_rule_t *rules;
    int n_rules;
} ps_rules_t;

/* Plug-ins; call from a constructor with static memory. */
void PsRules_RegisterCondition(ps_condition_kind_t *kind);
void PsRules_RegisterAction(ps_action_kind_t *kind);

/**
 * PsRules_Load() - Checks and loads rules.
 * @rules: filled on PS_OK; finish with PsRules_Finish()
 * @list: JSON array
 *
 * Return: PS_OK or PS_INVALID with the rule's name and key.
 */
ps_status_t PsRules_Load(ps_rules_t *rules, const json_t *list);

/**
 * PsRules_Finish() - Frees what the rules hold.
 */
void PsRules_Finish(ps_rules_t *rules);

/**
 * PsRules_Match() - Returns the first rule that a request meets, or NULL.
 */
const ps_rule_t *PsRules_Match(const ps_rules_t *rules,
                               const ps_rule_input_t *request);

#endif
