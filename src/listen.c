// Listen: turns new connections away from a listening socket before it is closed. The system
// completes handshakes by itself, and closing the socket resets connections that were not accepted
// yet. Their callers would see a reset after they sent a request. A caller whose first packet is
// dropped sends it again and is then refused, so it knows that nothing was read.

#include "listen.h"
#include <linux/filter.h>
#include <sys/socket.h>

#define FLAGS_OFFSET 13 // of the flags in a TCP header
#define SYN 0x02
#define ACK 0x10
#define DROP 0
#define PASS 0xffffffff

bool
bj_listen_drop_new (int fd)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, FLAGS_OFFSET),
    BPF_STMT (BPF_ALU | BPF_AND | BPF_K, SYN | ACK),
    BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K, SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, DROP),
    BPF_STMT (BPF_RET | BPF_K, PASS),
  };
  struct sock_fprog program = { .len = sizeof code / sizeof code[0], .filter = code };

  return setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}
