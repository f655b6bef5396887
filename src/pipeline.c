// Pipeline: order of the responses on one connection of a caller. The response of the earliest open
// request goes directly to the output; those of later ones wait in their own buffers.

#include "pipeline.h"
#include <http_parser.h>

static void cut_behind (BjPipeline *p, BjPipelineRequest *r);
static void cut_behind_end (BjPipeline *p);
static void advance (BjPipeline *p);
static void move_waiting (BjPipeline *p, BjPipelineRequest *r);
static void notify_room (BjPipeline *p);
static void pop_written (BjPipeline *p);
static bool is_current (const BjPipelineRequest *r);
static GString *output_of (BjPipelineRequest *r);
static void count_added (BjPipelineRequest *r, size_t n);
static void decide_close (BjPipelineRequest *r);
static void free_request (BjPipelineRequest *r);

void
bj_pipeline_init (BjPipeline *p,
                  const BjPipelineOps *ops,
                  const BjPipelineLimits *limits,
                  void *data)
{
  *p = (BjPipeline){ .ops = ops, .limits = limits, .data = data, .out = g_string_new (NULL) };
}

void
bj_pipeline_clear (BjPipeline *p)
{
  p->is_last_begun = true;
  cut_behind (p, NULL);
  g_string_free (p->out, TRUE);
  p->out = NULL;
}

bool
bj_pipeline_may_begin (const BjPipeline *p, bool runs_alone)
{
  const BjPipelineLimits *l = p->limits;

  if (p->is_last_begun)
    return false;
  if (p->first == NULL)
    return true;
  return !runs_alone && !p->first->options.runs_alone && !l->is_stopping
         && p->n_open < l->requests_max && p->n_waiting < l->waiting_max;
}

BjPipelineRequest *
bj_pipeline_begin (BjPipeline *p, const BjPipelineOptions *o)
{
  BjPipelineRequest *r = g_new0 (BjPipelineRequest, 1);

  r->pipeline = p;
  r->options = *o;
  r->is_behind = p->first != NULL;
  if (p->last != NULL)
    p->last->next = r;
  else
    p->first = r;
  p->last = r;
  if (p->current == NULL)
    p->current = r;
  p->n_open++;
  p->is_last_begun = !o->keep_alive;
  return r;
}

