#include "peer_link.h"

#include <algorithm>

#include "peer_rpc.h"

namespace dotterellead {
namespace {

// Wake-up of an idle sender; the ring wakes it earlier when there is work.
constexpr std::chrono::hours kIdleWait{1};

}  // namespace

void peer_link::call::Finish(std::optional<std::string> result) const {
  if (done)
    done(std::move(result));
}

peer_link::peer_link(const socket_address& remote,
                     const peer_links_options& options,
                     link_counters& counters)
    : remote_(remote),
      options_(options),
      counters_(counters),
      ring_(options.ring_capacity),
      thread_([this] { Run(); }) {
  pthread_setname_np(thread_.native_handle(), "peer-sender");
}

peer_link::~peer_link() {
  BeginStop();
  Join();
}

void peer_link::Join() {
  if (thread_.joinable())
    thread_.join();
}

bool peer_link::Push(call next) {
  const auto added = std::make_shared<const call>(std::move(next));
  if (!added->replaceable)
    return ring_.TryPush(added);
  call_ptr replaced;
  const bool pushed = ring_.PushOrReplace(added, [&](const call_ptr& waiting) {
    if (!waiting->replaceable || waiting->method != added->method)
      return false;
    replaced = waiting;
    return true;
  });
  if (replaced)
    replaced->Finish(std::nullopt);
  return pushed;
}

void peer_link::BeginStop() {
  ring_.Close();
  std::lock_guard lock(mutex_);
  stopping_ = true;
  if (connection_)
    connection_->Cancel();
}

void peer_link::Run() {
  while (true) {
    const std::optional<call_ptr> next =
        ring_.PopUntil(std::chrono::steady_clock::now() + kIdleWait);
    if (next) {
      (*next)->Finish(Exchange(**next));
    } else if (ring_.is_closed()) {
      break;
    }
  }
  finished_ = true;
}

std::optional<std::string> peer_link::Exchange(const call& next) {
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
  // After a failure the state of the connection is unknown: a late answer
  // could be taken for that of the next call.
  DropConnection();
  ++counters_.failed;
  return std::nullopt;
}

std::shared_ptr<http_connection> peer_link::Connection() {
  std::lock_guard lock(mutex_);
  if (stopping_)
    return nullptr;
  // A restarted peer has closed the connection that its former run served.
  if (connection_ && connection_->WasClosedByRemote())
    connection_.reset();
  if (!connection_) {
    connection_ = std::make_shared<http_connection>(
        remote_, std::min(options_.timeout, limits::kConnectTimeout));
  }
  return connection_;
}

void peer_link::DropConnection() {
  std::lock_guard lock(mutex_);
  connection_.reset();
}

}  // namespace dotterellead
