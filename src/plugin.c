// Plugin: tables of the plug-ins that have registered themselves.

#include "boragejunction.h"

typedef struct
{
  const char *name;
  const void *ops;
} Entry;

static GArray *tables[BJ_PLUGIN_KINDS];

void
bj_plugin_register (BjPluginKind kind, const char *name, const void *ops)
{
  Entry e = { name, ops };

  if (tables[kind] == NULL)
    tables[kind] = g_array_new (FALSE, FALSE, sizeof (Entry));
  g_array_append_val (tables[kind], e);
}

const void *
bj_plugin_find (BjPluginKind kind, BjStr name)
{
  GArray *t = tables[kind];

  for (guint i = 0; t != NULL && i < t->len; i++)
    {
      const Entry *e = &g_array_index (t, Entry, i);

      if (bj_str_equal (bj_str (e->name), name))
        return e->ops;
    }
  return NULL;
}

void
bj_plugin_names (BjPluginKind kind, GString *out)
{
  GArray *t = tables[kind];

  for (guint i = 0; t != NULL && i < t->len; i++)
    g_string_append_printf (out, "%s%s", i > 0 ? ", " : "", g_array_index (t, Entry, i).name);
}
