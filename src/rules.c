/* rules.c - Parses ordered rules and finds the first match. */
#include "rules.h"

#include <glib.h>
#include <string.h>

/* ---- Globals ---------------------------------------------------------- */

static ps_condition_kind_t *condition_kinds;
static ps_action_kind_t *action_kinds;

/* ---- Internal functions ----------------------------------------------- */

static const ps_condition_kind_t *
find_condition_kind(const char *key)
{
    const ps_condition_kind_t *kind = condition_kinds;
    while (kind && strcmp(kind->key, key) != 0) {
        kind = kind->next;
    }
    return kind;
}

static const ps_action_kind_t *
find_action_kind(const char *key)
{
    const ps_action_kind_t *kind = action_kinds;
    while (kind && strcmp(kind->key, key) != 0) {
        kind = kind->next;
    }
    return kind;
}

static ps_status_t
parse_conditions(ps_rule_t *rule, json_t *when)
{
    const char *key;
    json_t *value;
    json_object_foreach(when, key, value)
    {
        const ps_condition_kind_t *kind = find_condition_kind(key);
        if (!kind) {
            return PsStatus_Fail(PS_INVALID,
                                 "rule '%s': unknown condition '%s'",
                                 rule->name.data, key);
        }
        if (!kind->check(value)) {
            return PsStatus_Fail(PS_INVALID,
                                 "rule '%s': condition '%s' takes %s",
                                 rule->name.data, key, kind->allowed);
        }
        if (rule->n_conditions == PS_RULE_CONDITIONS_MAX) {
            return PsStatus_Fail(PS_INVALID,
                                 "rule '%s': more than %d conditions",
                                 rule->name.data, PS_RULE_CONDITIONS_MAX);
        }
        rule->conditions[rule->n_conditions++] =
            (ps_condition_t){kind, json_incref(value)};
    }
    return PS_OK;
}

static ps_status_t
parse_actions(ps_rule_t *rule, json_t *then)
{
    const char *key;
    json_t *value;
    json_object_foreach(then, key, value)
    {
        const ps_action_kind_t *kind = find_action_kind(key);
        if (!kind) {
            return PsStatus_Fail(PS_INVALID, "rule '%s': unknown action '%s'",
                                 rule->name.data, key);
        }
        if (!kind->parse(value, &rule->action)) {
            return PsStatus_Fail(PS_INVALID, "rule '%s': action '%s' takes %s",
                                 rule->name.data, key, kind->allowed);
        }
    }
    bool has_refusal = !PsName_IsEmpty(&rule->action.refuse);
    if (has_refusal == !PsName_IsEmpty(&rule->action.pool)) {
        return PsStatus_Fail(PS_INVALID,
                             "rule '%s': 'then' needs either 'pool' or "
                             "'refuse'",
                             rule->name.data);
    }
    return PS_OK;
}

static ps_status_t
parse_rule(ps_rule_t *rule, json_t *item, size_t index)
{
    const char *name = json_string_value(json_object_get(item, "name"));
    if (!name || !*name || strlen(name) > PS_NAME_MAX) {
        return PsStatus_Fail(PS_INVALID,
                             "rule %zu: key 'name' takes 1 to %d characters",
                             index + 1, PS_NAME_MAX);
    }
    rule->name = PsName_FromC(name);
    rule->action = (ps_action_t){.tier = -1, .idempotent = -1};
    const char *key;
    json_t *value;
    json_object_foreach(item, key, value)
    {
        if (strcmp(key, "name") != 0 && strcmp(key, "when") != 0 &&
            strcmp(key, "then") != 0) {
            return PsStatus_Fail(PS_INVALID,
                                 "rule '%s': unknown key '%s'; allowed are "
                                 "name when then",
                                 name, key);
        }
    }
    json_t *when = json_object_get(item, "when");
    json_t *then = json_object_get(item, "then");
    if ((when && !json_is_object(when)) || !json_is_object(then)) {
        return PsStatus_Fail(
            PS_INVALID, "rule '%s': 'when' and 'then' take objects", name);
    }
    ps_status_t status = when ? parse_conditions(rule, when) : PS_OK;
    return status == PS_OK ? parse_actions(rule, then) : status;
}

static bool
matches_rule(const ps_rule_t *rule, const ps_rule_input_t *input)
{
    for (int i = 0; i < rule->n_conditions; i++) {
        const ps_condition_t *condition = &rule->conditions[i];
        if (!condition->kind->matches(condition, input)) {
            return false;
        }
    }
    return true;
}

/* ---- Public functions ------------------------------------------------- */

void
PsRules_RegisterCondition(ps_condition_kind_t *kind)
{
    kind->next = condition_kinds;
    condition_kinds = kind;
}

void
PsRules_RegisterAction(ps_action_kind_t *kind)
{
    kind->next = action_kinds;
    action_kinds = kind;
}

ps_status_t
PsRules_Parse(ps_rules_t *rules, const json_t *list)
{
    size_t n = json_array_size(list);
    rules->rules = g_new0(ps_rule_t, n);
    rules->n_rules = (int)n;
    for (size_t i = 0; i < n; i++) {
        ps_status_t status =
            parse_rule(&rules->rules[i], json_array_get(list, i), i);
        if (status != PS_OK) {
            PsRules_Finish(rules);
            return status;
        }
    }
    return PS_OK;
}

void
PsRules_Finish(ps_rules_t *rules)
{
    for (int i = 0; i < rules->n_rules; i++) {
        ps_rule_t *rule = &rules->rules[i];
        for (int c = 0; c < rule->n_conditions; c++) {
            json_decref(rule->conditions[c].value);
        }
    }
    g_free(rules->rules);
    *rules = (ps_rules_t){0};
}

const ps_rule_t *
PsRules_Match(const ps_rules_t *rules, const ps_rule_input_t *input)
{
    for (int i = 0; i < rules->n_rules; i++) {
        if (matches_rule(&rules->rules[i], input)) {
            return &rules->rules[i];
        }
    }
    return NULL;
}
