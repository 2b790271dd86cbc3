// Adds the sender to messages between hosts that do not carry it themselves.
#ifndef DOTTERELLEAD_PEER_ENVELOPE_H_
#define DOTTERELLEAD_PEER_ENVELOPE_H_

#include <string>
#include <string_view>

#include "dotterellead/core.h"

namespace dotterellead {

struct peer_envelope {
  member_id from;
  // JSON text.
  std::string body;
};

std::string EncodeEnvelope(const peer_envelope& envelope);
// Throws protocol_error on malformed input.
peer_envelope DecodeEnvelope(std::string_view text);

// Parameters of the method config.fetch: the offset from which state is wanted.
std::string EncodeFetch(log_offset from);
log_offset DecodeFetch(std::string_view text);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PEER_ENVELOPE_H_
