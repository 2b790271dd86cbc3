#ifndef DOTTERELLEAD_TRAFFIC_SERVICE_IMPL_H_
#define DOTTERELLEAD_TRAFFIC_SERVICE_IMPL_H_

#include <atomic>
#include <map>
#include <variant>

#include "dotterellead/event_loop.h"
#include "dotterellead/mailbox.h"
#include "dotterellead/spawn.h"
#include "dotterellead/traffic.h"
#include "exchange.h"

namespace dotterellead::traffic {

// The response for a caller, with its share of the host's memory for responses.
struct caller_response {
  response_message message;
  memory_account reservation;
  // The connection cannot be used after it: the framing of the request, or its
  // end, is not known.
  bool must_close = false;
};

// Counts a caller's connection from its acceptance until it is closed.
class open_caller {
 public:
  explicit open_caller(std::atomic<std::uint64_t>& count) : count_(count) {
    ++count_;
  }
  open_caller(const open_caller&) = delete;
  ~open_caller() { --count_; }

 private:
  std::atomic<std::uint64_t>& count_;
};

// An attempt in progress, or ended with a complete response.
struct open_attempt {
  std::shared_ptr<exchange_handle> exchange;
  std::optional<caller_response> response;
};

// A request whose caller waits for the response.
struct open_request {
  explicit open_request(asio::io_context& io) : finished(io) {
    finished.expires_at(asio::steady_timer::time_point::max());
  }
  std::shared_ptr<request_message> request;
  std::string path;
  // The latest two, by number.
  std::map<int, open_attempt> attempts;
  // The response for the caller.
  std::optional<caller_response> response;
  // Cancelled once `response` is set or the caller has disconnected.
  asio::steady_timer finished;
  bool is_finished = false;
};

using open_request_ptr = std::shared_ptr<open_request>;

// A caller's connection that waits for a request.
struct idle_caller {
  std::weak_ptr<beast::tcp_stream> stream;
  time_point since;
  // Its wait was cancelled in order to go on with another idle timeout.
  bool restarts_timeout = false;
};

// Why a request was not read whole.
struct unread_request {
  // None if the connection ended.
  std::optional<http::status> status;
  std::string reason;
};

using caller_parser = http::request_parser<block_body>;

struct set_limits {
  catalog::caller_limits limits;
};
struct start_drain {};
struct stop_accepting {};
using command = std::variant<dispatch::dispatcher::effect,
                             set_limits,
                             start_drain,
                             stop_accepting>;

// What a caller's connection tells while its request is in progress.
enum class caller_state {
  kSilent,
  // Bytes of a further request wait to be read.
  kHasSentMore,
  // The caller has closed the connection, whether or not bytes wait. One that
  // only ends its sending side cannot be told from it.
  kLeft,
};
caller_state CallerStateOf(tcp::socket& socket);

class traffic_service::impl {
 public:
  impl(traffic_settings settings, to_dispatcher post);
  ~impl();
  void Start();
  void Stop();
  void Push(command c) { commands_.Push(std::move(c)); }
  void SetReady(bool is_ready) { is_ready_ = is_ready; }
  traffic_counters counters() const;

