// State machine of an entry, the process that accepts client requests. It opens
// no sockets, starts no threads, and takes the time and the random seed from
// its caller.

#ifndef CHERVILWICK_ENTRY_ENTRY_CORE_H_
#define CHERVILWICK_ENTRY_ENTRY_CORE_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/config/version_store.h"
#include "chervilwick/entry/call_flow.h"
#include "chervilwick/entry/entry_context.h"
#include "chervilwick/entry/entry_types.h"
#include "chervilwick/entry/stream_flow.h"

namespace chervilwick {

// Latest state reported by another process.
struct PeerView {
  NodeRole role = NodeRole::kEntry;
  ZoneName zone;
  std::string address;
  Incarnation incarnation;
  VersionNumber version;
  absl::Time last_heard;
};

class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);

  // Processes one event and returns the resulting actions.
  std::vector<EntryAction> Handle(const EntryEvent& event, absl::Time now);

  const EntryContext& context() const { return context_; }
  const ConfigReplica& config() const { return context_.config; }
  const EntryStats& stats() const { return context_.stats; }
  const std::map<NodeName, PeerView>& peers() const { return peers_; }
  bool IsStoreReachable() const { return versions_.IsReachable(); }
  bool IsStoreReader() const { return is_store_reader_; }
  size_t active_streams() const { return streams_.active_count(); }
  size_t waiting_streams() const { return streams_.waiting_count(); }
  size_t active_calls() const { return calls_.active_count(); }
  // Returns why requests can't be served, or an empty string if they can.
  std::string NotReadyReason() const;

 private:
  void OnMessage(const Envelope& envelope, absl::Time now);
  void On(const Envelope& envelope, const Hello& message, absl::Time now);
  void On(const Envelope& envelope, const Heartbeat& message, absl::Time now);
  void On(const Envelope& envelope, const ConfigPull& message, absl::Time now);
  void On(const Envelope& envelope, const ConfigPush& message, absl::Time now);
  void On(const Envelope& envelope, const Reserved& message, absl::Time now);
  void On(const Envelope& envelope, const Refused& message, absl::Time now);
  void On(const Envelope& envelope, const Accepted& message, absl::Time now);
  void On(const Envelope& envelope, const Piece& message, absl::Time now);
  void On(const Envelope& envelope, const Done& message, absl::Time now);
  void On(const Envelope& envelope, const UnknownAttempt& message,
          absl::Time now);
  void On(const Envelope& envelope, const FenceResult& message, absl::Time now);
  template <typename Other>
  void On(const Envelope& /*envelope*/, const Other& /*message*/,
          absl::Time /*now*/) {}

  void OnHosts(const std::vector<HostRecord>& hosts, absl::Time now);
  void OnTick(absl::Time now);
  // Sends the periodic heartbeats. After a version change, also notifies peers
  // on older versions immediately.
  void SendHeartbeats(absl::Time now);
  void SendHeartbeat(const NodeName& peer, const PeerView& view,
                     absl::Time now);
  void UpdatePeers(absl::Time now);
  void PollStore(absl::Time now);
  void FlushVersions();
  void CheckDrained();

  EntryContext context_;
  VersionStore versions_;
  StreamFlow streams_;
  CallFlow calls_;
  std::map<NodeName, PeerView> peers_;
  std::vector<std::string> listed_peers_;   // chosen from the host list
  std::vector<std::string> ordered_peers_;  // as of the last SetPeers
  std::map<NodeName, NodeRole> listed_;     // roles of all listed hosts
  bool is_store_reader_ = true;
  bool drained_sent_ = false;
  VersionNumber announced_version_;
  absl::Time next_poll_ = absl::InfinitePast();
  absl::Time next_heartbeat_ = absl::InfinitePast();
  absl::Time next_sweep_ = absl::InfinitePast();
  absl::Time event_time_;  // time of the latest event
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_ENTRY_CORE_H_
