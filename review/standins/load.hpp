// Requesters that send at a steady rate, each request on a new connection.
#ifndef REVIEW_STANDINS_LOAD_HPP_
#define REVIEW_STANDINS_LOAD_HPP_

#include <functional>

#include "world.hpp"

namespace standins {

class steady_load {
 public:
  using choose_host = std::function<entry_host&()>;

  steady_load(deployment& world, double per_second, choose_host choose)
      : world_(world), choose_(std::move(choose)) {
    sending_ = std::thread([this, per_second] { Send(per_second); });
  }
  ~steady_load() { Stop(); }

  // Stops sending and waits for the requests in flight.
  void Stop() {
    is_stopped_ = true;
    if (sending_.joinable())
      sending_.join();
    while (open_ > 0)
      SleepFor(0.02);
  }
  // Only after Stop.
  const std::vector<attempt_result>& results() const { return results_; }

  attempt_settings request;

 private:
  void Send(double per_second) {
    const double started = Now();
    for (int sent = 0; !is_stopped_; ++sent) {
      SleepFor(started + sent / per_second - Now());
      entry_host& host = choose_();
      ++open_;
      std::thread([this, &host] {
        connection fresh;
        const attempt_result result = SendAttempt(host, fresh, request);
        world_.record.Add(result.text());
        std::lock_guard lock(mutex_);
        results_.push_back(result);
        --open_;
      }).detach();
    }
  }

  deployment& world_;
  choose_host choose_;
  std::atomic<bool> is_stopped_ = false;
  std::atomic<int> open_ = 0;
  std::mutex mutex_;
  std::vector<attempt_result> results_;
  std::thread sending_;
};

}  // namespace standins

#endif  // REVIEW_STANDINS_LOAD_HPP_
