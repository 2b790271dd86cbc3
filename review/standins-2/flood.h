// Many callers on one thread each, which send the next request as soon as the
// answer to the last one is there.
#ifndef REVIEW_STANDINS_2_FLOOD_H_
#define REVIEW_STANDINS_2_FLOOD_H_

#include <functional>

#include "net.h"

namespace review {

struct flood_result {
  std::uint64_t sent = 0;
  // Answers by status.
  std::map<int, std::uint64_t> answers;
  void Add(const flood_result& other);
};

// Makes the bytes of a request from the number of its connection and its own.
using request_maker = std::function<std::string(int, std::uint64_t)>;

// Keeps `connections` busy until `end`, on one thread.
flood_result Flood(int port,
                   int connections,
                   time_point end,
                   const request_maker& make);

// Opens the connections, sends one request on each, and waits for the answers
// for at most `patience`.
flood_result SendAtOnce(int port,
                        int connections,
                        milliseconds patience,
                        const request_maker& make);

}  // namespace review

#endif  // REVIEW_STANDINS_2_FLOOD_H_
