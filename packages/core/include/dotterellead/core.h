// Types shared by all packages: ids, units, time, errors, log lines, the
// bounded ring, and the duty thread that runs a state machine.
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

// Id with a text value, such as a name or an address. The empty text is
// invalid.
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

// Id with a numeric value. The largest value is invalid.
template <class Tag>
class number_id {
 public:
  static constexpr std::uint64_t kInvalidValue = UINT64_MAX;
  constexpr number_id() = default;
  constexpr explicit number_id(std::uint64_t value) : value_(value) {}
  constexpr bool is_valid() const { return value_ != kInvalidValue; }
  constexpr std::uint64_t value() const { return value_; }
  constexpr number_id next() const { return number_id(value_ + 1); }
  constexpr auto operator<=>(const number_id&) const = default;

 private:
  std::uint64_t value_ = kInvalidValue;
};

// An entry host, by its configured name.
using member_id = text_id<struct entry_host_name_tag>;
// Identifies one run of an entry host process. A restart gets a higher value
// (wall clock in milliseconds).
using incarnation_id = number_id<struct incarnation_tag>;
// A backend server, by "IP:port".
using server_id = text_id<struct server_tag>;
using pool_id = text_id<struct pool_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using tenant_id = text_id<struct tenant_tag>;
// An organisation whose callers hold keys, by its name in the configuration.
using customer_id = text_id<struct customer_tag>;
using version_id = text_id<struct version_tag>;
using move_id = text_id<struct move_tag>;
// A route, by its position in the pool's route list.
using route_id = number_id<struct route_tag>;
using request_id = number_id<struct request_tag>;
using log_offset = number_id<struct log_offset_tag>;
using epoch_number = number_id<struct epoch_tag>;
// One of a server's concurrent request slots, from 0.
using slot_index = number_id<struct slot_tag>;
// Equal for requests with the same pool, tenant, method, target and body.
using request_fingerprint = number_id<struct request_fingerprint_tag>;
using idempotency_key = text_id<struct idempotency_key_tag>;

// ---- Units

using std::chrono::microseconds;
using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

// CLOCK_BOOTTIME, which also counts while the machine is suspended; the steady
// clock does not. For ages that must never seem younger than they are.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;  // NOLINT(*-naming)
  static time_point now() noexcept;
};
using boot_time = boot_clock::time_point;

// Wall clock time in milliseconds since 1970-01-01 UTC. Used where a time must
// outlive a process.
struct unix_millis {
  std::int64_t value = 0;
  auto operator<=>(const unix_millis&) const = default;
};

struct byte_count {
  std::uint64_t value = 0;
  auto operator<=>(const byte_count&) const = default;
};

// Readings of the machine's clocks for one state machine step.
struct timestamp {
  time_point steady;
  unix_millis wall;
  boot_time boot{};
};

// Source of time. Tests use a fake.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual timestamp Now() const = 0;
};

// Reads the machine's clocks.
class system_clock_source : public clock_source {
 public:
  timestamp Now() const override;
};

// ---- Run state

// Whether a request ran on a backend server.
enum class run_state { kNotRun, kDone, kUnknown };

// Returns "not-run", "done" or "unknown", the values of the response header
// dotterellead-run.
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

// Base of all errors that the system throws. The message states the problem and
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

// One type per kind, so that a handler can catch only the kinds it handles.
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

// Sets the minimum level that is logged; the default is kInfo.
void SetLogLevel(log_level lowest);

// Formats one event as key=value pairs. Quotes values that contain spaces,
// quotes, '=' or control characters.
std::string FormatLogLine(unix_millis wall,
                          log_level level,
                          std::string_view event,
                          const std::vector<log_field>& fields);

// Receives one complete line including its line break. Thread-safe, must not
// block.
using log_writer = std::function<void(std::string line)>;

// Sets the destination of log lines, which is standard error by default or for
// an empty writer. Call it before other threads start.
void SetLogWriter(log_writer writer);

// Logs one event as one line.
void LogEvent(log_level level,
              std::string_view event,
              const std::vector<log_field>& fields = {});

