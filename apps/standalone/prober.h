// Carries out probes of backend servers.
#ifndef DOTTERELLEAD_PROBER_H_
#define DOTTERELLEAD_PROBER_H_

#include <map>

#include "dotterellead/http.h"
#include "dotterellead/measure.h"

namespace dotterellead {

// Used by one thread.
class prober {
 public:
  // Asks the server for its load report and waits for it, within the probe's
  // time limit.
  probe_completed Probe(const send_probe& probe);
  // Closes connections to all servers but these.
  void KeepOnly(const std::vector<server_id>& servers);

 private:
  std::map<server_id, std::unique_ptr<http_connection>> connections_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PROBER_H_