 private:
  // Caller connections (caller_connections.cc).
  tcp::acceptor Listen(const catalog::endpoint& address,
                       const std::string& setting);
  task<> AcceptCallers();
  void StartServing(std::shared_ptr<beast::tcp_stream> stream);
  task<> ServeCaller(std::shared_ptr<beast::tcp_stream> stream,
                     std::shared_ptr<open_caller> counted);
  void StopAccepting();
  // Returns false if the connection is to be closed.
  task<bool> ServeOneRequest(const std::shared_ptr<beast::tcp_stream>& stream,
                             beast::flat_buffer& buffer,
                             memory_account& account,
                             bool is_first);
  task<bool> WriteToCaller(const std::shared_ptr<beast::tcp_stream>& stream,
                           caller_response outcome,
                           bool is_head,
                           bool keep_alive);
  // Idle connections (idle_callers.cc). Waits for the first bytes of a request;
  // false if the connection ends before them.
  task<bool> AwaitRequest(const std::shared_ptr<beast::tcp_stream>& stream,
                          beast::flat_buffer& buffer,
                          memory_account& account);
  // A longer idle timeout holds for connections that are idle now, a shorter
  // one once they are idle again: their callers may count on the former one.
  void ApplyLimits(const catalog::caller_limits& limits);
  task<> CloseSilentCallers();
  void CloseIdleCallers();
  // Closes the connection that is idle for the longest time if callers have
  // all that they may open; false if none is idle.
  bool MakeRoomForCaller();
  // Reads one request within the host's budget (read_request.cc); nullopt if it
  // is read whole.
  task<std::optional<unread_request>> ReadRequest(
      const std::shared_ptr<beast::tcp_stream>& stream,
      beast::flat_buffer& buffer,
      memory_account& account,
      caller_parser& parser);
  task<error_code> ReadBody(const std::shared_ptr<beast::tcp_stream>& stream,
                            beast::flat_buffer& buffer,
                            caller_parser& parser);
  unread_request NoMemory();
  void UpdateBudgetCounters();
  // Passes a request to the dispatcher and waits for the response; nullopt if
  // the caller has disconnected.
  task<std::optional<caller_response>> HandleRequest(
      const std::shared_ptr<beast::tcp_stream>& stream,
      const std::shared_ptr<request_message>& request,
      bool is_chunked);
  // Detects that the caller disconnects before its response (caller_watch.cc).
  // Ends once the socket's operations and `recheck` are cancelled.
  task<> WatchCaller(std::shared_ptr<beast::tcp_stream> stream,
                     request_id id,
                     std::weak_ptr<open_request> open,
                     std::shared_ptr<asio::steady_timer> recheck);
  // Notifies the dispatcher, and retries while its ring is full, as it may be
  // when many callers disconnect at once.
  task<> ReportDisconnect(request_id id);
  // Readiness checks and metrics; `make_response` is called for each request.
  task<> AcceptAuxiliary(tcp::acceptor& acceptor,
                         std::function<response_message()> make_response);
  task<> ServeAuxiliary(std::shared_ptr<beast::tcp_stream> stream,
                        std::function<response_message()> make_response);
  response_message ReadyResponse() const;

  // Commands (service.cc).
  void HandleCommand(command& c);
  void On(dispatch::probe_servers& e);
  void On(dispatch::send_attempt& e);
  void On(dispatch::cancel_attempt& e);
  void On(dispatch::deliver_response& e);
  void On(dispatch::reject_request& e);
  void On(dispatch::cancel_request& e);
  void On(dispatch::close_connections& e);
  task<> RunAttempt(open_request_ptr open,
                    dispatch::send_attempt attempt,
                    std::shared_ptr<exchange_handle> handle);
  task<> RunProbe(std::shared_ptr<struct probe_group> group,
                  dispatch::server_ref server,
                  milliseconds timeout);
  task<> CollectProbes(std::shared_ptr<struct probe_group> group,
                       milliseconds timeout);
  task<> CloseStaleConnections();
  void Finish(request_id id, caller_response response);

  traffic_settings settings_;
  to_dispatcher post_;
  // Outlives the coroutines of the loop, which hold reservations.
  host_budget budget_{{settings_.memory, settings_.max_buffered_responses}};
  event_loop loop_;
  asio::io_context& io_ = loop_.io();
  tcp::acceptor front_acceptor_{io_};
  tcp::acceptor ready_acceptor_{io_};
  tcp::acceptor metrics_acceptor_{io_};
  server_connections server_connections_{io_, settings_.max_server_connections};
  exchange_context exchanges_{
      server_connections_, settings_.headers, budget_,
      [this](dispatch::server_notice notice) { post_(std::move(notice)); }};
  mailbox<command> commands_;
  std::map<request_id, open_request_ptr> open_requests_;
  std::uint64_t next_request_ = 1;
  catalog::caller_limits limits_;
  // False before the first configuration, while `limits_` are a guess.
  bool has_limits_ = false;
  bool is_draining_ = false;
  // Connections without a request in progress; closed when draining starts.
  std::map<beast::tcp_stream*, idle_caller> idle_callers_;
  std::atomic<bool> is_ready_ = false;
  std::atomic<bool> is_accepting_ = false;
  std::atomic<std::uint64_t> request_count_ = 0;
  std::atomic<std::uint64_t> delivered_count_ = 0;
  std::atomic<std::uint64_t> rejected_count_ = 0;
  std::atomic<std::uint64_t> probe_count_ = 0;
  std::atomic<std::uint64_t> open_caller_count_ = 0;
  std::atomic<std::uint64_t> open_request_count_ = 0;
  std::atomic<std::uint64_t> server_connection_count_ = 0;
  std::atomic<std::uint64_t> buffered_response_bytes_ = 0;
  std::atomic<std::uint64_t> held_bytes_ = 0;
  std::atomic<std::uint64_t> memory_reject_count_ = 0;
  std::atomic<std::uint64_t> evicted_count_ = 0;
  std::atomic<std::uint64_t> closed_caller_count_ = 0;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_SERVICE_IMPL_H_
