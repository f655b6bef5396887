// Access: checks the keys of client accounts at a front and finds the account of a call. A call of
// a caller gets its account by its key, a nested call takes that of its parent.

#include "access.h"

// An unknown key may be in a newer configuration. Members have it within 3 s of its acknowledgement
// by the store; callers of a daemon that doesn't get it are refused for good after this time.
#define NEWER_CONFIG_WAIT_MS 5000

typedef struct
{
  BjStr name; // owned
  uint64_t n_calls;
  uint64_t n_refused;
} AccountCounts;

static BjStatus refuse (const BjKernel *k, BjTime now);
static bool is_nested_by_id (BjKernel *k, const BjRequest *r);
static const BjCall *find_parent (BjKernel *k, const BjCall *c);
static void set_account (BjCall *c, const BjAccount *a);
static AccountCounts *get_counts (BjKernel *k, BjStr name);
static gboolean add_to_removed (gpointer name, gpointer counts, gpointer kernel);
static void free_counts (gpointer counts);
static gint by_calls (gconstpointer a, gconstpointer b);
static void
print_series (const GPtrArray *all, const AccountCounts *other, bool refused, GString *out);

BjStatus
bj_access_admit (BjKernel *k, BjTime now, BjCall *c, const BjRoute *r)
{
  const BjAccounts *all = k->config->accounts;
  const BjAccount *a;
  const BjCall *parent;

  if (all == NULL)
    return BJ_OK;
  c->is_anonymous = r->anonymous;
  a = bj_accounts_find_key (all, c->request.api_key);
  if (a != NULL)
    {
      set_account (c, a);
      c->has_account_key = true;
      c->key_config = k->config->number;
      c->klass = MAX (a->klass >= 0 ? a->klass : r->klass, MIN (c->request.klass, BJ_CLASSES - 1));
      return BJ_OK;
    }
  parent = c->request.api_key.len == 0 ? find_parent (k, c) : NULL;
  // A parent that was inferred from times may be wrong, so it does not replace a key.
  if (parent == NULL || (c->is_parent_inferred && !r->anonymous))
    return r->anonymous ? BJ_OK : refuse (k, now);
  if (parent->request.account.len == 0)
    return BJ_OK;
  a = bj_accounts_find (all, parent->request.account);
  bj_str_set (&c->request.account, parent->request.account);
  c->request.hides_account = parent->request.hides_account || c->is_parent_inferred;
  if (!c->is_nested && a != NULL && a->klass >= 0)
    c->klass = MAX (a->klass, MIN (c->request.klass, BJ_CLASSES - 1));
  return BJ_OK;
}

BjStatus
bj_access_check_again (BjKernel *k, BjTime now, BjCall *c)
{
  const BjAccount *a;

  if (!c->has_account_key || k->config->accounts == NULL || c->key_config == k->config->number)
    return BJ_OK;
  c->key_config = k->config->number;
  a = bj_accounts_find_key (k->config->accounts, c->request.api_key);
  if (a != NULL && bj_str_equal (a->name, c->request.account))
    return BJ_OK;
  if (a != NULL)
    {
      set_account (c, a);
      return BJ_OK;
    }
  if (!c->is_anonymous)
    return refuse (k, now);
  bj_str_free (&c->request.account);
  c->has_account_key = false;
  return BJ_OK;
}

BjStatus
bj_kernel_check_head (BjKernel *k, BjTime now, const BjRequest *r, bool *runs_alone)
{
  const BjServiceConfig *s;
  const BjRoute *route = bj_config_route_for_host (k->config, r->host, r->path, &s);

  *runs_alone = route != NULL && route->irreversible;
  if (route == NULL || k->config->accounts == NULL || route->anonymous
      || bj_accounts_find_key (k->config->accounts, r->api_key) != NULL)
    return BJ_OK;
  // Nested calls carry no key.
  if (r->api_key.len == 0 && is_nested_by_id (k, r))
    return BJ_OK;
  return refuse (k, now);
}

void
bj_kernel_refuse_head (BjKernel *k, BjTime now, const BjRequest *r, BjStatus s)
{
  k->counts.codes[s]++;
  if (bj_log_enabled (BJ_LOG_INFO) && bj_log_allow_call_line (now))
    bj_log (BJ_LOG_INFO,
            "ACCOUNT",
            "req=%.*s key=%s answered=%s by its head",
            r->id.len > 0 ? (int)r->id.len : 1,
            r->id.len > 0 ? r->id.data : "-",
            r->api_key.len > 0 ? "unknown" : "missing",
            bj_status_name (s));
}

const BjAccount *
bj_access_account (const BjKernel *k, const BjCall *c)
{
  if (k->config == NULL || c->request.account.len == 0)
    return NULL;
  return bj_accounts_find (k->config->accounts, c->request.account);
}

void
bj_access_note_config (BjKernel *k, BjTime now, int64_t number)
{
  if (number <= k->newer_config || (k->config != NULL && number <= k->config->number))
    return;
  k->newer_config = number;
  k->newer_config_at = now;
}

void
bj_access_configure (BjKernel *k)
{
  if (k->account_counts != NULL)
    g_hash_table_foreach_remove (k->account_counts, add_to_removed, k);
}

void
bj_access_clear (BjKernel *k)
{
  if (k->account_counts != NULL)
    g_hash_table_destroy (k->account_counts);
}

