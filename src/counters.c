/* counters.c - The list of registered counters and its text format. */
#include "counters.h"

#include <string.h>

/* ---- Globals ---------------------------------------------------------- */

static ps_counter_t *first_counter;

/* ---- Public functions ------------------------------------------------- */

void
PsCounter_Register(ps_counter_t *counter)
{
    ps_counter_t **link = &first_counter;
    while (*link) {
        if (*link == counter) {
            return;
        }
        link = &(*link)->next;
    }
    counter->next = NULL;
    *link = counter;
}

void
PsCounter_Print(ps_buf_t *out)
{
    const char *last_name = "";
    for (const ps_counter_t *c = first_counter; c; c = c->next) {
        if (strcmp(last_name, c->name) != 0) {
            PsBuf_AppendFormat(
                out, "# HELP %s %s\n# TYPE %s %s\n", c->name, c->help, c->name,
                strstr(c->name, "_total") ? "counter" : "gauge");
        }
        last_name = c->name;
        PsBuf_AppendFormat(out, "%s%s%s%s %.17g\n", c->name,
                           c->labels ? "{" : "", c->labels ? c->labels : "",
                           c->labels ? "}" : "", c->value);
    }
}
