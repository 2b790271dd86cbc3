#include "dotterellead/spawn.h"

#include "dotterellead/core.h"

namespace dotterellead {

namespace {

constexpr milliseconds kRestartDelay{100};

// Returns whether there was an exception.
bool Report(std::string_view name, const std::exception_ptr& failure) {
  if (!failure)
    return false;
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& e) {
    ReportUnexpectedError(name, e.what());
  }
  return true;
}

}  // namespace

void Spawn(asio::io_context& io, const char* name, task<> work) {
  asio::co_spawn(
      io, std::move(work),
      [name](const std::exception_ptr& failure) { Report(name, failure); });
}

void SpawnLoop(asio::io_context& io,
               std::string name,
               std::function<task<>()> make) {
  task<> work = make();
  asio::co_spawn(io, std::move(work),
                 [&io, name = std::move(name),
                  make = std::move(make)](const std::exception_ptr& failure) {
                   if (!Report(name, failure))
                     return;
                   auto timer =
                       std::make_shared<asio::steady_timer>(io, kRestartDelay);
                   timer->async_wait([&io, name, make, timer](error_code ec) {
                     if (!ec)
                       SpawnLoop(io, name, make);
                   });
                 });
}

}  // namespace dotterellead
