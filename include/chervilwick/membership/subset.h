// Which peers a process keeps connections to.

#ifndef CHERVILWICK_MEMBERSHIP_SUBSET_H_
#define CHERVILWICK_MEMBERSHIP_SUBSET_H_

#include <cstddef>
#include <vector>

#include "chervilwick/store/host_list.h"

namespace chervilwick {

// Agents that entry `self` serves through: all those of its zone and pool group
// cut into slices of about `size`, dealt out to the zone's entries in turn, so
// that each agent is served by about as many entries. `agents` is one pool.
// When the zone has fewer than `size` agents, the nearest rank of agents of
// other zones fills up. All entries compute the same from the same list.
std::vector<HostRecord> ChooseSubset(const std::vector<HostRecord>& entries,
                                     const std::vector<HostRecord>& agents,
                                     const NodeName& self, const ZoneName& zone,
                                     size_t size);

// Entries that entry `self` opens connections to: its successors at distances
// 1, 4, 16, ... in the order of hashed names. The graph stays connected and has
// a diameter that grows with the logarithm of the number of entries.
std::vector<HostRecord> ChooseEntryPeers(const std::vector<HostRecord>& entries,
                                         const NodeName& self);

// Whether entry `self` is one of its zone's readers of the store.
bool IsStoreReader(const std::vector<HostRecord>& entries, const NodeName& self,
                   const ZoneName& zone, size_t readers_per_zone);

}  // namespace chervilwick

#endif  // CHERVILWICK_MEMBERSHIP_SUBSET_H_
