// Fetches another front's copy of the store when the store is unavailable to
// this one.

#ifndef CHERVILWICK_FRONT_PEER_COPY_H_
#define CHERVILWICK_FRONT_PEER_COPY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/front/peer_link.h"
#include "chervilwick/front/store_sync.h"

namespace chervilwick {

// Path of a front's copy of the store on its control address.
inline constexpr char kPeerCopyPath[] = "/copy";

// Requests the copy with the highest known revision, one call at a time.
class PeerCopy {
 public:
  PeerCopy(FrontContext& context, StoreSync& store, const PeerLink& peers)
      : context_(context), store_(store), peers_(peers) {}

  // A request of a client shows that the own copy is out of date. For a while,
  // a peer is asked for its copy although the store seems to be reachable.
  void Request();
  // Takes the revision of the peer's copy from its digest.
  void OnDigest(const PeerDigest& digest, const Endpoint& from);
  // Starts a request if the store is unreachable or its backend servers were
  // never read, and a peer has a newer copy.
  void Tick();

 private:
  // Peer to ask now, if there is a reason to ask one.
  std::optional<Endpoint> ChoosePeer(absl::Time now) const;
  void SendRequest(const Endpoint& peer, absl::Time now);
  void OnEvent(const CallEvent& event);
  // Clears the call and the chosen peer. The next digest chooses one again.
  void EndCall();

  FrontContext& context_;
  StoreSync& store_;
  const PeerLink& peers_;
  CallId call_;
  std::string body_;
  absl::Time last_request_ = absl::InfinitePast();
  absl::Time wanted_until_ = absl::InfinitePast();
  StoreRevision newest_revision_;
  std::optional<Endpoint> newest_peer_;
  std::map<Endpoint, absl::Time> avoided_until_;  // peers that were silent
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PEER_COPY_H_
