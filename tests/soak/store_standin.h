// The platform's store, as its published protocol describes it, with faults.
#ifndef TESTS_SOAK_STORE_STANDIN_H_
#define TESTS_SOAK_STORE_STANDIN_H_

#include <map>
#include <vector>

#include "standin_net.h"

namespace dotterellead::soak {

enum class store_fault { kNone, kBusy, kSilent, kReset, kSlow };

class store_standin {
 public:
  store_standin(asio::io_context& io, int port);
  // Appends a record to a keyed topic, as servers and operators do. An empty
  // value removes the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void SetFault(store_fault fault) { fault_ = fault; }
  // Drops the history; the newest records of all keys stay.
  void Compact();
  // Comes back from a copy of this age: later records are lost, their offsets
  // are used again, and the era increases. The history from before the last
  // Compact is kept.
  void RestoreCopy(milliseconds age);
  // Whether the key's newest record has this value.
  bool HasValue(const std::string& topic,
                const std::string& key,
                const std::string& value);
  store_fault fault() const { return fault_; }
  std::uint64_t calls() const { return calls_; }

 private:
  struct record {
    std::string key;
    std::string value;
    time_point appended_at;
  };
  // Offset of each key's newest record, and its value.
  using newest_records =
      std::map<std::string, std::pair<std::uint64_t, std::string>>;
  struct topic_log {
    std::uint64_t first = 0;
    std::vector<record> records;
    newest_records newest;
    // Those before `first`.
    newest_records newest_before;
    std::uint64_t end() const { return first + records.size(); }
  };

  static void SetNewest(newest_records& newest,
                        std::uint64_t offset,
                        const record& record);
  task<> Serve(stream_ptr stream);
  task<answer_message> Answer(const request_message& request);
  task<answer_message> Read(std::map<std::string, std::string>& query);
  answer_message Newest(std::map<std::string, std::string>& query);
  answer_message Append(std::map<std::string, std::string>& query,
                        const std::string& body);

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer appended_;
  std::map<std::string, topic_log> topics_;
  store_fault fault_ = store_fault::kNone;
  std::uint64_t calls_ = 0;
  int era_ = 0;
};

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_STORE_STANDIN_H_
