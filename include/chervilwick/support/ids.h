// Identifiers shared by all layers.

#ifndef CHERVILWICK_SUPPORT_IDS_H_
#define CHERVILWICK_SUPPORT_IDS_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

#include "chervilwick/support/strong_type.h"

namespace chervilwick {

// Name of a process of the system, unique among live processes.
using NodeName = StrongType<struct NodeNameTag, std::string>;
// Random number drawn at each process start; tells restarts apart.
using Incarnation = StrongType<struct IncarnationTag, uint64_t>;
// Availability zone of a host.
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
// Backend server (a model engine or a plain service) as named in a version.
using BackendName = StrongType<struct BackendNameTag, std::string>;
using PoolName = StrongType<struct PoolNameTag, std::string>;
using ModelName = StrongType<struct ModelNameTag, std::string>;
// Client account that a request is billed to.
using ClientName = StrongType<struct ClientNameTag, std::string>;
// Number of a configuration version; grows by one with each accepted patch.
using VersionNumber = StrongType<struct VersionNumberTag, uint64_t>;
// Id that an operator's tool gives to one submission of a patch.
using PatchId = StrongType<struct PatchIdTag, std::string>;
// Hash of what makes two requests the same work.
using Fingerprint = StrongType<struct FingerprintTag, uint64_t>;
// Request as the client sees it; unique within an entry's incarnation.
using RequestId = StrongType<struct RequestIdTag, uint64_t>;

// One try of one step of a request at one backend server. The sequence grows
// within an entry's incarnation.
struct AttemptId {
  Incarnation entry;
  uint64_t sequence = 0;

  friend bool operator==(const AttemptId& a, const AttemptId& b) {
    return a.entry == b.entry && a.sequence == b.sequence;
  }
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return std::tie(a.entry, a.sequence) < std::tie(b.entry, b.sequence);
  }
  template <typename H>
  friend H AbslHashValue(H state, const AttemptId& it) {
    return H::combine(std::move(state), it.entry, it.sequence);
  }
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(entry, sequence);
  }
};

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_IDS_H_