// Logs the event "unexpected-error" and counts it. For exceptions that no one
// expects at the top of a thread or of a coroutine; what failed is dropped, and
// the thread goes on.
void ReportUnexpectedError(std::string_view duty, std::string_view problem);
// Number of such errors since the start of the process. Thread-safe.
std::uint64_t UnexpectedErrorCount();

// ---- Hashing

// 64-bit FNV-1a with a final mix. Equal on every host, so that hosts can use it
// to agree on ownership.
std::uint64_t StableHash(std::string_view text);

// The same hash of a text that is given in parts.
class stable_hasher {
 public:
  void Add(std::string_view part);
  std::uint64_t Hash() const;

 private:
  std::uint64_t state_ = 0xcbf29ce484222325ULL;
};

// Compares secrets. The time taken does not depend on where the texts differ.
bool EqualInConstantTime(std::string_view given, std::string_view expected);

// ---- Bounded ring

// Thread-safe queue of fixed capacity that connects duty threads. Storage is
// allocated once. Waiting blocks on a condition variable.
template <class T>
class bounded_ring {
 public:
  explicit bounded_ring(std::size_t capacity) : slots_(capacity) {}

  // Appends `value`. Returns false if the ring is full or closed (policy
  // "shed").
  bool TryPush(T value) {
    std::lock_guard lock(mutex_);
    if (is_closed_ || size_ == slots_.size())
      return false;
    Append(std::move(value));
    return true;
  }

  // Appends `value`, waiting for free capacity until `deadline` (policy
  // "block"). Returns false on timeout or if the ring is closed.
  bool PushUntil(T value, time_point deadline) {
    std::unique_lock lock(mutex_);
    not_full_.wait_until(
        lock, deadline, [this] { return is_closed_ || size_ < slots_.size(); });
    if (is_closed_ || size_ == slots_.size())
      return false;
    Append(std::move(value));
    return true;
  }

  // Replaces the newest element that `matches`, else appends `value` (policy
  // "merge"). Returns false if nothing matches and the ring is full, or if it
  // is closed.
  template <class Matches>
  bool PushOrReplace(T value, Matches matches) {
    std::lock_guard lock(mutex_);
    if (is_closed_)
      return false;
    for (std::size_t i = size_; i > 0; --i) {
      std::optional<T>& cell = slots_[(head_ + i - 1) % slots_.size()];
      if (matches(*cell)) {
        cell = std::move(value);
        return true;
      }
    }
    if (size_ == slots_.size())
      return false;
    Append(std::move(value));
    return true;
  }

