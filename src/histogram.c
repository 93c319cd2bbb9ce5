/* histogram.c - Counts latencies in buckets with fixed bounds. */
#include "histogram.h"

/* ---- Globals ---------------------------------------------------------- */

static const double bounds_ms[PS_HISTOGRAM_BOUNDS] = {
    1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 15000};

/* ---- Public functions ------------------------------------------------- */

void
PsHistogram_Add(ps_histogram_t *histogram, double ms)
{
    int i = 0;
    while (i < PS_HISTOGRAM_BOUNDS && ms > bounds_ms[i]) {
        i++;
    }
    histogram->counts[i]++;
    histogram->sum_ms += ms > 0 ? ms : 0;
}

void
PsHistogram_Print(const ps_histogram_t *histogram, const char *name,
                  ps_buf_t *out)
{
    uint64_t total = 0;
    PsBuf_AppendFormat(out, "# TYPE %s histogram\n", name);
    for (int i = 0; i < PS_HISTOGRAM_BOUNDS; i++) {
        total += histogram->counts[i];
        PsBuf_AppendFormat(out, "%s_bucket{le=\"%g\"} %llu\n", name,
                           bounds_ms[i], (unsigned long long)total);
    }
    total += histogram->counts[PS_HISTOGRAM_BOUNDS];
    PsBuf_AppendFormat(
        out, "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %.17g\n%s_count %llu\n",
        name, (unsigned long long)total, name, histogram->sum_ms, name,
        (unsigned long long)total);
}
