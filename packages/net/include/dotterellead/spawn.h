// Starts coroutines whose unexpected exceptions do not end the process.
#ifndef DOTTERELLEAD_SPAWN_H_
#define DOTTERELLEAD_SPAWN_H_

#include <functional>
#include <string>

#include "dotterellead/net.h"

namespace dotterellead {

// Starts a coroutine that serves one connection or one request. An exception
// ends it alone, and is reported under `name`.
void Spawn(asio::io_context& io, const char* name, task<> work);

// Starts a coroutine that runs as long as its duty. After an exception, which
// is reported under `name`, it is started again a short time later.
void SpawnLoop(asio::io_context& io,
               std::string name,
               std::function<task<>()> make);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SPAWN_H_
