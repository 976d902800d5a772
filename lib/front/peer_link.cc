// Exchange of state between fronts over UDP.

#include "chervilwick/front/peer_link.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "chervilwick/support/hash.h"
#include "chervilwick/support/random_seed.h"

namespace chervilwick {
namespace {

// Upper bound on the delay before a change of use is sent.
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(50);
// Longest time between datagrams. Peers use them to detect that this front is
// alive.
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(400);
// Time between full digests, which discover new peers and replace lost updates.
// Half the time within which all fronts must know of a request that crashes
// servers, so that one digest may be lost.
constexpr absl::Duration kDigestInterval = absl::Milliseconds(1200);
// How long after a peer is found or restarts digests carry all known crash
// records. Covers several digests, any of which may be lost.
constexpr absl::Duration kFullCrashSyncTime = absl::Seconds(4);
// A peer that is silent for this long has stopped or is unreachable.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(1600);
// How long the retry budget is still divided by an earlier, larger number of
// fronts.
constexpr absl::Duration kFrontCountRetention = absl::Seconds(60);
// Fronts that share one which writes records of streams for them.
constexpr size_t kFrontsPerRecorder = 32;
constexpr size_t kMaxDatagram = 60000;
constexpr size_t kMaxPeersNamed = 32;
constexpr size_t kMaxUnconfirmedPeers = 64;

std::set<BackendName> NamesOf(
    const std::map<BackendName, absl::Duration>& changing) {
  std::set<BackendName> names;
  for (const auto& it : changing) names.insert(it.first);
  return names;
}

}  // namespace

PeerLink::PeerLink(FrontContext& context, Listener listener)
    : context_(context),
      listener_(std::move(listener)),
      incarnation_(DrawNonZero()) {}

PeerLink::~PeerLink() {
  if (socket_ >= 0) close(socket_);
}

bool PeerLink::Start() {
  self_ = *Endpoint::Parse(context_.settings.peers);
  control_port_ = Endpoint::Parse(context_.settings.control)->port;
  socket_ = BindUdp(self_);
  if (socket_ < 0) return false;
  context_.loop.OnReadable(socket_, [this] { OnReadable(); });
  context_.loop.Every(kUpdateInterval, [this] { Tick(); });
  SetSeeds(context_.settings.seeds);
  UpdateFleetTotals();
  return true;
}

void PeerLink::SetSeeds(const std::string& seeds) {
  seeds_.clear();
  for (absl::string_view it : absl::StrSplit(seeds, ',', absl::SkipEmpty())) {
    auto control = Endpoint::Parse(absl::StrCat(it));
    // All hosts use the same ports.
    if (control && control->ip != self_.ip) {
      seeds_.insert({control->ip, self_.port});
    }
  }
}

Endpoint PeerLink::ControlOf(const Endpoint& peer) const {
  return {peer.ip, control_port_};
}

std::optional<Endpoint> PeerLink::AnyControl() const {
  const Endpoint* best = nullptr;
  absl::Time heard = absl::InfinitePast();
  for (const auto& it : live_peers_) {
    if (it.second.heard <= heard) continue;
    heard = it.second.heard;
    best = &it.first;
  }
  if (best == nullptr) return std::nullopt;
  return ControlOf(*best);
}

std::map<std::string, absl::Time> PeerLink::LastHeardTimes() const {
  std::map<std::string, absl::Time> heard;
  for (const auto& it : live_peers_) {
    heard[it.second.digest.sender] = it.second.heard;
  }
  return heard;
}

bool PeerLink::HasTurn(Fingerprint request, uint64_t turn) const {
  bool is_alone = live_peers_.empty();
  if (is_alone && AssumedFrontCount() > 1) return false;
  auto rank = [&](const std::string& name) {
    return StableHash(name, StableHash(absl::StrCat(turn), request.value()));
  };
  uint64_t own = rank(context_.settings.name);
  return std::all_of(
      live_peers_.begin(), live_peers_.end(),
      [&](const auto& it) { return rank(it.second.digest.sender) <= own; });
}

uint32_t PeerLink::AssumedFrontCount() const {
  uint32_t most = static_cast<uint32_t>(live_peers_.size()) + 1;
  // While no peer is known, each seed counts as a front.
  if (live_peers_.empty()) most += static_cast<uint32_t>(seeds_.size());
  for (const auto& it : recent_front_counts_) most = std::max(most, it.second);
  return most;
}

void PeerLink::OnReadable() {
  std::array<char, kMaxDatagram> buf;
  while (true) {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ssize_t n = recvfrom(socket_, buf.data(), buf.size(), 0,
                         reinterpret_cast<sockaddr*>(&address), &length);
    if (n < 0) return;
    OnDatagram({buf.data(), static_cast<size_t>(n)}, Endpoint::From(address));
  }
}

void PeerLink::OnDatagram(absl::string_view bytes, const Endpoint& from) {
  if (std::optional<PeerDigest> digest = DecodeDigest(bytes)) {
    ++context_.stats.peer_datagrams_in;
    OnDigest(*digest, from);
  } else if (std::optional<PeerUseUpdate> update = DecodeUpdate(bytes)) {
    ++context_.stats.peer_datagrams_in;
    OnUpdate(*update, from);
  } else if (std::optional<OriginNews> news = DecodeOrigins(bytes)) {
    ++context_.stats.peer_datagrams_in;
    if (live_peers_.count(from) != 0) listener_.on_origins(*news, from);
  } else if (std::optional<StoreRevision> change = DecodeChange(bytes)) {
    ++context_.stats.peer_datagrams_in;
    if (live_peers_.count(from) != 0) listener_.on_change(*change);
  } else {
    ++context_.stats.peer_datagrams_bad;
  }
}

void PeerLink::OnDigest(const PeerDigest& digest, const Endpoint& from) {
  auto [it, is_new] = live_peers_.try_emplace(from);
  Peer& peer = it->second;
  bool restarted = peer.digest.incarnation != digest.incarnation;
  if (!is_new && !restarted && digest.sequence <= peer.digest.sequence) return;
  std::string replaced = is_new ? digest.sender : peer.digest.sender;
  peer.digest = digest;
  peer.heard = context_.loop.Now();
  if (replaced != digest.sender) ReportLost(replaced);
  unconfirmed_peers_.erase(from);
  for (const Endpoint& named : digest.peers) {
    if (named != self_ && live_peers_.count(named) == 0 &&
        unconfirmed_peers_.size() < kMaxUnconfirmedPeers) {
      unconfirmed_peers_.insert(named);
    }
  }
  if (is_new || restarted) {
    needs_early_digest_ = true;  // the peer lacks this front's state
    full_crash_sync_end_ = peer.heard + kFullCrashSyncTime;
    context_.log.Write(peer.heard, "peer_found",
                       {{"peer", digest.sender}, {"address", from.ToString()}});
  }
  listener_.on_digest(digest, from);
  context_.accounts.OnPeerReport(digest.sender, digest.incarnation,
                                 digest.accounts, peer.heard);
  UpdateFleetTotals();
}

void PeerLink::OnUpdate(const PeerUseUpdate& update, const Endpoint& from) {
  auto it = live_peers_.find(from);
  if (it == live_peers_.end()) return;  // no digest received yet
  PeerDigest& known = it->second.digest;
  if (update.incarnation != known.incarnation) return;
  if (update.sequence <= known.sequence) return;
  known.sequence = update.sequence;
  known.waiting_streams = update.waiting_streams;
  for (const auto& use : update.use) {
    if (use.second == BackendUse()) {
      known.use.erase(use.first);
    } else {
      known.use[use.first] = use.second;
    }
  }
  // The listener already has the stage changes of the digest, with end times
  // counted from its receipt. Passing them on again would extend them.
  known.changing.clear();
  known.notices = update.notices;
  known.crashes = update.crashes;
  it->second.heard = context_.loop.Now();
  listener_.on_digest(known, from);
  context_.accounts.OnPeerUpdate(known.sender, update.accounts,
                                 it->second.heard);
  UpdateFleetTotals();
}

void PeerLink::UpdateFleetTotals() {
  size_t waiting = 0;
  for (const auto& it : live_peers_) {
    waiting += it.second.digest.waiting_streams;
  }
  context_.scheduler.SetPeersWaiting(waiting);
  absl::Time now = context_.loop.Now();
  uint32_t size = static_cast<uint32_t>(live_peers_.size()) + 1;
  if (recent_front_counts_.empty() ||
      recent_front_counts_.rbegin()->second != size ||
      now - recent_front_counts_.rbegin()->first > absl::Seconds(1)) {
    recent_front_counts_[now] = size;
  }
  while (!recent_front_counts_.empty() &&
         now - recent_front_counts_.begin()->first > kFrontCountRetention) {
    recent_front_counts_.erase(recent_front_counts_.begin());
  }
  UpdateFrontCount();
}

void PeerLink::UpdateFrontCount() {
  uint32_t known = AssumedFrontCount();
  context_.quota.SetFrontCount(known);
  context_.scheduler.SetFrontCount(static_cast<uint32_t>(live_peers_.size()) +
                                   1);
  context_.accounts.SetFleet(static_cast<uint32_t>(live_peers_.size()) + 1,
                             known);
}

void PeerLink::ReportLost(const std::string& name) {
  bool is_elsewhere = std::any_of(
      live_peers_.begin(), live_peers_.end(),
      [&](const auto& it) { return it.second.digest.sender == name; });
  if (is_elsewhere) return;
  context_.accounts.OnPeerLost(name);
  listener_.on_lost(name);
}

void PeerLink::ExpireSilentPeers(absl::Time now) {
  // Datagrams may be lost while this process stands still: the silence of its
  // peers counts from the end of the pause.
  if (now - last_tick_ > kHeartbeatInterval) listening_since_ = now;
  last_tick_ = now;
  for (auto it = live_peers_.begin(); it != live_peers_.end();) {
    if (now - std::max(it->second.heard, listening_since_) < kPeerTimeout) {
      ++it;
      continue;
    }
    context_.log.Write(now, "peer_lost",
                       {{"peer", it->second.digest.sender},
                        {"silent_ms", now - it->second.heard}});
    std::string name = it->second.digest.sender;
    if (unconfirmed_peers_.size() < kMaxUnconfirmedPeers) {
      unconfirmed_peers_.insert(it->first);
    }
    it = live_peers_.erase(it);
    ReportLost(name);
    UpdateFleetTotals();
  }
}

void PeerLink::Tick() {
  absl::Time now = context_.loop.Now();
  ExpireSilentPeers(now);
  PeerDigest digest = listener_.make_digest();
  if (IsDigestDue(digest, now)) {
    SendDigest(std::move(digest), now);
    UpdateFrontCount();
  } else {
    SendUpdate(digest, now);
  }
}

bool PeerLink::IsDigestDue(const PeerDigest& digest, absl::Time now) const {
  // Updates do not carry stage changes.
  if (NamesOf(digest.changing) != last_sent_changing_) return true;
  absl::Duration since = now - last_digest_;
  bool is_early_digest = needs_early_digest_ || live_peers_.empty();
  return since >= kDigestInterval ||
         (is_early_digest && since >= kHeartbeatInterval);
}

void PeerLink::AnnounceUse() {
  SendUpdate(listener_.make_digest(), context_.loop.Now());
}

void PeerLink::SendOrigins(const OriginNews& news, const Endpoint& peer) {
  Send(EncodeOrigins(news), {peer});
}

void PeerLink::SendOriginsToAll(const OriginNews& news) {
  Send(EncodeOrigins(news), LivePeers());
}

void PeerLink::SendChangeToAll(const StoreRevision& revision) {
  Send(EncodeChange(revision), LivePeers());
}

std::set<Endpoint> PeerLink::LivePeers() const {
  std::set<Endpoint> peers;
  for (const auto& it : live_peers_) peers.insert(it.first);
  return peers;
}

std::optional<Endpoint> PeerLink::RecorderOf(const std::string& attempt) const {
  std::map<uint64_t, const Endpoint*> fronts;
  for (const auto& it : live_peers_) {
    fronts[StableHash(it.second.digest.sender)] = &it.first;
  }
  fronts[StableHash(context_.settings.name)] = &self_;
  size_t recorders = 1 + fronts.size() / kFrontsPerRecorder;
  auto chosen =
      std::next(fronts.begin(),
                static_cast<std::ptrdiff_t>(StableHash(attempt) % recorders));
  if (chosen->second == &self_) return std::nullopt;
  return *chosen->second;
}

void PeerLink::SendDigest(PeerDigest digest, absl::Time now) {
  last_digest_ = now;
  last_sent_ = now;
  needs_early_digest_ = false;
  last_sent_use_ = digest.use;
  last_sent_waiting_ = digest.waiting_streams;
  digest.accounts = context_.accounts.OwnTotals(now);
  last_sent_accounts_ = digest.accounts;
  last_sent_changing_ = NamesOf(digest.changing);
  TakeUnsentNotices(digest.notices);
  digest.crashes = now < full_crash_sync_end_
                       ? context_.suspects.FullUpdate(now)
                       : context_.suspects.RecentUpdate(now);
  context_.suspects.TakeUnsent(now);
  digest.incarnation = incarnation_;
  digest.sequence = ++sequence_;
  for (const auto& it : live_peers_) {
    if (digest.peers.size() < kMaxPeersNamed) digest.peers.push_back(it.first);
  }
  std::set<Endpoint> targets = seeds_;
  for (const auto& it : live_peers_) targets.insert(it.first);
  targets.insert(unconfirmed_peers_.begin(), unconfirmed_peers_.end());
  Send(EncodeDigest(digest), targets);
  context_.accounts.MarkTold(now);
}

void PeerLink::SendUpdate(const PeerDigest& state, absl::Time now) {
  PeerUseUpdate update;
  for (const auto& it : state.use) {
    auto before = last_sent_use_.find(it.first);
    bool is_same =
        before != last_sent_use_.end() && before->second == it.second;
    if (!is_same) update.use[it.first] = it.second;
  }
  for (const auto& it : last_sent_use_) {
    if (state.use.count(it.first) == 0) update.use[it.first] = BackendUse();
  }
  update.notices = TakeUnsentNotices(state.notices);
  update.crashes = context_.suspects.TakeUnsent(now);
  AccountUse accounts = context_.accounts.OwnTotals(now);
  for (const auto& it : accounts) {
    auto before = last_sent_accounts_.find(it.first);
    bool is_told =
        before != last_sent_accounts_.end() && before->second == it.second;
    if (!is_told) update.accounts.insert(it);
  }
  bool has_changes = !update.use.empty() || !update.accounts.empty() ||
                     !update.notices.empty() || !update.crashes.empty() ||
                     state.waiting_streams != last_sent_waiting_;
  if (!has_changes && now - last_sent_ < kHeartbeatInterval) return;
  last_sent_ = now;
  last_sent_use_ = state.use;
  last_sent_waiting_ = state.waiting_streams;
  last_sent_accounts_ = std::move(accounts);
  update.incarnation = incarnation_;
  update.sequence = ++sequence_;
  update.waiting_streams = state.waiting_streams;
  Send(EncodeUpdate(update), LivePeers());
  context_.accounts.MarkTold(now);
}

std::vector<BackendNotice> PeerLink::TakeUnsentNotices(
    const std::vector<BackendNotice>& notices) {
  std::vector<BackendNotice> unsent;
  std::set<NoticeKey> sent;
  for (const BackendNotice& it : notices) {
    NoticeKey key(it.backend, it.born_unix_ms, it.kind);
    if (sent_notices_.count(key) == 0) unsent.push_back(it);
    sent.insert(std::move(key));
  }
  sent_notices_ = std::move(sent);
  return unsent;
}

void PeerLink::Send(const std::string& bytes,
                    const std::set<Endpoint>& targets) {
  for (const Endpoint& it : targets) {
    sockaddr_in address = it.ToSockaddr();
    // A failed send is treated as a lost datagram; the next one replaces it.
    ssize_t n = sendto(socket_, bytes.data(), bytes.size(), 0,
                       reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (n > 0) ++context_.stats.peer_datagrams_out;
  }
}

}  // namespace chervilwick
