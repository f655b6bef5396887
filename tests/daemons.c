// Daemons in the process of a test, on loopback addresses.

#include "daemons.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define PORT_TRIES 5
#define BACKLOG 64

int
daemons_listen (int *fd)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  *fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (*fd, (struct sockaddr *)&addr, sizeof addr), 0);
  assert_int_equal (listen (*fd, BACKLOG), 0);
  getsockname (*fd, (struct sockaddr *)&addr, &len);
  return ntohs (addr.sin_port);
}

BjAddress
daemons_free_address (void)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int udp = socket (AF_INET, SOCK_DGRAM, 0);
  int port = 0;
  bool is_free = false;

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  // Gossip needs the port for UDP.
  while (!is_free)
    {
      int fd;

      port = daemons_listen (&fd);
      addr.sin_port = htons ((uint16_t)port);
      is_free = bind (udp, (struct sockaddr *)&addr, sizeof addr) == 0;
      close (fd);
    }
  close (udp);
  return (BjAddress){ BJ_STR ("127.0.0.1"), port };
}

BjDaemon *
daemons_new (struct ev_loop *loop, BjSettings s)
{
  BjAddress *all[] = { &s.front, &s.admin, &s.link, &s.gossip };
  bool is_chosen_here[G_N_ELEMENTS (all)];
  BjStatus status = BJ_E_IO;
  BjDaemon *d = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    is_chosen_here[i] = all[i]->port == 0;
  if (s.name.len == 0)
    s.name = BJ_STR ("one");
  if (s.domain.len == 0)
    s.domain = BJ_STR ("a");
  s.region = BJ_STR ("r");
  s.heartbeat_ms = 10000;
  s.pipelined_max = BJ_PIPELINED_MAX;
  s.drain_ms = 100;
  s.leave_ms = BJ_LEAVE_MS;
  // Another process may take a free port before the daemon listens on it.
  for (int n = 0; n < PORT_TRIES && status == BJ_E_IO; n++)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
        if (is_chosen_here[i])
          *all[i] = daemons_free_address ();
      s.advertised_link = s.link;
      s.advertised_gossip = s.gossip;
      status = bj_daemon_new (loop, &s, &d);
    }
  if (status != BJ_OK)
    fail_msg ("%s", bj_last_message ());
  return d;
}

int64_t
daemons_config_number (const BjDaemon *d)
{
  const BjConfig *c = bj_kernel_config (d->kernel);

  return c != NULL ? c->number : 0;
}
