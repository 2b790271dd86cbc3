#include "dotterellead/unsent_bytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dotterellead {

void DiscardUnsentOnClose(int socket) {
  int unsent = 0;
  if (ioctl(socket, SIOCOUTQNSD, &unsent) != 0 || unsent == 0)
    return;
  const linger discard{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

}  // namespace dotterellead
