// What fronts tell each other.

#ifndef CHERVILWICK_FRONT_PEER_LINK_H_
#define CHERVILWICK_FRONT_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/front/peer_messages.h"
#include "chervilwick/net/socket.h"

namespace chervilwick {

// Sends digests to the peers that the seeds name and that other peers hear of,
// and forgets a peer that has been silent. Fronts find each other without a
// call to the store.
class PeerLink {
 public:
  struct Listener {
    std::function<PeerDigest()> make_digest;
    std::function<void(const PeerDigest&, const Endpoint& from)> on_digest;
    std::function<void(const std::string& name)> on_lost;
  };

  PeerLink(FrontContext& context, Listener listener);
  ~PeerLink();

  // False with errno if the address can't be had.
  bool Start();
  // Streams were placed: tells the other fronts at once, before they give the
  // same places away.
  void AnnounceUse();
  // Addresses that are asked until a front answers there.
  void SetSeeds(const std::string& seeds);
  // Fronts that are heard, this one not included.
  size_t alive() const { return alive_.size(); }
  // Their names, and when each was heard last.
  std::map<std::string, absl::Time> Heard() const;
  // Most fronts, this one included, that were alive within the last while.
  uint32_t FrontsAssumed() const;
  // Control address of a front that is heard or a seed; none if there is none.
  std::optional<Endpoint> AnyControl() const;
  Endpoint ControlOf(const Endpoint& peer) const;

 private:
  struct Peer {
    PeerDigest digest;  // the last one, with the updates since
    absl::Time heard;
  };

  void OnReadable();
  void OnDatagram(absl::string_view bytes, const Endpoint& from);
  void OnDigest(const PeerDigest& digest, const Endpoint& from);
  void OnUpdate(const PeerUseUpdate& update, const Endpoint& from);
  void Tick();
  void SendDigest(PeerDigest digest, absl::Time now);
  bool IsDigestDue(const PeerDigest& digest, absl::Time now) const;
  // Sends what has changed, or a sign of life if nothing has for a while.
  void SendUpdate(const PeerDigest& state, absl::Time now);
  void Send(const std::string& bytes, const std::set<Endpoint>& targets);
  void ExpireSilent(absl::Time now);
  void UpdateShares();

  FrontContext& context_;
  Listener listener_;
  int socket_ = -1;
  Endpoint self_;
  uint16_t control_port_ = 0;
  std::set<Endpoint> seeds_;
  std::set<Endpoint> hearsay_;  // named by peers, not heard yet
  std::map<Endpoint, Peer> alive_;
  std::map<absl::Time, uint32_t> recent_sizes_;
  // Notices that are new since the last datagram.
  std::vector<BackendNotice> TakeUntold(
      const std::vector<BackendNotice>& notices);

  std::map<BackendName, BackendUse> last_sent_use_;
  // By server, start and kind.
  using NoticeKey = std::tuple<BackendName, int64_t, BackendNotice::Kind>;
  std::set<NoticeKey> told_;
  std::set<BackendName> last_sent_changing_;
  uint64_t last_sent_waiting_ = 0;
  absl::Time last_sent_ = absl::InfinitePast();  // of any kind
  absl::Time last_digest_ = absl::InfinitePast();
  bool wants_digest_ = false;  // a peer has just been found
  absl::Time introduction_end_ = absl::InfinitePast();
  uint64_t incarnation_;
  uint64_t sequence_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PEER_LINK_H_
