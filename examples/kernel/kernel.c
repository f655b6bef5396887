// Embeds the kernel without sockets: one guard, one slot, three calls, an injected clock.

#include "boragejunction.h"
#include <stdio.h>

static const char config[]
    = "{\"number\":1,\"priorities\":[\"acceptance\",\"preview\"],\"services\":{\"orders\":{"
      "\"routes\":["
      "{\"prefix\":\"/accept\",\"class\":\"acceptance\",\"deadline_ms\":500},"
      "{\"prefix\":\"/preview\",\"class\":\"preview\",\"deadline_ms\":500}],"
      "\"limiter\":{\"plugin\":\"fixed\"}}}}";

static void
print_start (BjHost *h, BjCall *c)
{
  (void)h;
  printf ("start   %.*s\n", BJ_STR_ARG (c->request.path));
}

static void
print_answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)h;
  printf ("answer  %.*s %s, retry after %.0f ms\n",
          BJ_STR_ARG (c->request.path),
          bj_status_name (a->code),
          a->retry_after_ms);
}

static void
send_to_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)h;
  (void)c;
  (void)p;
}

static void
do_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

int
main (void)
{
  static const BjHostOps ops
      = { send_to_peer, print_start, do_nothing, print_answer, do_nothing, do_nothing };
  BjHost host = { &ops };
  BjKernelOptions o = { .self = { .name = BJ_STR ("one"), .domain = BJ_STR ("north-a") },
                        .host = &host,
                        .seed = 1 };
  BjRequest preview
      = { .method = BJ_STR ("GET"), .path = BJ_STR ("/preview"), .klass = -1, .attempts_left = -1 };
  BjRequest accept
      = { .method = BJ_STR ("POST"), .path = BJ_STR ("/accept"), .klass = -1, .attempts_left = -1 };
  BjKernel *k = bj_kernel_new (&o, 0);
  BjConfig *c;
  BjCall *first;

  if (bj_config_parse (bj_str (config), &c) != BJ_OK)
    {
      printf ("%s\n", bj_last_message ());
      return 1;
    }
  bj_kernel_set_config (k, 0, c);
  bj_kernel_announce (k, 0, BJ_STR ("orders"), 1);
  first = bj_kernel_arrive (k, 2000, &preview, NULL); // runs
  bj_kernel_arrive (k, 2001, &preview, NULL);         // waits
  bj_kernel_arrive (k, 2002, &accept, NULL);          // waits, is started before the preview
  bj_kernel_answer_begin (k, 2010, first, &(BjAnswer){ .outcome = BJ_DONE, .http_status = 200 });
  bj_kernel_answer_end (k, 2010, first, true); // the accept call starts
  bj_kernel_tick (k, 3000);                    // both open calls pass their deadlines
  bj_kernel_free (k);
  return 0;
}
