// Selection of the peers that a process keeps connections to.

#ifndef CHERVILWICK_MEMBERSHIP_SUBSET_H_
#define CHERVILWICK_MEMBERSHIP_SUBSET_H_

#include <cstddef>
#include <vector>

#include "chervilwick/store/host_list.h"

namespace chervilwick {

// Returns the agents that entry `self` sends requests to. The zone's agents are
// partitioned into slices of about `size`, which are assigned to the zone's
// entries in turn, so that each agent is used by about as many entries.
// `agents` is one pool. A subset of fewer than `size` agents is filled up with
// agents of other zones, in an order hashed by `self`. The result is
// deterministic: all entries compute the same subsets from the same list.
std::vector<HostRecord> ChooseSubset(const std::vector<HostRecord>& entries,
                                     const std::vector<HostRecord>& agents,
                                     const NodeName& self, const ZoneName& zone,
                                     size_t size);

// Returns the entries that entry `self` opens connections to: its successors at
// distances 1, 4, 16, ... in the order of hashed names. The graph stays
// connected and has a diameter that grows with the logarithm of the number of
// entries.
std::vector<HostRecord> ChooseEntryPeers(const std::vector<HostRecord>& entries,
                                         const NodeName& self);

// Returns whether entry `self` reads the store on behalf of its zone.
bool IsStoreReader(const std::vector<HostRecord>& entries, const NodeName& self,
                   const ZoneName& zone, size_t readers_per_zone);

}  // namespace chervilwick

#endif  // CHERVILWICK_MEMBERSHIP_SUBSET_H_