  // Removes and returns the oldest element, waiting until `deadline`. Returns
  // nullopt on timeout, or when the ring is closed and empty.
  std::optional<T> PopUntil(time_point deadline) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_until(lock, deadline,
                          [this] { return is_closed_ || size_ > 0; });
    if (size_ == 0)
      return std::nullopt;
    std::optional<T> value = std::move(slots_[head_]);
    slots_[head_].reset();
    head_ = (head_ + 1) % slots_.size();
    --size_;
    not_full_.notify_one();
    return value;
  }

  // Rejects further elements and wakes all waiting threads.
  void Close() {
    std::lock_guard lock(mutex_);
    is_closed_ = true;
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  bool is_closed() const {
    std::lock_guard lock(mutex_);
    return is_closed_;
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return size_;
  }

 private:
  void Append(T value) {
    slots_[(head_ + size_) % slots_.size()] = std::move(value);
    ++size_;
    not_empty_.notify_one();
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<std::optional<T>> slots_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  bool is_closed_ = false;
};

// ---- Duty threads

// Sent by a duty to its machine once per tick interval, or at the machine's
// deadline.
struct tick {};

// A machine that knows when it needs its next tick, so that its duty can sleep
// until then. NextDeadline is called after each step. A time in the past means
// as soon as the tick interval permits, nullopt no tick before the next
// message.
template <class Machine>
concept deadline_machine = requires(const Machine& machine) {
  { machine.NextDeadline() } -> std::same_as<std::optional<time_point>>;
};

// Runs one state machine on its own thread. The machine declares the types
// `message`, a std::variant that includes tick, and `effect`, a std::variant,
// and the method void Step(const message&, const timestamp&,
// std::vector<effect>& out). Step makes no I/O. The sink executes the effects
// on the duty's thread and must not block for long.
template <class Machine>
class duty {
 public:
  using message = typename Machine::message;
  using effect = typename Machine::effect;
  using effect_sink = std::function<void(effect&)>;

  // `name` is the thread's name (at most 15 characters). `tick_interval` is the
  // time between two ticks; for a deadline_machine, the minimum time.
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

  // Starts the thread.
  void Start() {
    thread_ = std::thread([this] { Run(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, 15).c_str());
  }

  // Handles the messages in the ring, then ends the thread. Does nothing if not
  // started.
  void Stop() {
    ring_.Close();
    if (thread_.joinable())
      thread_.join();
  }

  // Policy "shed": returns false if the ring is full or the duty has stopped.
  bool Post(message m) { return ring_.TryPush(std::move(m)); }

  // Policy "block": waits for free capacity until `deadline`.
  bool PostUntil(message m, time_point deadline) {
    return ring_.PushUntil(std::move(m), deadline);
  }

  // Policy "merge": replaces a queued message of the same alternative.
  bool PostOrReplace(message m) {
    const std::size_t index = m.index();
    return ring_.PushOrReplace(std::move(m), [index](const message& waiting) {
      return waiting.index() == index;
    });
  }

 private:
  // Sleep time of a duty without a deadline; messages wake it earlier.
  static constexpr std::chrono::hours kMaxSleep{1};

  void Run() {
    std::vector<effect> effects;
    time_point last_tick = clock_.Now().steady;
    time_point next_tick = NextTick(last_tick);
    while (true) {
      std::optional<message> message_or_timeout = ring_.PopUntil(next_tick);
      const timestamp now = clock_.Now();
      if (message_or_timeout)
        StepOnce(*message_or_timeout, now, effects);
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
    const time_point earliest = last_tick + tick_interval_;
    if constexpr (deadline_machine<Machine>) {
      const std::optional<time_point> due = machine_.NextDeadline();
      return std::max(earliest, due.value_or(last_tick + kMaxSleep));
    } else {
      return earliest;
    }
  }

  void StepOnce(const message& m,
                const timestamp& now,
                std::vector<effect>& effects) {
    effects.clear();
    try {
      machine_.Step(m, now, effects);
      for (effect& e : effects)
        sink_(e);
    } catch (const std::exception& e) {
      ReportUnexpectedError(name_, e.what());
    }
  }

  std::string name_;
  Machine machine_;
  const clock_source& clock_;
  milliseconds tick_interval_;
  effect_sink sink_;
  bounded_ring<message> ring_;
  std::thread thread_;
};

// Machine without state, for a duty that only does blocking I/O in its sink.
// Needs no ticks.
template <class Work>
class stateless_machine {
 public:
  using message = std::variant<Work, tick>;
  using effect = std::variant<Work>;
  std::optional<time_point> NextDeadline() const { return std::nullopt; }
  void Step(const message& m, const timestamp&, std::vector<effect>& out) {
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

// ---- Responses across threads

// Lets threads outside a duty wait for its response by request id. The sender
// of a response learns whether anyone still waits for it, so that it can undo
// its effect.
template <class Response>
class pending_responses {
 public:
  // Registers `id`. Call before posting the request.
  void Expect(request_id id) {
    std::lock_guard lock(mutex_);
    pending_.try_emplace(id);
  }

  // Delivers the response. Returns false if nobody waits for `id` any more.
  bool Complete(request_id id, Response response) {
    std::lock_guard lock(mutex_);
    auto it = pending_.find(id);
    if (it == pending_.end())
      return false;
    it->second.response = std::move(response);
    it->second.completed.notify_one();
    return true;
  }

  // Waits for the response until `deadline`, then removes `id`. Returns nullopt
  // on timeout.
  std::optional<Response> Await(request_id id, time_point deadline) {
    std::unique_lock lock(mutex_);
    auto it = pending_.find(id);
    if (it == pending_.end())
      return std::nullopt;
    it->second.completed.wait_until(
        lock, deadline, [&] { return it->second.response.has_value(); });
    std::optional<Response> response = std::move(it->second.response);
    pending_.erase(it);
    return response;
  }

 private:
  struct entry {
    std::optional<Response> response;
    std::condition_variable completed;
  };
  std::mutex mutex_;
  std::map<request_id, entry> pending_;
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
