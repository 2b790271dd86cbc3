// Types that every package shares: ids, units, time, errors, log lines, the
// bounded ring and the duty thread that runs a state machine.
#ifndef DOTTERELLEAD_CORE_H_
#define DOTTERELLEAD_CORE_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <concepts>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "dotterellead/limits.h"

namespace dotterellead {

// ---- Ids

// Id that people choose or read, such as a name or an address. The empty text
// is invalid.
template <class Tag>
class text_id {
 public:
  text_id() = default;
  explicit text_id(std::string value) : value_(std::move(value)) {}
  bool is_valid() const { return !value_.empty(); }
  const std::string& value() const { return value_; }
  auto operator<=>(const text_id&) const = default;

 private:
  std::string value_;
};

// Id that the system counts. The largest value is invalid.
template <class Tag>
class number_id {
 public:
  static constexpr std::uint64_t kInvalid = UINT64_MAX;
  constexpr number_id() = default;
  constexpr explicit number_id(std::uint64_t value) : value_(value) {}
  constexpr bool is_valid() const { return value_ != kInvalid; }
  constexpr std::uint64_t value() const { return value_; }
  constexpr number_id next() const { return number_id(value_ + 1); }
  constexpr auto operator<=>(const number_id&) const = default;

 private:
  std::uint64_t value_ = kInvalid;
};

// An entry host, by its configured name.
using member_id = text_id<struct entry_host_name_tag>;
// One run of an entry host process; a restart gets a higher one (wall clock
// milliseconds).
using incarnation_id = number_id<struct incarnation_tag>;
// A backend server, by "IP:port".
using server_id = text_id<struct server_tag>;
using pool_id = text_id<struct pool_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using tenant_id = text_id<struct tenant_tag>;
using version_id = text_id<struct version_tag>;
using move_id = text_id<struct move_tag>;
// A route of a pool, by its position in the pool's route list.
using route_id = number_id<struct route_tag>;
using request_id = number_id<struct request_tag>;
using log_offset = number_id<struct log_offset_tag>;
using epoch_number = number_id<struct epoch_tag>;
// One of a server's concurrent requests, counted from 0.
using slot_index = number_id<struct slot_tag>;
// Identifies requests that are alike: pool, tenant, method, target and body.
using request_fingerprint = number_id<struct request_fingerprint_tag>;
using idempotency_key = text_id<struct idempotency_key_tag>;

// ---- Units

using std::chrono::microseconds;
using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

// Wall clock, milliseconds since 1970-01-01 UTC. Used where an age must outlive
// a process.
struct unix_millis {
  std::int64_t value = 0;
  auto operator<=>(const unix_millis&) const = default;
};

struct byte_count {
  std::uint64_t value = 0;
  auto operator<=>(const byte_count&) const = default;
};

// The two clocks as one state machine step sees them.
struct moment {
  time_point steady;
  unix_millis wall;
};

// Source of time; a fake replaces it in tests.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual moment Now() const = 0;
};

// The machine's own clocks.
class system_clock_source : public clock_source {
 public:
  moment Now() const override;
};

// ---- Whether a request ran

enum class run_state { kNotRun, kDone, kUnknown };

// "not-run", "done" or "unknown", as the answer header dotterellead-run carries
// it.
std::string_view to_string(run_state state);

// ---- Errors

enum class error_kind {
  kInvalidSetting,
  kInvalidInput,
  kNotFound,
  kConflict,
  kUnavailable,
  kOverloaded,
  kTimeout,
  kProtocol,
};

std::string_view to_string(error_kind kind);

// Base of all errors that the system throws. The message states the problem,
// then the remedy.
class error : public std::runtime_error {
 public:
  error(error_kind kind, const std::string& problem, const std::string& remedy);
  error_kind kind() const { return kind_; }
  const std::string& problem() const { return problem_; }
  const std::string& remedy() const { return remedy_; }

 private:
  error_kind kind_;
  std::string problem_;
  std::string remedy_;
};

// An error type for each kind, so that a handler can catch just what it can
// settle.
template <error_kind Kind>
class typed_error : public error {
 public:
  typed_error(const std::string& problem, const std::string& remedy)
      : error(Kind, problem, remedy) {}
};

using invalid_setting_error = typed_error<error_kind::kInvalidSetting>;
using invalid_input_error = typed_error<error_kind::kInvalidInput>;
using not_found_error = typed_error<error_kind::kNotFound>;
using conflict_error = typed_error<error_kind::kConflict>;
using unavailable_error = typed_error<error_kind::kUnavailable>;
using overloaded_error = typed_error<error_kind::kOverloaded>;
using timeout_error = typed_error<error_kind::kTimeout>;
using protocol_error = typed_error<error_kind::kProtocol>;

// ---- Log lines

enum class log_level { kDebug, kInfo, kWarning, kError };

// One key and value of a log line.
struct log_field {
  std::string_view key;
  std::string value;
};

