#include "balancer.h"

namespace dotterellead::soak {

namespace {

constexpr milliseconds kCheckInterval{1'000};
constexpr int kMissesUntilOut = 2;

}  // namespace

balancer::balancer(asio::io_context& io, std::vector<balanced_host> hosts)
    : io_(io) {
  for (balanced_host& host : hosts)
    hosts_.push_back({std::move(host)});
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    asio::co_spawn(io_, CheckHost(i), asio::detached);
}

task<> balancer::CheckHost(std::size_t index) {
  while (true) {
    const bool is_ready = co_await IsReady(hosts_[index].host.ready_port);
    int& misses = hosts_[index].misses;
    misses = is_ready ? 0 : misses + 1;
    co_await Sleep(io_, kCheckInterval);
  }
}

task<bool> balancer::IsReady(int port) {
  beast::tcp_stream stream(io_);
  stream.expires_after(kCheckInterval);
  error_code ec;
  const tcp::endpoint address = Loopback(port);
  co_await stream.async_connect(address, Resume(ec));
  request_message request(http::verb::get, "/ready", 11);
  request.set(http::field::host, "balancer");
  if (!ec)
    co_await http::async_write(stream, request, Resume(ec));
  answer_message answer;
  beast::flat_buffer buffer;
  if (!ec)
    co_await http::async_read(stream, buffer, answer, Resume(ec));
  co_return !ec && answer.result() == http::status::ok;
}

bool balancer::IsInRotation(const checked_host& host) const {
  return host.misses < kMissesUntilOut;
}

std::size_t balancer::Choose(const std::string& data_centre,
                             std::uint64_t draw) const {
  std::vector<std::size_t> local;
  std::vector<std::size_t> in_rotation;
  std::vector<std::size_t> elsewhere;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const bool is_local = hosts_[i].host.data_centre == data_centre;
    if (is_local)
      local.push_back(i);
    if (IsInRotation(hosts_[i]))
      (is_local ? in_rotation : elsewhere).push_back(i);
  }
  // With fewer than half in rotation all of them are used, and with none the
  // hosts of the other data centres.
  std::vector<std::size_t>* candidates = &in_rotation;
  if (in_rotation.empty() && !elsewhere.empty())
    candidates = &elsewhere;
  else if (2 * in_rotation.size() < local.size())
    candidates = &local;
  return (*candidates)[draw % candidates->size()];
}

}  // namespace dotterellead::soak
