// boraged: the overload control daemon that runs beside each upstream.

#include "boragejunction.h"
#include <argtable2.h>
#include <curl/curl.h>
#include <ev.h>
#include <signal.h>
#include <stdio.h>

#define EXIT_SETTINGS 2
#define SETTINGS_CHECK_INTERVAL_S 1.0 // between two checks for a changed settings file

typedef struct
{
  const char *path;
  BjDaemon *daemon;
} ReloadTarget;

static void print_help (void **table);
static int check_and_run (const char *path, bool only_check);
static int run_daemon (const char *path, BjSettings *s);
static void on_stop_signal (struct ev_loop *loop, ev_signal *w, int events);
static void on_hangup_signal (struct ev_loop *loop, ev_signal *w, int events);
static void on_file_change (struct ev_loop *loop, ev_stat *w, int events);
static void reload_settings (const ReloadTarget *r);

int
main (int argc, char **argv)
{
  struct arg_file *config
      = arg_file0 ("c", "config", "FILE", "run with the settings in FILE (JSON, comments allowed)");
  struct arg_file *check
      = arg_file0 (NULL, "check-config", "FILE", "check the settings in FILE and exit");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_end *end = arg_end (4);
  void *table[] = { config, check, help, version, end };
  int n_errors = arg_parse (argc, argv, table);
  int code = 0;
  sigset_t hangup;

  // A SIGHUP before the handler is set would end the process; it is delivered afterwards.
  sigemptyset (&hangup);
  sigaddset (&hangup, SIGHUP);
  sigprocmask (SIG_BLOCK, &hangup, NULL);
  if (help->count > 0)
    print_help (table);
  else if (version->count > 0)
    printf ("boraged %s\n", BJ_VERSION);
  else if (n_errors > 0 || config->count + check->count != 1)
    {
      arg_print_errors (stderr, end, "boraged");
      fprintf (stderr,
               "boraged: exactly one of --config FILE and --check-config FILE is required.\n");
      code = EXIT_SETTINGS;
    }
  else if (check->count > 0)
    code = check_and_run (check->filename[0], true);
  else
    code = check_and_run (config->filename[0], false);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static void
print_help (void **table)
{
  printf ("Usage: boraged");
  arg_print_syntax (stdout, table, "\n");
  printf ("Overload control daemon that runs beside one upstream instance.\n\n");
  arg_print_glossary (stdout, table, "  %-26s %s\n");
}

static int
check_and_run (const char *path, bool only_check)
{
  BjSettings s;
  int code = 0;

  if (bj_settings_read (path, &s) != BJ_OK)
    {
      fprintf (stderr, "boraged: %s\n", bj_last_message ());
      return EXIT_SETTINGS;
    }
  if (!only_check)
    code = run_daemon (path, &s);
  bj_settings_clear (&s);
  return code;
}

static int
run_daemon (const char *path, BjSettings *s)
{
  ReloadTarget reload = { .path = path };
  struct ev_loop *loop = ev_default_loop (0);
  BjDaemon *d;
  ev_signal term;
  ev_signal interrupt;
  ev_signal hup;
  ev_stat file;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (bj_daemon_new (loop, s, &d) != BJ_OK)
    {
      fprintf (stderr, "boraged: %s\n", bj_last_message ());
      ev_loop_destroy (loop);
      curl_global_cleanup ();
      return EXIT_SETTINGS;
    }
  bj_log_open (s->log_level);
  ev_signal_init (&term, on_stop_signal, SIGTERM);
  ev_signal_init (&interrupt, on_stop_signal, SIGINT);
  term.data = d;
  interrupt.data = d;
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &interrupt);
  reload.daemon = d;
  ev_signal_init (&hup, on_hangup_signal, SIGHUP);
  ev_stat_init (&file, on_file_change, path, SETTINGS_CHECK_INTERVAL_S);
  hup.data = &reload;
  file.data = &reload;
  ev_signal_start (loop, &hup);
  ev_stat_start (loop, &file);
  bj_log (BJ_LOG_INFO,
          "MEMBER",
          "Daemon %s runs in failure domain %s; callers at %s:%d.",
          s->name.data,
          s->domain.data,
          s->front.host.data,
          s->front.port);
  ev_run (loop, 0);
  bj_daemon_free (d);
  bj_log_close ();
  ev_loop_destroy (loop);
  curl_global_cleanup ();
  return 0;
}

static void
on_stop_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  (void)loop;
  (void)events;
  bj_daemon_stop (w->data);
}

static void
on_hangup_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  (void)loop;
  (void)events;
  reload_settings (w->data);
}

static void
on_file_change (struct ev_loop *loop, ev_stat *w, int events)
{
  (void)loop;
  (void)events;
  if (w->attr.st_nlink > 0)
    reload_settings (w->data);
}

static void
reload_settings (const ReloadTarget *r)
{
  BjSettings s;

  if (bj_settings_read (r->path, &s) != BJ_OK)
    {
      bj_log (BJ_LOG_WARNING,
              "SETTINGS",
              "Reload failed, keeping the current settings: %s",
              bj_last_message ());
      return;
    }
  bj_daemon_reload (r->daemon, &s);
  bj_settings_clear (&s);
}