void
bj_access_count_answer (BjKernel *k, const BjCall *c, BjStatus code)
{
  AccountCounts *n;

  if (!c->has_account_key)
    return;
  n = get_counts (k, c->request.account);
  n->n_calls++;
  n->n_refused += code == BJ_E_RATE;
}

uint64_t
bj_access_calls (const BjKernel *k, BjStr account)
{
  const AccountCounts *n
      = k->account_counts != NULL ? g_hash_table_lookup (k->account_counts, &account) : NULL;

  return n != NULL ? n->n_calls : 0;
}

uint64_t
bj_access_refused (const BjKernel *k, BjStr account)
{
  const AccountCounts *n
      = k->account_counts != NULL ? g_hash_table_lookup (k->account_counts, &account) : NULL;

  return n != NULL ? n->n_refused : 0;
}

void
bj_access_print_metrics (const BjKernel *k, GString *out)
{
  AccountCounts other = { BJ_STR ("other"), k->removed_account_calls, k->removed_account_refused };
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter i;
  gpointer n;

  if (k->account_counts == NULL)
    {
      g_ptr_array_free (all, TRUE);
      return;
    }
  g_hash_table_iter_init (&i, k->account_counts);
  while (g_hash_table_iter_next (&i, NULL, &n))
    g_ptr_array_add (all, n);
  g_ptr_array_sort (all, by_calls);
  while (all->len > BJ_ACCOUNT_SERIES_MAX)
    {
      const AccountCounts *last = all->pdata[all->len - 1];

      other.n_calls += last->n_calls;
      other.n_refused += last->n_refused;
      g_ptr_array_set_size (all, (gint)all->len - 1);
    }
  g_string_append (out,
                   "# HELP bj_account_calls Ended calls of callers, by account; the accounts with "
                   "fewer calls together as other.\n# TYPE bj_account_calls gauge\n");
  print_series (all, &other, false, out);
  g_string_append (out,
                   "# HELP bj_account_rate_refusals Calls refused because the account is above its "
                   "rate.\n# TYPE bj_account_rate_refusals gauge\n");
  print_series (all, &other, true, out);
  g_ptr_array_free (all, TRUE);
}

static BjStatus
refuse (const BjKernel *k, BjTime now)
{
  bool may_be_newer
      = k->newer_config > k->config->number && now - k->newer_config_at < NEWER_CONFIG_WAIT_MS;

  return may_be_newer ? BJ_E_NO_UPSTREAM : BJ_E_UNAUTHORIZED;
}

static bool
is_nested_by_id (BjKernel *k, const BjRequest *r)
{
  const BjCall *parent = bj_call_parent (k, r);

  if (r->parent != 0)
    return parent != NULL && parent->state == BJ_CALL_RUNNING;
  return bj_parent_find_by_id (k, r->id) != NULL;
}

// Returns the running call that c was made for; a call that does not run here makes no calls.
static const BjCall *
find_parent (BjKernel *k, const BjCall *c)
{
  const BjCall *parent = c->request.parent != 0
                             ? bj_call_parent (k, &c->request)
                             : g_hash_table_lookup (k->calls, &c->matched_parent);

  return parent != NULL && parent->state == BJ_CALL_RUNNING ? parent : NULL;
}

static void
set_account (BjCall *c, const BjAccount *a)
{
  bj_str_set (&c->request.account, a->name);
  c->request.hides_account = false;
}

static AccountCounts *
get_counts (BjKernel *k, BjStr name)
{
  AccountCounts *n;

  if (k->account_counts == NULL)
    k->account_counts
        = g_hash_table_new_full (bj_str_key_hash, bj_str_key_equal, NULL, free_counts);
  n = g_hash_table_lookup (k->account_counts, &name);
  if (n != NULL)
    return n;
  n = g_new0 (AccountCounts, 1);
  n->name = bj_str_dup (name);
  g_hash_table_insert (k->account_counts, &n->name, n);
  return n;
}

static gboolean
add_to_removed (gpointer name, gpointer counts, gpointer kernel)
{
  BjKernel *k = kernel;
  const AccountCounts *n = counts;

  if (bj_accounts_find (k->config->accounts, *(BjStr *)name) != NULL)
    return FALSE;
  k->removed_account_calls += n->n_calls;
  k->removed_account_refused += n->n_refused;
  return TRUE;
}

static void
free_counts (gpointer counts)
{
  bj_str_free (&((AccountCounts *)counts)->name);
  g_free (counts);
}

static gint
by_calls (gconstpointer a, gconstpointer b)
{
  const AccountCounts *x = *(AccountCounts *const *)a;
  const AccountCounts *y = *(AccountCounts *const *)b;

  if (x->n_calls != y->n_calls)
    return x->n_calls > y->n_calls ? -1 : 1;
  return g_strcmp0 (x->name.data, y->name.data);
}

static void
print_series (const GPtrArray *all, const AccountCounts *other, bool refused, GString *out)
{
  const char *name = refused ? "rate_refusals" : "calls";

  for (guint i = 0; i <= all->len; i++)
    {
      const AccountCounts *n = i < all->len ? all->pdata[i] : other;

      g_string_append_printf (out,
                              "bj_account_%s{account=\"%.*s\"} %" G_GUINT64_FORMAT "\n",
                              name,
                              BJ_STR_ARG (n->name),
                              refused ? n->n_refused : n->n_calls);
    }
}
