#ifndef DOTTERELLEAD_TRAFFIC_SERVICE_IMPL_H_
#define DOTTERELLEAD_TRAFFIC_SERVICE_IMPL_H_

#include <atomic>
#include <map>
#include <variant>

#include "dotterellead/event_loop.h"
#include "dotterellead/mailbox.h"
#include "dotterellead/traffic.h"
#include "exchange.h"

namespace dotterellead::traffic {

// A request that a caller waits for.
struct open_call {
  explicit open_call(asio::io_context& io) : is_finished(io) {
    is_finished.expires_at(asio::steady_timer::time_point::max());
  }
  std::shared_ptr<request_message> request;
  std::string path;
  std::shared_ptr<exchange_handle> attempt;
  // The latest whole answer of a server.
  std::optional<answer_message> server_answer;
  // What the caller gets.
  std::optional<answer_message> answer;
  // Cancelled once `answer` is set or the caller is gone.
  asio::steady_timer is_finished;
  bool is_over = false;
};

using call_ptr = std::shared_ptr<open_call>;

struct limits_changed {
  catalog::caller_limits limits;
};
struct drain_started {};
struct front_closed {};
using command = std::variant<dispatch::dispatcher::effect,
                             limits_changed,
                             drain_started,
                             front_closed>;

class traffic_service::impl {
 public:
  impl(traffic_settings settings, to_dispatcher post);
  ~impl();
  void Start();
  void Stop();
  void Push(command c) { commands_.Push(std::move(c)); }
  void SetReady(bool is_ready) { is_ready_ = is_ready; }
  traffic_counts counts() const;

 private:
  // Callers (callers.cc).
  tcp::acceptor Listen(const catalog::endpoint& address,
                       const std::string& setting);
  task<> AcceptCallers();
  task<> ServeCaller(std::shared_ptr<beast::tcp_stream> stream);
  // Returns false if the connection is over.
  task<bool> ServeOneRequest(const std::shared_ptr<beast::tcp_stream>& stream,
                             beast::flat_buffer& buffer,
                             bool is_first);
  task<answer_message> Answer(const std::shared_ptr<beast::tcp_stream>& stream,
                              const std::shared_ptr<request_message>& request,
                              bool is_chunked,
                              bool may_watch,
                              bool& caller_is_gone);
  task<> WatchCaller(std::shared_ptr<beast::tcp_stream> stream,
                     request_id id,
                     std::weak_ptr<open_call> call);
  // Ready checks and metrics: `answer` is made for each request.
  task<> AcceptChecks(tcp::acceptor& acceptor,
                      std::function<answer_message()> answer);
  task<> AnswerChecks(std::shared_ptr<beast::tcp_stream> stream,
                      std::function<answer_message()> answer);
  answer_message ReadyAnswer() const;

  // Commands (service.cc).
  void Apply(command& c);
  void On(dispatch::probe_servers& e);
  void On(dispatch::send_attempt& e);
  void On(dispatch::deliver_response& e);
  void On(dispatch::reject_request& e);
  void On(dispatch::cancel_request& e);
  task<> RunAttempt(call_ptr call, dispatch::send_attempt attempt);
  task<> RunProbe(std::shared_ptr<struct sample_group> group,
                  dispatch::server_ref server,
                  milliseconds limit);
  task<> CollectSamples(std::shared_ptr<struct sample_group> group,
                        milliseconds limit);
  task<> Sweep();
  void Finish(request_id id, answer_message answer);

  traffic_settings settings_;
  to_dispatcher post_;
  event_loop loop_;
  asio::io_context& io_ = loop_.io();
  tcp::acceptor front_{io_};
  tcp::acceptor ready_{io_};
  tcp::acceptor metrics_{io_};
  server_links links_{io_};
  mailbox<command> commands_;
  std::map<request_id, call_ptr> calls_;
  std::uint64_t next_call_ = 1;
  catalog::caller_limits limits_;
  bool is_draining_ = false;
  // Callers that wait for their next request; closed when draining.
  std::map<beast::tcp_stream*, std::weak_ptr<beast::tcp_stream>> idle_callers_;
  std::atomic<bool> is_ready_ = false;
  std::atomic<std::uint64_t> requests_ = 0;
  std::atomic<std::uint64_t> delivered_ = 0;
  std::atomic<std::uint64_t> rejected_ = 0;
  std::atomic<std::uint64_t> probes_ = 0;
  std::atomic<std::uint64_t> open_callers_ = 0;
  std::atomic<std::uint64_t> open_calls_ = 0;
  std::atomic<std::uint64_t> server_connections_ = 0;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_SERVICE_IMPL_H_