// Sets the lowest level that is written; the default is kInfo.
void SetLogLevel(log_level lowest);

// Formats one event as key=value pairs; values with spaces or quotes are
// quoted.
std::string FormatLogLine(unix_millis wall,
                          log_level level,
                          std::string_view event,
                          const std::vector<log_field>& fields);

// Takes one whole line, with its line break. Thread-safe, must not block.
using log_writer = std::function<void(std::string line)>;

// Replaces standard error as the place that lines go to; call it before other
// threads start. An empty writer restores standard error.
void SetLogWriter(log_writer writer);

// Writes one event as one line.
void LogEvent(log_level level,
              std::string_view event,
              const std::vector<log_field>& fields = {});

// ---- Hashing

// 64-bit FNV-1a with a final mix. The same on every host, so it may decide
// ownership.
std::uint64_t StableHash(std::string_view text);

// Compares a secret. The time does not depend on where the texts differ.
bool EqualInConstantTime(std::string_view given, std::string_view expected);

// ---- Bounded ring

// Fixed-capacity queue that joins duty threads. Storage is allocated once.
// Waiting blocks on a condition variable.
template <class T>
class bounded_ring {
 public:
  explicit bounded_ring(std::size_t capacity) : cells_(capacity) {}

  // Adds `value`, or returns false if the ring is full or closed (policy
  // "shed").
  bool TryPush(T value) {
    std::lock_guard lock(mutex_);
    if (closed_ || size_ == cells_.size())
      return false;
    Append(std::move(value));
    return true;
  }

  // Adds `value`, waiting for room until `deadline` (policy "block"). Returns
  // false on timeout or if the ring is closed.
  bool PushUntil(T value, time_point deadline) {
    std::unique_lock lock(mutex_);
    not_full_.wait_until(lock, deadline,
                         [this] { return closed_ || size_ < cells_.size(); });
    if (closed_ || size_ == cells_.size())
      return false;
    Append(std::move(value));
    return true;
  }

  // Replaces the newest waiting element that `matches`, else adds `value`
  // (policy "merge"). Returns false if nothing matches and the ring is full, or
  // if it is closed.
  template <class Matches>
  bool PushMerged(T value, Matches matches) {
    std::lock_guard lock(mutex_);
    if (closed_)
      return false;
    for (std::size_t i = size_; i > 0; --i) {
      std::optional<T>& cell = cells_[(head_ + i - 1) % cells_.size()];
      if (matches(*cell)) {
        cell = std::move(value);
        return true;
      }
    }
    if (size_ == cells_.size())
      return false;
    Append(std::move(value));
    return true;
  }

