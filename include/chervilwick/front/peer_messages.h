// Messages between fronts and their binary encoding.

#ifndef CHERVILWICK_FRONT_PEER_MESSAGES_H_
#define CHERVILWICK_FRONT_PEER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/account_limiter.h"
#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/front/outside_protocol.h"
#include "chervilwick/front/store_revision.h"
#include "chervilwick/net/socket.h"

namespace chervilwick {

// One front's full state, sent as a datagram. The next digest replaces a lost
// one.
struct PeerDigest {
  std::string sender;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  StoreRevision store_revision;
  uint64_t waiting_streams = 0;
  std::map<BackendName, BackendUse> use;
  CrashUpdate crashes;
  // Remaining time of the stage change of each engine that has one in progress.
  std::map<BackendName, absl::Duration> changing;
  std::vector<BackendNotice> notices;
  std::vector<Endpoint> peers;  // live peers of the sender
  // Sent only if there are any, so that fronts without accounts and older ones
  // understand each other.
  AccountUse accounts;
};

// Changes of a front's state since its last datagram. Carries absolute values,
// not differences, so that a later update or a digest replaces a lost one.
struct PeerUseUpdate {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t waiting_streams = 0;
  std::map<BackendName, BackendUse> use;
  std::vector<BackendNotice> notices;  // not sent yet
  CrashUpdate crashes;                 // not sent yet
  AccountUse accounts;                 // changed totals
};

// Records of streams, as a message of its own, which older fronts skip.
struct OriginNews {
  enum class Kind : uint8_t {
    kBegan,    // the store has not acknowledged the records
    kToWrite,  // the receiver is asked to write them to the store
    kWritten,  // the store has acknowledged them
    // The receiver is asked for records; only the attempts are set. It answers
    // with one of the next two.
    kAsked,
    kFound,
    kAmbiguous,  // two streams bore the attempt's id
  };
  static constexpr Kind kLastKind = Kind::kAmbiguous;

  Kind kind = Kind::kBegan;
  std::vector<StreamOrigin> origins;
  StoreEra era;  // in which the store acknowledged them
};

// Up to which revision the store has changes that each front has to act on. A
// message of its own, which older fronts skip.
std::string EncodeChange(const StoreRevision& revision);
// Returns nullopt if the bytes are not such a message.
std::optional<StoreRevision> DecodeChange(absl::string_view bytes);

std::string EncodeOrigins(const OriginNews& news);
// Returns nullopt if the bytes are not such a message.
std::optional<OriginNews> DecodeOrigins(absl::string_view bytes);

std::string EncodeDigest(const PeerDigest& digest);
std::string EncodeUpdate(const PeerUseUpdate& update);
// Returns nullopt if the bytes are not a valid update.
std::optional<PeerUseUpdate> DecodeUpdate(absl::string_view bytes);
// Returns nullopt if the bytes are not a valid digest.
std::optional<PeerDigest> DecodeDigest(absl::string_view bytes);

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PEER_MESSAGES_H_
