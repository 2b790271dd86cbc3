// The hosts that this one knows, and which of them to query for a parent or for
// a part of the fleet that it has lost.
#ifndef DOTTERELLEAD_FLEET_HOST_DIRECTORY_H_
#define DOTTERELLEAD_FLEET_HOST_DIRECTORY_H_

#include <map>
#include <optional>
#include <vector>

#include "dotterellead/fleet.h"

namespace dotterellead::fleet {

// Makes no I/O and takes the time as a parameter. Not thread-safe.
class host_directory {
 public:
  explicit host_directory(host_info self) : self_(std::move(self)) {}

  // A host sent a message itself.
  void RecordContact(const host_info& host, time_point now);
  // A list of live hosts names the host. A host that is silent towards this one
  // stays so.
  void RecordListed(const host_info& host, time_point now);
  // A host did not respond. It is silent for a time, which grows with each
  // further failure.
  void RecordSilence(const member_id& host, time_point now);
  // Forgets the hosts that were neither heard of nor listed for a long time.
  // `live` is the current list.
  void Update(const std::vector<host_info>& live, time_point now);

  // The hosts that may be the parent of this one and are not silent, in order
  // of preference.
  std::vector<host_info> AvailableParents(time_point now) const;
  // The next hosts to query concurrently in the search for a parent that began
  // at `search_began`: available ones that are preferred to `current`, at most
  // as many as fit into a round. Rounds count from 0 and grow, so that many
  // silent hosts cost few of them. A search queries each host once, however
  // long it takes.
  std::vector<host_info> NextParentQueries(
      const std::optional<host_info>& current,
      time_point search_began,
      int round,
      time_point now) const;
  // Hosts that are not in `live`, silent or not, in turn: through any of them a
  // root finds the part of the fleet that it has no contact with.
  std::vector<host_info> NextRootQueries(const std::vector<host_info>& live,
                                         time_point now);
  std::size_t size() const { return hosts_.size(); }

 private:
  struct entry {
    host_info info;
    time_point last_heard;
    // Of NextRootQueries.
    time_point last_query{};
    int failures = 0;
    time_point last_failure{};
    time_point silent_until{};
  };

  host_info self_;
  std::map<member_id, entry> hosts_;
};

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_HOST_DIRECTORY_H_
