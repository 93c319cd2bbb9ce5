/* pearstaird.c - Main program of the daemon. */
#include <malloc.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon.h"
#include "log.h"
#include "run_gateway.h"

#define MMAP_THRESHOLD (64 * 1024)   /* bytes of a buffer */
#define TRIM_THRESHOLD (1024 * 1024) /* free bytes at the heap's end */

#define EXIT_BAD_SETTINGS 2 /* settings or command line are not valid */

/* ---- Globals ---------------------------------------------------------- */

static char *settings_path;
static gboolean is_check_only;
static gboolean is_verbose;

static const GOptionEntry options[] = {
    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_path,
     "Settings file (INI)", "FILE"},
    {"check", 0, 0, G_OPTION_ARG_NONE, &is_check_only,
     "Check the settings file and exit", NULL},
    {"verbose", 'v', 0, G_OPTION_ARG_NONE, &is_verbose,
     "Write debug lines too", NULL},
    G_OPTION_ENTRY_NULL};

/* ---- Internal functions ----------------------------------------------- */

static void
parse_arguments(int *argc, char ***argv)
{
    GError *error = NULL;
    GOptionContext *context =
        g_option_context_new("- places requests on backend servers");
    g_option_context_add_main_entries(context, options, NULL);
    g_option_context_set_description(
        context,
        "Exit codes: 0 shut down gracefully or settings valid, 1 cannot "
        "listen, 2 settings or command line not valid.\n"
        "Example: pearstaird --settings /etc/pearstair/entry1.ini");
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "pearstaird: %s\n", error->message);
        exit(EXIT_BAD_SETTINGS);
    }
    g_option_context_free(context);
    if (!settings_path || *argc > 1) {
        fprintf(stderr, "pearstaird: --settings FILE is required, and no "
                        "other arguments are taken; see --help\n");
        exit(EXIT_BAD_SETTINGS);
    }
}

// Has large buffers returned to the system when they are freed. By default,
// the C library raises the size from which it does so to that of the largest
// one freed, and the heap then keeps the memory of bodies and answers.
static void
return_memory(void)
{
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
    mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
}

/* ---- Program ---------------------------------------------------------- */

int
main(int argc, char **argv)
{
    parse_arguments(&argc, &argv);
    return_memory();
    ps_settings_t settings;
    if (PsSettings_Load(&settings, settings_path) != PS_OK) {
        fprintf(stderr, "pearstaird: %s\n", PsStatus_LastMessage());
        return EXIT_BAD_SETTINGS;
    }
    if (is_check_only) {
        printf("%s: valid\n", settings_path);
        return EXIT_SUCCESS;
    }
    PsLog_Init(settings.name.data, is_verbose);
    if (settings.is_gateway) {
        if (PsRunGateway_Run(&settings, settings_path) != PS_OK) {
            fprintf(stderr, "pearstaird: %s\n", PsStatus_LastMessage());
            return EXIT_FAILURE;
        }
        return EXIT_SUCCESS;
    }
    static ps_daemon_t daemon;
    if (PsDaemon_Init(&daemon, &settings) != PS_OK) {
        fprintf(stderr, "pearstaird: %s\n", PsStatus_LastMessage());
        return EXIT_FAILURE;
    }
    PsDaemon_Run(&daemon);
    PsDaemon_Finish(&daemon);
    return EXIT_SUCCESS;
}
