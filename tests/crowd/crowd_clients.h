// Clients that hold connections to one host and send, or stop, as told.
#ifndef TESTS_CROWD_CROWD_CLIENTS_H_
#define TESTS_CROWD_CROWD_CLIENTS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterellead/http.h"

namespace dotterellead::crowd {

// What one client sends. The body is shared by all clients.
struct client_script {
  std::string header;
  std::shared_ptr<const std::string> body;
  // Bytes of the body that are sent.
  std::size_t sent_body = 0;
  bool reads = true;
};

// Connections that stay open until the object is destroyed or the host closes
// them. All are served by one thread that waits in poll.
class crowd_clients {
 public:
  crowd_clients() = default;
  ~crowd_clients();
  crowd_clients(const crowd_clients&) = delete;
  crowd_clients& operator=(const crowd_clients&) = delete;

  // Opens a connection; false if the host refuses it.
  bool Add(const socket_address& host, client_script script);
  // Sends and reads until nothing more can be sent, or `timeout`. Calls
  // `sample` at least every 50 ms.
  void Run(milliseconds timeout, const std::function<void()>& sample);
  std::size_t open_count() const;
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  struct client {
    int socket = -1;
    client_script script;
    std::size_t sent = 0;
    bool is_done() const {
      return sent == script.header.size() + script.sent_body;
    }
  };

  void Send(client& c);
  static void Read(client& c);
  static void Close(client& c);

  std::vector<client> clients_;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace dotterellead::crowd

#endif  // TESTS_CROWD_CROWD_CLIENTS_H_
