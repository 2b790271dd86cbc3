// The loads of shared pools on their way up the tree and the totals on their
// way down.
#ifndef DOTTERELLEAD_FLEET_POOL_EXCHANGE_H_
#define DOTTERELLEAD_FLEET_POOL_EXCHANGE_H_

#include <map>

#include "dotterellead/pools.h"

namespace dotterellead::fleet {

// Makes no I/O and takes the time as a parameter. Not thread-safe.
class pool_exchange {
 public:
  // What this host sees itself; replaces what it saw before.
  void SetOwn(const pools::pool_table& own, time_point now);
  // Rows of a child for itself and its descendants. Rows that it did not send
  // are unchanged.
  void RecordChild(const member_id& child,
                   const pools::pool_table& rows,
                   time_point now);
  // Rows of the totals from the parent; the others are unchanged.
  void RecordParent(const pools::pool_table& rows, time_point now);
  // The parent is another one, or it has been restarted.
  void StartParent();

  // What this host and its descendants see.
  pools::pool_table Subtree(time_point now) const;
  // What all hosts see: as the root knows it, or as the parent said.
  pools::pool_table Totals(bool is_root, time_point now) const;
  // The rows of `table` that the receiver needs now. At most every 0.5 s.
  pools::pool_table RowsFor(const member_id& receiver,
                            const pools::pool_table& table,
                            time_point now);

 private:
  struct received_row {
    pools::pool_load load;
    time_point at;
  };
  using received_table = std::map<pools::pool_key, received_row>;
  struct receiver_state {
    time_point last_sent{};
    received_table rows;
  };

  static void Receive(received_table& known,
                      const pools::pool_table& rows,
                      time_point now);
  static void AddTo(pools::pool_table& sum,
                    const received_table& rows,
                    time_point now);

  received_table own_;
  std::map<member_id, received_table> children_;
  received_table parent_;
  std::map<member_id, receiver_state> receivers_;
};

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_POOL_EXCHANGE_H_