  // Takes the oldest element, waiting until `deadline`. Returns nullopt on
  // timeout, or when the ring is closed and empty.
  std::optional<T> PopUntil(time_point deadline) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_until(lock, deadline,
                          [this] { return closed_ || size_ > 0; });
    if (size_ == 0)
      return std::nullopt;
    std::optional<T> value = std::move(cells_[head_]);
    cells_[head_].reset();
    head_ = (head_ + 1) % cells_.size();
    --size_;
    not_full_.notify_one();
    return value;
  }

  // Refuses further elements and wakes all waiting threads.
  void Close() {
    std::lock_guard lock(mutex_);
    closed_ = true;
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  bool is_closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return size_;
  }

 private:
  void Append(T value) {
    cells_[(head_ + size_) % cells_.size()] = std::move(value);
    ++size_;
    not_empty_.notify_one();
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<std::optional<T>> cells_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

// ---- Duty threads

// Message that a duty gives its machine once per tick interval, or when it is
// due.
struct tick {};

// A machine that says when it needs its next tick, so that its duty sleeps
// until then. NextDeadline is asked after each step. A time in the past stands
// for as soon as the tick interval allows, nullopt for no tick before the next
// message.
template <class Machine>
concept deadline_machine = requires(const Machine& machine) {
  { machine.NextDeadline() } -> std::same_as<std::optional<time_point>>;
};

// Runs one state machine on its own thread. The machine declares
//   using message = std::variant<..., tick>;   using effect =
//   std::variant<...>; void Step(const message&, const moment&,
//   std::vector<effect>& out);
// Step makes no I/O. The sink carries out effects on the duty's thread and must
// not block for long.
template <class Machine>
class duty {
 public:
  using message = typename Machine::message;
  using effect = typename Machine::effect;
  using effect_sink = std::function<void(effect&)>;

  // `name` (at most 15 characters) names the thread; `tick_interval` is the
  // time between two ticks, and the shortest one for a deadline_machine.
  duty(std::string name,
       Machine machine,
       const clock_source& clock,
       milliseconds tick_interval,
       effect_sink sink,
       std::size_t ring_capacity = limits::kRingCapacity)
      : name_(std::move(name)),
        machine_(std::move(machine)),
        clock_(clock),
        tick_interval_(tick_interval),
        sink_(std::move(sink)),
        ring_(ring_capacity) {}

  ~duty() { Stop(); }
  duty(const duty&) = delete;
  duty& operator=(const duty&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, 15).c_str());
  }

  // Handles the messages already in the ring, then ends the thread. Does
  // nothing if not started.
  void Stop() {
    ring_.Close();
    if (thread_.joinable())
      thread_.join();
  }

  // Policy "shed": returns false if the ring is full or the duty has stopped.
  bool Post(message m) { return ring_.TryPush(std::move(m)); }

  // Policy "block": waits for room until `deadline`.
  bool PostUntil(message m, time_point deadline) {
    return ring_.PushUntil(std::move(m), deadline);
  }

  // Policy "merge": replaces a waiting message of the same alternative.
  bool PostMerged(message m) {
    const std::size_t index = m.index();
    return ring_.PushMerged(std::move(m), [index](const message& waiting) {
      return waiting.index() == index;
    });
  }

 private:
  // Wake-up of a duty without a deadline; the ring wakes it earlier when there
  // is work.
  static constexpr std::chrono::hours kLongestSleep{1};

  void Run() {
    std::vector<effect> effects;
    time_point last_tick = clock_.Now().steady;
    time_point next_tick = NextTick(last_tick);
    while (true) {
      std::optional<message> m = ring_.PopUntil(next_tick);
      const moment now = clock_.Now();
      if (m)
        StepOnce(*m, now, effects);
      else if (ring_.is_closed())
        return;
      next_tick = NextTick(last_tick);
      if (now.steady >= next_tick) {
        StepOnce(message(tick{}), now, effects);
        last_tick = now.steady;
        next_tick = NextTick(last_tick);
      }
    }
  }

  time_point NextTick(time_point last_tick) const {
    const time_point soonest = last_tick + tick_interval_;
    if constexpr (deadline_machine<Machine>) {
      const std::optional<time_point> due = machine_.NextDeadline();
      return std::max(soonest, due.value_or(last_tick + kLongestSleep));
    } else {
      return soonest;
    }
  }

  void StepOnce(const message& m,
                const moment& now,
                std::vector<effect>& effects) {
    effects.clear();
    machine_.Step(m, now, effects);
    for (effect& e : effects)
      sink_(e);
  }

  std::string name_;
  Machine machine_;
  const clock_source& clock_;
  milliseconds tick_interval_;
  effect_sink sink_;
  bounded_ring<message> ring_;
  std::thread thread_;
};

// Machine without state, for a duty whose whole work is blocking I/O in its
// sink. It needs no ticks.
template <class Work>
class relay_machine {
 public:
  using message = std::variant<Work, tick>;
  using effect = std::variant<Work>;
  std::optional<time_point> NextDeadline() const { return std::nullopt; }
  void Step(const message& m, const moment&, std::vector<effect>& out) {
    if (const Work* work = std::get_if<Work>(&m))
      out.emplace_back(*work);
  }
};

// Overload set for std::visit.
template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

// ---- Replies across threads

// Lets threads outside a duty wait for an answer by request id. An answer for
// an id that nobody waits for any more is reported as not taken, so that the
// sender can undo it.
template <class Answer>
class reply_table {
 public:
  // Announces that `id` will be waited for. Call before posting the request.
  void Expect(request_id id) {
    std::lock_guard lock(mutex_);
    waiting_.try_emplace(id);
  }

  // Returns false if nobody expects `id` any more.
  bool Fulfil(request_id id, Answer answer) {
    std::lock_guard lock(mutex_);
    auto it = waiting_.find(id);
    if (it == waiting_.end())
      return false;
    it->second.answer = std::move(answer);
    it->second.changed.notify_one();
    return true;
  }

  // Waits until `deadline` and then forgets `id`. Returns nullopt on timeout.
  std::optional<Answer> Await(request_id id, time_point deadline) {
    std::unique_lock lock(mutex_);
    auto it = waiting_.find(id);
    if (it == waiting_.end())
      return std::nullopt;
    it->second.changed.wait_until(
        lock, deadline, [&] { return it->second.answer.has_value(); });
    std::optional<Answer> answer = std::move(it->second.answer);
    waiting_.erase(it);
    return answer;
  }

 private:
  struct entry {
    std::optional<Answer> answer;
    std::condition_variable changed;
  };
  std::mutex mutex_;
  std::map<request_id, entry> waiting_;
};

}  // namespace dotterellead

template <class Tag>
struct std::hash<dotterellead::text_id<Tag>> {
  std::size_t operator()(const dotterellead::text_id<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

template <class Tag>
struct std::hash<dotterellead::number_id<Tag>> {
  std::size_t operator()(const dotterellead::number_id<Tag>& id) const {
    return std::hash<std::uint64_t>()(id.value());
  }
};

#endif  // DOTTERELLEAD_CORE_H_