void
bj_pipeline_head (BjPipelineRequest *r, int status, BjStr lines, int64_t length)
{
  BjPipelineOptions *o = &r->options;
  GString *out = output_of (r);
  size_t before = out->len;

  o->is_chunked = length < 0 && !o->no_body && o->is_chunked;
  if (length < 0 && !o->is_chunked && !o->no_body)
    o->keep_alive = false;
  g_string_append_printf (
      out, "HTTP/1.1 %d %s\r\n", status, http_status_str ((enum http_status)status));
  if (lines.len > 0)
    g_string_append_len (out, lines.data, (gssize)lines.len);
  if (o->is_chunked)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  else if (length >= 0)
    g_string_append_printf (out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  if (is_current (r))
    {
      decide_close (r);
      g_string_append (out, r->closes ? "Connection: close\r\n\r\n" : "\r\n");
    }
  else
    {
      r->head_bytes = out->len;
      r->closes = !o->keep_alive;
    }
  if (r->closes && !r->is_cut)
    r->pipeline->is_last_begun = true;
  count_added (r, out->len - before);
}

void
bj_pipeline_data (BjPipelineRequest *r, BjStr part)
{
  GString *out;
  size_t before;

  if (part.len == 0 || r->options.no_body)
    return;
  out = output_of (r);
  before = out->len;
  if (r->options.is_chunked)
    g_string_append_printf (out, "%zx\r\n", part.len);
  g_string_append_len (out, part.data, (gssize)part.len);
  if (r->options.is_chunked)
    g_string_append (out, "\r\n");
  r->unreported += part.len;
  count_added (r, out->len - before);
}

void
bj_pipeline_end (BjPipelineRequest *r, bool is_complete)
{
  r->call = NULL;
  if (is_complete && r->options.is_chunked)
    {
      static const char last_chunk[] = "0\r\n\r\n";

      g_string_append (output_of (r), last_chunk);
      count_added (r, sizeof last_chunk - 1);
    }
  r->is_complete = is_complete;
  r->is_broken = !is_complete;
  if (r->is_broken && !r->is_cut)
    r->pipeline->is_last_begun = true;
}

size_t
bj_pipeline_room (const BjPipelineRequest *r)
{
  const BjPipeline *p = r->pipeline;
  size_t used = is_current (r) ? bj_pipeline_unsent (p) : p->n_waiting;
  size_t max = is_current (r) ? p->limits->room_bytes : p->limits->waiting_max;

  return used < max ? max - used : 0;
}

void
bj_pipeline_interim (BjPipeline *p, BjStr bytes)
{
  g_string_append_len (p->out, bytes.data, (gssize)bytes.len);
  p->interim += bytes.len;
}

BjStr
bj_pipeline_pending (BjPipeline *p)
{
  size_t n;

  advance (p);
  pop_written (p);
  n = bj_pipeline_unsent (p);
  // What is in out of a response that broke off is dropped, unless it is the only one.
  if (p->current != NULL && p->current->is_broken)
    n -= p->current->unwritten;
  return (BjStr){ p->out->str + p->out_written, n };
}

void
bj_pipeline_written (BjPipeline *p, size_t n)
{
  size_t taken = MIN (n, p->interim);

  p->out_written += n;
  p->interim -= taken;
  n -= taken;
  for (BjPipelineRequest *r = p->first; r != NULL && n > 0; r = r->next)
    {
      size_t drained;

      taken = MIN (n, r->unwritten);
      n -= taken;
      r->unwritten -= taken;
      drained = MIN (taken, r->unreported);
      r->unreported -= drained;
      if (r->call != NULL && drained > 0)
        p->ops->drained (r->call, drained);
    }
  // Without the second condition out would grow as long as a slow caller keeps requesting.
  if (p->out_written == p->out->len || p->out_written >= p->limits->room_bytes)
    {
      g_string_erase (p->out, 0, (gssize)p->out_written);
      p->out_written = 0;
    }
  advance (p);
  pop_written (p);
}

size_t
bj_pipeline_unsent (const BjPipeline *p)
{
  return p->out->len - p->out_written;
}

bool
bj_pipeline_is_broken (const BjPipeline *p)
{
  return p->first != NULL && p->first->is_broken && p->first == p->current;
}

// Cancels the requests behind r, all of them with NULL. Cancelling one may pass responses to the
// others, so each stays allocated until its own call is cancelled.
static void
cut_behind (BjPipeline *p, BjPipelineRequest *r)
{
  BjPipelineRequest *next = r != NULL ? r->next : p->first;

  p->last = r;
  if (r != NULL)
    r->next = NULL;
  else
    p->first = p->current = NULL;
  for (BjPipelineRequest *i = next; i != NULL; i = i->next)
    {
      i->is_cut = true;
      p->n_open--;
      if (i->waiting != NULL)
        p->n_waiting -= i->waiting->len;
    }
  while (next != NULL)
    {
      BjPipelineRequest *i = next;

      next = i->next;
      if (i->call != NULL)
        p->ops->cancelled (i->call);
      free_request (i);
    }
}

static void
cut_behind_end (BjPipeline *p)
{
  if (!p->is_last_begun)
    return;
  for (BjPipelineRequest *r = p->first; r != NULL; r = r->next)
    if ((r->closes || r->is_broken) && r->next != NULL)
      cut_behind (p, r);
}

// Moves the responses that no longer wait for an earlier one to the output.
static void
advance (BjPipeline *p)
{
  cut_behind_end (p);
  while (p->current != NULL && p->current->is_complete)
    {
      p->current = p->current->next;
      if (p->current == NULL)
        return;
      move_waiting (p, p->current);
      notify_room (p);
      // Meanwhile a response may have broken off, or turned out to close the connection.
      cut_behind_end (p);
    }
}

static void
move_waiting (BjPipeline *p, BjPipelineRequest *r)
{
  GString *w = r->waiting;
  size_t before = p->out->len;

  if (w == NULL)
    return;
  r->waiting = NULL;
  p->n_waiting -= w->len;
  if (!r->is_broken)
    {
      decide_close (r);
      g_string_append_len (p->out, w->str, (gssize)r->head_bytes);
      g_string_append (p->out, r->closes ? "Connection: close\r\n\r\n" : "\r\n");
      g_string_append_len (p->out, w->str + r->head_bytes, (gssize)(w->len - r->head_bytes));
      r->unwritten += p->out->len - before;
    }
  g_string_free (w, TRUE);
}

// A response that was paused while it waited would get no other sign that it may resume.
static void
notify_room (BjPipeline *p)
{
  for (BjPipelineRequest *r = p->current; r != NULL; r = r->next)
    if (r->call != NULL)
      p->ops->drained (r->call, 0);
}

static void
pop_written (BjPipeline *p)
{
  while (p->first != NULL && p->first != p->current && p->first->unwritten == 0)
    {
      BjPipelineRequest *r = p->first;

      p->first = r->next;
      if (p->first == NULL)
        p->last = NULL;
      p->n_open--;
      p->is_ended = p->is_ended || r->closes;
      free_request (r);
    }
}

static bool
is_current (const BjPipelineRequest *r)
{
  return !r->is_cut && r == r->pipeline->current;
}

static GString *
output_of (BjPipelineRequest *r)
{
  if (is_current (r))
    return r->pipeline->out;
  if (r->waiting == NULL)
    r->waiting = g_string_new (NULL);
  return r->waiting;
}

static void
count_added (BjPipelineRequest *r, size_t n)
{
  if (is_current (r))
    r->unwritten += n;
  else if (!r->is_cut)
    r->pipeline->n_waiting += n;
}

// While the daemon stops, the last request that was read closes the connection.
static void
decide_close (BjPipelineRequest *r)
{
  BjPipeline *p = r->pipeline;

  r->closes
      = !r->options.keep_alive || (p->limits->is_stopping && r == p->last && !p->is_more_read);
  if (r->closes)
    p->is_last_begun = true;
}

static void
free_request (BjPipelineRequest *r)
{
  if (r->waiting != NULL)
    g_string_free (r->waiting, TRUE);
  g_free (r);
}
