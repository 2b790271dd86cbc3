#include "peer_connection.h"

#include <algorithm>

#include "peer_rpc.h"

namespace dotterellead {
namespace {

// Maximum sleep time of an idle sender; calls wake it earlier.
constexpr std::chrono::hours kMaxIdleWait{1};

}  // namespace

void peer_connection::call::Finish(std::optional<std::string> result) const {
  if (done)
    done(std::move(result));
}

peer_connection::peer_connection(const socket_address& remote,
                                 const peer_connection_options& options,
                                 connection_counters& counters)
    : remote_(remote),
      options_(options),
      counters_(counters),
      ring_(options.ring_capacity),
      thread_([this] { Run(); }) {
  pthread_setname_np(thread_.native_handle(), "peer-sender");
}

peer_connection::~peer_connection() {
  BeginStop();
  Join();
}

void peer_connection::Join() {
  if (thread_.joinable())
    thread_.join();
}

bool peer_connection::Push(call next) {
  const auto added = std::make_shared<const call>(std::move(next));
  if (!added->is_replaceable)
    return ring_.TryPush(added);
  call_ptr replaced;
  const bool pushed = ring_.PushOrReplace(added, [&](const call_ptr& waiting) {
    if (!waiting->is_replaceable || waiting->method != added->method)
      return false;
    replaced = waiting;
    return true;
  });
  if (replaced)
    replaced->Finish(std::nullopt);
  return pushed;
}

void peer_connection::BeginStop() {
  ring_.Close();
  std::lock_guard lock(mutex_);
  is_stopping_ = true;
  if (connection_)
    connection_->Cancel();
}

void peer_connection::Run() {
  while (true) {
    const std::optional<call_ptr> next =
        ring_.PopUntil(std::chrono::steady_clock::now() + kMaxIdleWait);
    if (next) {
      (*next)->Finish(SendCall(**next));
    } else if (ring_.is_closed()) {
      break;
    }
  }
  is_finished_ = true;
}

std::optional<std::string> peer_connection::SendCall(const call& next) {
  const std::shared_ptr<http_connection> connection = Connection();
  if (!connection) {
    ++counters_.failed;
    return std::nullopt;
  }
  const std::uint64_t id = ++next_id_;
  http_request request;
  request.method = "POST";
  request.target = kRpcPath;
  request.headers = {{"Authorization", BearerValue(options_.secret)},
                     {"Content-Type", "application/json"}};
  request.body = EncodeCall(id, next.method, next.params);
  ++counters_.calls;
  counters_.bytes_out += request.body.size();
  const send_result sent = connection->Send(request, options_.timeout);
  std::optional<std::string> result;
  if (sent.ok()) {
    counters_.bytes_in += sent.answer.body.size();
    if (sent.answer.status == 200)
      result = DecodeResult(id, sent.answer.body);
  }
  if (result)
    return result;
  // After a failure the state of the connection is unknown: a late response
  // could be mistaken for that of the next call.
  CloseConnection();
  ++counters_.failed;
  return std::nullopt;
}

std::shared_ptr<http_connection> peer_connection::Connection() {
  std::lock_guard lock(mutex_);
  if (is_stopping_)
    return nullptr;
  // A restarted peer has closed the connection of its former run.
  if (connection_ && connection_->WasClosedByRemote())
    connection_.reset();
  if (!connection_) {
    connection_ = std::make_shared<http_connection>(
        remote_, std::min(options_.timeout, limits::kConnectTimeout));
  }
  return connection_;
}

void peer_connection::CloseConnection() {
  std::lock_guard lock(mutex_);
  connection_.reset();
}

}  // namespace dotterellead
