// One entry host: its duties, and how they are joined.
#ifndef DOTTERELLEAD_ENTRY_HOST_H_
#define DOTTERELLEAD_ENTRY_HOST_H_

#include <memory>

#include "settings.h"

namespace dotterellead {

class entry_host {
 public:
  explicit entry_host(settings s);
  ~entry_host();

  // Starts all duties and listeners. Throws unavailable_error if an address is
  // in use.
  void Start();
  // Graceful shutdown: takes no new work, finishes what is in flight, stops all
  // duties.
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ENTRY_HOST_H_
