// The traffic service between callers and servers of a test, with names of its
// own for the headers.
#ifndef DOTTERELLEAD_TRAFFIC_TESTS_TRAFFIC_FIXTURE_H_
#define DOTTERELLEAD_TRAFFIC_TESTS_TRAFFIC_FIXTURE_H_

#include <condition_variable>
#include <deque>
#include <mutex>

#include "dotterellead/traffic.h"
#include "loopback_server.h"

namespace dotterellead::traffic {

inline constexpr int kFrontPort = 23501;
inline constexpr int kReadyPort = 23502;
inline constexpr int kServerPort = 23503;
inline constexpr int kMetricsPort = 23504;

inline header_names Names() {
  header_names n;
  n.request_id = "Req-Id";
  n.timeout = "Time-Left-Ms";
  n.signature = "Proof";
  n.expected_server = "Expect-Server";
  n.server_id = "Server-Id";
  n.load = "Load";
  n.not_run = "Not-Run";
  n.warmup_left = "Cold-Ms";
  n.leaving = "Leaving";
  n.retry_after = "Retry-After";
  n.credential = "Credential";
  n.customer = "Customer";
  return n;
}

inline std::string ServerResponse(const std::string& request,
                                  const std::string& status = "200 OK",
                                  const std::string& body = "hello",
                                  const std::string& extra_headers = "") {
  const std::size_t at = request.find("Req-Id: ");
  const std::string id =
      at == std::string::npos
          ? ""
          : request.substr(at + 8, request.find("\r\n", at) - at - 8);
  return "HTTP/1.1 " + status + "\r\nReq-Id: " + id + "\r\nProof: p\r\n" +
         extra_headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Stands in for the dispatcher: sends every request to one server, and delivers
// or rejects it as the test says.
class traffic_fixture {
 public:
  explicit traffic_fixture(
      byte_count max_buffered = {limits::kMaxBufferedResponseBytes})
      : service({{0x7f000001, kFrontPort},
                 {0x7f000001, kReadyPort},
                 {0x7f000001, kMetricsPort},
                 [] { return std::string("calls 1"); },
                 Names(),
                 max_buffered},
                [this](dispatch::dispatcher::message m) {
                  return Receive(std::move(m));
                }) {
    service.Start();
  }
  ~traffic_fixture() { service.Stop(); }

  static constexpr int kAttemptNumber = 1;

  // Returns false if the message is rejected, as by a full ring.
  bool Receive(dispatch::dispatcher::message m) {
    if (is_ring_full &&
        std::holds_alternative<dispatch::caller_disconnected>(m)) {
      ++rejected_disconnects;
      return false;
    }
    std::visit([this](auto& typed) { On(typed); }, m);
    return true;
  }

  template <class Message>
  void On(Message&) {}
  void On(dispatch::request_arrived& m) {
    last_path = m.path;
    last_host = m.host;
    fingerprints.push_back(m.fingerprint.value());
    if (reject) {
      service.Execute(
          dispatch::reject_request{m.request, *reject, milliseconds(250)});
      return;
    }
    if (on_arrival)
      on_arrival(m.request);
    else
      SendToServer(m.request);
  }
  void SendToServer(request_id request) {
    service.Execute(dispatch::send_attempt{
        request,
        {server_id("s-1"), {0x7f000001, kServerPort}, "/health", 4},
        timeout,
        kAttemptNumber,
        {},
        not_after});
  }
  void On(dispatch::attempt_ended& m) {
    results.push_back(m.result);
    if (m.result == dispatch::attempt_result::kResponded)
      service.Execute(dispatch::deliver_response{m.request, kAttemptNumber});
    else
      service.Execute(dispatch::reject_request{
          m.request, dispatch::reject_reason::kServerFailed, std::nullopt});
  }
  void On(dispatch::caller_disconnected& m) {
    ++disconnected;
    service.Execute(dispatch::cancel_request{m.request});
  }
  void On(dispatch::server_notice& m) {
    std::lock_guard lock(mutex);
    notices.push_back(m);
  }
  void On(dispatch::probes_completed& m) {
    std::lock_guard lock(mutex);
    samples = m.samples;
    sampled.notify_all();
  }

  std::string Send(const std::string& request) {
    test_socket s = test_socket::Connect(kFrontPort);
    s.Write(request);
    return s.ReadMessage();
  }

  std::optional<dispatch::reject_reason> reject;
  std::optional<boot_time> not_after;
  milliseconds timeout{1'000};
  // Called instead of SendToServer when a request arrives.
  std::function<void(request_id)> on_arrival;
  // Whether the dispatcher rejects notifications of disconnected callers.
  std::atomic<bool> is_ring_full = false;
  std::atomic<int> rejected_disconnects = 0;
  std::vector<dispatch::attempt_result> results;
  std::vector<std::uint64_t> fingerprints;
  std::string last_path;
  std::string last_host;
  std::atomic<int> disconnected = 0;
  std::mutex mutex;
  std::condition_variable sampled;
  std::vector<dispatch::load_sample> samples;
  std::vector<dispatch::server_notice> notices;
  traffic_service service;
};

inline std::string Get(const std::string& headers = "",
                       const std::string& target = "/a/1") {
  return "GET " + target + " HTTP/1.1\r\nHost: h.example\r\nReq-Id: 17\r\n" +
         headers + "\r\n";
}

inline bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_TESTS_TRAFFIC_FIXTURE_H_
