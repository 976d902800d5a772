// Exchange of state between fronts over UDP.

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

// Sends digests to the seeds, to known peers and to addresses learned from
// peers, and removes a peer after a period of silence. Fronts discover each
// other without a call to the store.
class PeerLink {
 public:
  struct Listener {
    std::function<PeerDigest()> make_digest;
    std::function<void(const PeerDigest&, const Endpoint& from)> on_digest;
    std::function<void(const std::string& name)> on_lost;
    std::function<void(const OriginNews&, const Endpoint& from)> on_origins;
    // A peer has read a change of the store that each front has to act on.
    std::function<void(const StoreRevision&)> on_change =
        [](const StoreRevision&) {};
  };

  PeerLink(FrontContext& context, Listener listener);
  ~PeerLink();

  // Returns false and sets errno if the address can't be bound.
  bool Start();
  // Sends the current use at once after streams were placed, so that the other
  // fronts don't assign the same capacity.
  void AnnounceUse();
  void SendOrigins(const OriginNews& news, const Endpoint& peer);
  void SendOriginsToAll(const OriginNews& news);
  void SendChangeToAll(const StoreRevision& revision);
  // The live peer that writes the stream's record to the store; nullopt if this
  // front does. Few fronts write, so that many records share a call; all fronts
  // agree on them as far as they know the same ones.
  std::optional<Endpoint> RecorderOf(const std::string& attempt) const;
  // Replaces the seeds. Digests go to every seed, whether or not a front
  // answers there.
  void SetSeeds(const std::string& seeds);
  // Number of live peers, not counting this front.
  size_t live_peer_count() const { return live_peers_.size(); }
  // Time of the last datagram from each live peer, by name.
  std::map<std::string, absl::Time> LastHeardTimes() const;
  // Largest number of live fronts, including this one, within the retention
  // period. Includes the seeds while no peer is known.
  uint32_t AssumedFrontCount() const;
  // Whether this front is the one of all live ones to which a turn of trying a
  // request falls; all fronts agree as far as they know the same ones.
  bool HasTurn(Fingerprint request, uint64_t turn) const;
  // Control address of the peer heard most recently; none without live peers.
  std::optional<Endpoint> AnyControl() const;
  Endpoint ControlOf(const Endpoint& peer) const;

 private:
  struct Peer {
    PeerDigest digest;  // the last one, with later updates applied
    absl::Time heard;
  };

  void OnReadable();
  void OnDatagram(absl::string_view bytes, const Endpoint& from);
  void OnDigest(const PeerDigest& digest, const Endpoint& from);
  void OnUpdate(const PeerUseUpdate& update, const Endpoint& from);
  void Tick();
  void SendDigest(PeerDigest digest, absl::Time now);
  bool IsDigestDue(const PeerDigest& digest, absl::Time now) const;
  // Sends changes since the last datagram, or a heartbeat if one is due.
  void SendUpdate(const PeerDigest& state, absl::Time now);
  std::set<Endpoint> LivePeers() const;
  void Send(const std::string& bytes, const std::set<Endpoint>& targets);
  void ExpireSilentPeers(absl::Time now);
  // No front of that name is at the address any more; it may be at another one.
  void ReportLost(const std::string& name);
  void UpdateFleetTotals();
  // Tells the limits of the fleet how many fronts there are.
  void UpdateFrontCount();

  FrontContext& context_;
  Listener listener_;
  int socket_ = -1;
  Endpoint self_;
  uint16_t control_port_ = 0;
  std::set<Endpoint> seeds_;
  std::set<Endpoint> unconfirmed_peers_;  // named by peers or expired
  std::map<Endpoint, Peer> live_peers_;
  absl::Time last_tick_ = absl::InfinitePast();
  absl::Time listening_since_ = absl::InfinitePast();  // without own pause
  // Number of live fronts, including this one, by time of observation.
  std::map<absl::Time, uint32_t> recent_front_counts_;
  // Returns the notices that were not sent yet and marks all as sent.
  std::vector<BackendNotice> TakeUnsentNotices(
      const std::vector<BackendNotice>& notices);

  std::map<BackendName, BackendUse> last_sent_use_;
  // Backend server, its start time and the kind of notice.
  using NoticeKey = std::tuple<BackendName, int64_t, BackendNotice::Kind>;
  std::set<NoticeKey> sent_notices_;
  std::set<BackendName> last_sent_changing_;
  uint64_t last_sent_waiting_ = 0;
  AccountUse last_sent_accounts_;
  absl::Time last_sent_ = absl::InfinitePast();  // digest or update
  absl::Time last_digest_ = absl::InfinitePast();
  bool needs_early_digest_ = false;  // a peer is new or has restarted
  absl::Time full_crash_sync_end_ = absl::InfinitePast();
  uint64_t incarnation_;
  uint64_t sequence_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PEER_LINK_H_
