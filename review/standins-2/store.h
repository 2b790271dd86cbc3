// The platform's store: a log with keyed topics.
#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "net.h"

namespace review {

class store {
 public:
  store();
  ~store();
  int port() const { return port_; }
  // Appends a record. An empty value removes the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  // The newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key);
  // Calls answered since the start.
  std::uint64_t calls();

 private:
  struct record {
    std::string key;
    std::string value;
  };
  struct topic_log {
    std::vector<record> records;
    // Offset of the newest record of each key that has a value.
    std::map<std::string, std::size_t> newest;
  };
  using query_map = std::map<std::string, std::string>;

  void Accept();
  void Serve(socket_handle socket);
  std::string Answer(const message& request);
  std::string Read(const query_map& query);
  std::string List(const query_map& query);
  std::string Append(const query_map& query, const std::string& body);
  void PutLocked(const std::string& topic, record added);

  int port_ = 0;
  socket_handle listener_;
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, topic_log> topics_;
  std::uint64_t calls_ = 0;
  bool is_stopped_ = false;
  std::thread accepting_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_H_
