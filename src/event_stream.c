/* event_stream.c - Finds the ends and ids of events in a stream's bytes. */
#include "event_stream.h"

#include <string.h>

size_t
PsEventStream_FindEnd(ps_str_t data, size_t from)
{
    for (size_t i = from; i + 1 < data.len; i++) {
        if (data.data[i] != '\n') {
            continue;
        }
        if (data.data[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < data.len && data.data[i + 1] == '\r' &&
            data.data[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

void
PsEventStream_ParseId(ps_str_t event, ps_name_t *id)
{
    const char *line = event.data;
    const char *end = event.data + event.len;
    while (line < end) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        stop = stop ? stop : end;
        if (stop - line > 3 && memcmp(line, "id:", 3) == 0) {
            const char *value = line + 3;
            const char *value_end = stop;
            value += *value == ' ' ? 1 : 0;
            value_end -= value_end > value && value_end[-1] == '\r' ? 1 : 0;
            *id =
                PsName_FromStr((ps_str_t){value, (size_t)(value_end - value)});
        }
        line = stop + 1;
    }
}
