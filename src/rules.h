/*
 * rules.h - Rules that route requests to pools and set their limits.
 *
 * A rule has conditions ("when") and actions ("then"). The rules are tried in
 * order, and the first one whose conditions all match applies. Kinds of
 * conditions and actions are plug-ins, registered under their key in a rule.
 */
#ifndef PS_RULES_H
#define PS_RULES_H

#include <jansson.h>

#include "status.h"
#include "str.h"

#define PS_RULE_CONDITIONS_MAX 12 /* conditions in one rule */

/**
 * struct ps_rule_input - Properties of a request that rules can match.
 */
typedef struct ps_rule_input {
    ps_name_t model; /* empty for a plain service */
    ps_name_t path;
    ps_name_t method;
    ps_name_t team;
    int tier; /* requested by the caller */
    uint32_t prompt_tokens;
    bool idempotent;
} ps_rule_input_t;

struct ps_condition;

/**
 * struct ps_condition_kind - Plug-in: one kind of condition.
 * @key: key in a rule's "when"
 * @allowed: allowed values, for error messages
 * @check: tells whether a value is allowed
 * @matches: tells whether a request matches the condition
 * @next: set by PsRules_RegisterCondition()
 */
typedef struct ps_condition_kind {
    const char *key;
    const char *allowed;
    bool (*check)(const json_t *value);
    bool (*matches)(const struct ps_condition *condition,
                    const ps_rule_input_t *input);
    struct ps_condition_kind *next;
} ps_condition_kind_t;

/**
 * struct ps_condition - One condition of a rule.
 */
typedef struct ps_condition {
    const ps_condition_kind_t *kind;
    json_t *value; /* allowed by @kind; holds a reference */
} ps_condition_t;

/**
 * struct ps_action - Actions of a rule. A field that the rule does not set has
 * the value given in its comment.
 */
typedef struct ps_action {
    ps_name_t pool;
    int tier;                   /* -1: as the caller requests */
    int64_t deadline_ms;        /* 0: the tier's default */
    int64_t first_token_ms;     /* 0: the tier's default */
    uint32_t max_tokens;        /* 0: no limit */
    uint32_t max_prompt_tokens; /* 0: no limit */
    int idempotent;             /* -1: by method, else 0 or 1 */
    ps_name_t refuse;           /* refusal message; empty: not refused */
} ps_action_t;

/**
 * struct ps_action_kind - Plug-in: one key of a rule's "then".
 * @key: key in a rule's "then"
 * @allowed: allowed values, for error messages
 * @parse: parses a value into the action; false when it is not allowed
 * @next: set by PsRules_RegisterAction()
 */
typedef struct ps_action_kind {
    const char *key;
    const char *allowed;
    bool (*parse)(const json_t *value, ps_action_t *action);
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
 * struct ps_rules - List of rules, in order.
 */
typedef struct ps_rules {
    ps_rule_t *rules;
    int n_rules;
} ps_rules_t;

/* Register plug-ins from a constructor, with static memory. */
void PsRules_RegisterCondition(ps_condition_kind_t *kind);
void PsRules_RegisterAction(ps_action_kind_t *kind);

/**
 * PsRules_Parse() - Parses and checks a list of rules.
 * @rules: filled on PS_OK; to be freed with PsRules_Finish()
 * @list: JSON array of rules
 *
 * Return: PS_OK; PS_INVALID with a message that names the rule and the key.
 */
ps_status_t PsRules_Parse(ps_rules_t *rules, const json_t *list);

/**
 * PsRules_Finish() - Frees the rules and empties the list.
 */
void PsRules_Finish(ps_rules_t *rules);

/**
 * PsRules_Match() - Finds the first rule that a request matches.
 *
 * Return: NULL when no rule matches.
 */
const ps_rule_t *PsRules_Match(const ps_rules_t *rules,
                               const ps_rule_input_t *input);

#endif
