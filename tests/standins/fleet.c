// bj-fleet: starts a fleet of daemons and upstreams, runs one command and ends all processes.
//
//   bj-fleet [--ticket FILE] [--log LEVEL] NODE... -- COMMAND [ARGUMENT...]
//
// A NODE is NAME:DOMAIN:REGION:SERVICE:SLOTS:SERVICE_MS[:NEXT_PATH]. The environment variable
// BJ_FLEET of the command names a file that describes the fleet: a line "platform PORT", then one
// line per member with its name, domain, region and service, the ports of front, admin, link,
// gossip and upstream, and the process ids of daemon and upstream.

#include "../fleet.h"
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void write_table (const Fleet *f, const char *path);

int
main (int argc, char **argv)
{
  static FleetNode nodes[FLEET_NODES_MAX];
  static Fleet f;
  const char *ticket = NULL;
  const char *level = "info";
  char path[512];
  char *text = NULL;
  int n = 0;
  int i = 1;
  int code = 1;

  for (; i < argc && strcmp (argv[i], "--") != 0; i++)
    {
      if (strcmp (argv[i], "--ticket") == 0 && i + 1 < argc)
        ticket = argv[++i];
      else if (strcmp (argv[i], "--log") == 0 && i + 1 < argc)
        level = argv[++i];
      else if (n == FLEET_NODES_MAX || !fleet_parse_node (argv[i], &nodes[n++]))
        {
          fprintf (
              stderr,
              "bj-fleet: \"%s\" is not NAME:DOMAIN:REGION:SERVICE:SLOTS:MS[:PATH], or more than %d "
              "nodes were given.\n",
              argv[i],
              FLEET_NODES_MAX);
          return 2;
        }
    }
  if (i + 1 >= argc || n == 0)
    {
      fprintf (stderr, "Usage: bj-fleet [--ticket FILE] [--log LEVEL] NODE... -- COMMAND\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&f, nodes, n);
  g_strlcpy (f.log_level, level, sizeof f.log_level);
  g_snprintf (path, sizeof path, "%s/fleet", f.dir);
  setenv ("BJ_FLEET", path, 1);
  if (!fleet_start (&f))
    fprintf (stderr,
             "bj-fleet: the daemons did not learn of each other in time; command not run.\n");
  else if (ticket != NULL
           && (!g_file_get_contents (ticket, &text, NULL, NULL) || !fleet_file_ticket (&f, text)
               || !fleet_wait_ticket (&f, 1, 10000)))
    fprintf (
        stderr,
        "bj-fleet: ticket \"%s\" could not be read, was refused or did not come into force within "
        "10 s; command not run.\n",
        ticket);
  else
    {
      write_table (&f, path);
      code = fleet_run_program (argv + i + 1, NULL);
    }
  g_free (text);
  fleet_stop (&f);
  return code;
}

static void
write_table (const Fleet *f, const char *path)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s, "platform %d\n", f->platform_port);
  for (int i = 0; i < f->n; i++)
    {
      const FleetMember *m = &f->members[i];

      g_string_append_printf (s,
                              "%s %s %s %s %d %d %d %d %d %d %d\n",
                              m->node.name,
                              m->node.domain,
                              m->node.region,
                              m->node.service,
                              m->front_port,
                              m->admin_port,
                              m->link_port,
                              m->gossip_port,
                              m->upstream_port,
                              m->daemon,
                              m->upstream);
    }
  g_file_set_contents (path, s->str, (gssize)s->len, NULL);
  g_string_free (s, TRUE);
}
