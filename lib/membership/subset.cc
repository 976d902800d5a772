// Selection of peers.

#include "chervilwick/membership/subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr size_t kPeerDistanceBase = 4;

uint64_t NameHash(const HostRecord& host, uint64_t seed) {
  return StableHash(host.name.value(), seed);
}

void SortByHash(std::vector<HostRecord>& hosts, uint64_t seed) {
  std::sort(hosts.begin(), hosts.end(),
            [seed](const HostRecord& a, const HostRecord& b) {
              return std::make_pair(NameHash(a, seed), a.name) <
                     std::make_pair(NameHash(b, seed), b.name);
            });
}

// Returns the hosts of one zone that are not leaving.
std::vector<HostRecord> InZone(const std::vector<HostRecord>& hosts,
                               const ZoneName& zone) {
  std::vector<HostRecord> found;
  std::copy_if(
      hosts.begin(), hosts.end(), std::back_inserter(found),
      [&](const HostRecord& it) { return it.zone == zone && !it.leaving; });
  return found;
}

// Returns the position of `self`, or the size when it is not listed.
size_t RankOf(const std::vector<HostRecord>& hosts, const NodeName& self) {
  auto it = std::find_if(hosts.begin(), hosts.end(),
                         [&](const HostRecord& h) { return h.name == self; });
  return static_cast<size_t>(it - hosts.begin());
}

}  // namespace

std::vector<HostRecord> ChooseSubset(const std::vector<HostRecord>& entries,
                                     const std::vector<HostRecord>& agents,
                                     const NodeName& self, const ZoneName& zone,
                                     size_t size) {
  std::vector<HostRecord> local = InZone(agents, zone);
  std::vector<HostRecord> local_entries = InZone(entries, zone);
  SortByHash(local_entries, 0);
  size_t rank = RankOf(local_entries, self);
  size_t slices = std::max<size_t>(1, local.size() / std::max<size_t>(1, size));
  // Each round of `slices` entries covers all agents, in an order hashed by the
  // round.
  uint64_t round = rank / slices;
  size_t slice = rank % slices;
  SortByHash(local, round + 1);
  std::vector<HostRecord> chosen;
  for (size_t it = slice; it < local.size(); it += slices) {
    chosen.push_back(local[it]);
  }
  if (chosen.size() >= size) return chosen;
  std::vector<HostRecord> remote;
  std::copy_if(agents.begin(), agents.end(), std::back_inserter(remote),
               [&](const HostRecord& it) { return it.zone != zone; });
  SortByHash(remote, StableHash(self.value()));
  size_t n = std::min(size - chosen.size(), remote.size());
  chosen.insert(chosen.end(), remote.begin(),
                remote.begin() + static_cast<int64_t>(n));
  return chosen;
}

std::vector<HostRecord> ChooseEntryPeers(const std::vector<HostRecord>& entries,
                                         const NodeName& self) {
  std::vector<HostRecord> ring = entries;
  SortByHash(ring, 0);
  size_t rank = RankOf(ring, self);
  std::vector<HostRecord> peers;
  for (size_t distance = 1; distance < ring.size();
       distance *= kPeerDistanceBase) {
    const HostRecord& peer = ring[(rank + distance) % ring.size()];
    if (peer.name != self) peers.push_back(peer);
  }
  return peers;
}

bool IsStoreReader(const std::vector<HostRecord>& entries, const NodeName& self,
                   const ZoneName& zone, size_t readers_per_zone) {
  std::vector<HostRecord> local_entries = InZone(entries, zone);
  SortByHash(local_entries, 0);
  size_t rank = RankOf(local_entries, self);
  // The list lags behind: an entry not listed yet reads the store itself.
  return rank >= local_entries.size() || rank < readers_per_zone;
}

}  // namespace chervilwick
