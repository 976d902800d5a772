// What fronts tell each other, and its bytes.

#ifndef CHERVILWICK_FRONT_PEER_MESSAGES_H_
#define CHERVILWICK_FRONT_PEER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/net/socket.h"

namespace chervilwick {

// One front's state, sent as a datagram. A lost one is made good by the next.
struct PeerDigest {
  std::string sender;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t store_revision = 0;
  uint64_t waiting_streams = 0;
  std::map<BackendName, BackendUse> use;
  CrashNews crashes;
  // Engines whose stage is being changed, and for how much longer.
  std::map<BackendName, absl::Duration> changing;
  std::vector<BackendNotice> notices;
  std::vector<Endpoint> peers;  // that the sender hears
};

// What has changed of a front's use since it last told: the values as they are
// now, so that a lost update is made good by the next one or by a digest.
struct PeerUseUpdate {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t waiting_streams = 0;
  std::map<BackendName, BackendUse> use;
  std::vector<BackendNotice> notices;  // not told yet
  CrashNews crashes;                   // not told yet
};

std::string EncodeDigest(const PeerDigest& digest);
std::string EncodeUpdate(const PeerUseUpdate& update);
// Nothing if the bytes are no update.
std::optional<PeerUseUpdate> DecodeUpdate(absl::string_view bytes);
// Nothing if the bytes are no digest.
std::optional<PeerDigest> DecodeDigest(absl::string_view bytes);

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PEER_MESSAGES_H_
