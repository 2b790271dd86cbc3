// Closing connections whose peer does not read.
#ifndef DOTTERELLEAD_UNSENT_BYTES_H_
#define DOTTERELLEAD_UNSENT_BYTES_H_

namespace dotterellead {

// Makes the next close of a TCP socket discard its unsent bytes and reset the
// connection if there are any. An ordinary close sends them first, so a peer
// that does not read would not learn of it. Does nothing if `socket` is not
// open.
void DiscardUnsentOnClose(int socket);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_UNSENT_BYTES_H_
