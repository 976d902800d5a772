// Discovery record of a backend server.

#ifndef CHERVILWICK_DISPATCH_BACKEND_RECORD_H_
#define CHERVILWICK_DISPATCH_BACKEND_RECORD_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "chervilwick/dispatch/route_table.h"
#include "chervilwick/net/socket.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// Version of the software of a backend server. Versions have no order.
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;

enum class EngineStage {
  kNone,     // not a model engine
  kPrefill,  // processes prompts and transfers their KV cache
  kDecode,   // generates tokens; can also run prefill, at half the speed
};

// Name of the stage in logs and reports.
inline const char* StageName(EngineStage stage) {
  switch (stage) {
    case EngineStage::kNone:
      return "-";
    case EngineStage::kPrefill:
      return "prefill";
    case EngineStage::kDecode:
      return "decode";
  }
  return "-";
}

// One start of a backend server. A restart has the same id and a later
// `born_unix_ms`.
struct BackendRecord {
  BackendName id;
  ServiceName service;
  Endpoint endpoint;
  ZoneName zone;
  bool draining = false;
  EngineStage stage = EngineStage::kNone;
  uint32_t slots = 1;
  // Servers that state none have a version of their own each, see
  // UnstatedSoftware().
  SoftwareVersion software;
  int64_t born_unix_ms = 0;
  // Number of the record within its start; grows with each change. Records that
  // differ in it alone are equal.
  uint64_t sequence = 0;

  // Version of a server that states none, unlike that of any other start of a
  // server.
  SoftwareVersion UnstatedSoftware() const {
    // Versions that servers state have no spaces.
    return SoftwareVersion("unstated by " + id.value() + " " +
                           std::to_string(born_unix_ms));
  }

  // Whether this start or this record came before that of `other`.
  bool IsOlderThan(const BackendRecord& other) const {
    return std::tie(born_unix_ms, sequence) <
           std::tie(other.born_unix_ms, other.sequence);
  }

  friend bool operator==(const BackendRecord& a, const BackendRecord& b) {
    return a.id == b.id && a.service == b.service && a.endpoint == b.endpoint &&
           a.zone == b.zone && a.draining == b.draining && a.stage == b.stage &&
           a.slots == b.slots && a.software == b.software &&
           a.born_unix_ms == b.born_unix_ms;
  }
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_BACKEND_RECORD_H_
