// The kinds of crowd: what each client sends.
#ifndef TESTS_CROWD_CROWD_KINDS_H_
#define TESTS_CROWD_CROWD_KINDS_H_

#include <string>
#include <vector>

#include "crowd_clients.h"

namespace dotterellead::crowd {

// What the kinds need to know of the system under test.
struct target_protocol {
  // Request line and headers without those of the body; differs by client.
  std::string (*start)(std::size_t client);
  // A header line that asks for a response of some hundred kB; empty if the
  // server echoes the body.
  std::string large_response;
  std::size_t max_body = 0;
  std::size_t max_header = 0;
};

struct crowd_kind {
  const char* name;
  std::size_t clients;
  client_script (*script)(const target_protocol& target, std::size_t client);
};

const std::vector<crowd_kind>& Kinds();

// One request with a body of `size` bytes.
client_script WholeRequest(const target_protocol& target,
                           std::size_t client,
                           std::size_t size);

}  // namespace dotterellead::crowd

#endif  // TESTS_CROWD_CROWD_KINDS_H_
