// Another front's copy of the store, for when the store turns this one away.

#ifndef CHERVILWICK_FRONT_PEER_COPY_H_
#define CHERVILWICK_FRONT_PEER_COPY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/front/peer_link.h"
#include "chervilwick/front/store_sync.h"

namespace chervilwick {

// Path of a front's copy of the store, at its control address.
inline constexpr char kPeerCopyPath[] = "/copy";

// Asks the front with the newest copy, one call at a time.
class PeerCopy {
 public:
  PeerCopy(FrontContext& context, StoreSync& store, const PeerLink& peers)
      : context_(context), store_(store), peers_(peers) {}

  // Another front told how new its copy is.
  void OnDigest(const PeerDigest& digest, const Endpoint& from);
  // Asks, if the store can't be reached and another front knows more.
  void Tick();

 private:
  void Ask(absl::Time now);
  void OnEvent(const CallEvent& event);
  // Forgets the call and who was asked; the next digest names one again.
  void EndCall();

  FrontContext& context_;
  StoreSync& store_;
  const PeerLink& peers_;
  CallId call_;
  std::string bytes_;
  absl::Time asked_ = absl::InfinitePast();
  uint64_t newest_revision_ = 0;
  std::optional<Endpoint> newest_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PEER_COPY_H_
