// Nodes: reads the table of the fleet that bj-fleet started.

#include "bjbench.h"
#include <stdio.h>
#include <string.h>

#define NODE_FIELDS 11
#define NODE_FORMAT "%63s %63s %63s %63s %d %d %d %d %d %d %d"

bool
nodes_read (const char *path, BenchNodes *nodes)
{
  char *text;
  char **lines;

  nodes->n = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return false;
  lines = g_strsplit (text, "\n", -1);
  for (int i = 0; lines[i] != NULL && nodes->n < BENCH_NODES_MAX; i++)
    {
      BenchNode *n = &nodes->nodes[nodes->n];
      int fields = sscanf (lines[i],
                           NODE_FORMAT,
                           n->name,
                           n->domain,
                           n->region,
                           n->service,
                           &n->front_port,
                           &n->admin_port,
                           &n->link_port,
                           &n->gossip_port,
                           &n->upstream_port,
                           &n->daemon_pid,
                           &n->upstream_pid);

      nodes->n += fields == NODE_FIELDS;
    }
  g_strfreev (lines);
  g_free (text);
  return nodes->n > 0;
}

bool
node_matches_selector (const BenchNode *n, const char *selector)
{
  return strcmp (n->name, selector) == 0 || strcmp (n->domain, selector) == 0
         || strcmp (n->service, selector) == 0;
}
