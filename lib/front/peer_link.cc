// What fronts tell each other.

#include "chervilwick/front/peer_link.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "chervilwick/support/random_seed.h"

namespace chervilwick {
namespace {

// Changes of use are told at most that late.
constexpr absl::Duration kTick = absl::Milliseconds(50);
// Something is sent at least that often, so that peers know that this front
// lives.
constexpr absl::Duration kHeartbeat = absl::Milliseconds(400);
// A whole digest is sent that often: it finds new peers, and makes good updates
// that were lost and not repeated since. Half the time within which a request
// that crashes servers must be known everywhere, so that one may be lost.
constexpr absl::Duration kDigestInterval = absl::Milliseconds(1200);
// For so long after a peer was found, digests tell all that this front knows of
// crashing requests: a few of them, any of which may be lost.
constexpr absl::Duration kIntroductionTime = absl::Seconds(4);
// A peer that was silent for so long has stopped or is cut off.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(1600);
// How long a larger number of fronts is remembered for budgets.
constexpr absl::Duration kSizeMemory = absl::Seconds(60);
constexpr size_t kMaxDatagram = 60000;
constexpr size_t kMaxPeersNamed = 32;
constexpr size_t kMaxHearsay = 64;

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
  context_.loop.Every(kTick, [this] { Tick(); });
  SetSeeds(context_.settings.seeds);
  UpdateShares();
  return true;
}

void PeerLink::SetSeeds(const std::string& seeds) {
  seeds_.clear();
  for (absl::string_view it : absl::StrSplit(seeds, ',', absl::SkipEmpty())) {
    auto control = Endpoint::Parse(absl::StrCat(it));
    // Ports are the same on all hosts.
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
  for (const auto& it : alive_) {
    if (it.second.heard <= heard) continue;
    heard = it.second.heard;
    best = &it.first;
  }
  if (best == nullptr) return std::nullopt;
  return ControlOf(*best);
}

std::map<std::string, absl::Time> PeerLink::Heard() const {
  std::map<std::string, absl::Time> heard;
  for (const auto& it : alive_) {
    heard[it.second.digest.sender] = it.second.heard;
  }
  return heard;
}

uint32_t PeerLink::FrontsAssumed() const {
  uint32_t most = static_cast<uint32_t>(alive_.size()) + 1;
  // Before any peer was heard, the seeds are taken to be others.
  if (alive_.empty()) most += static_cast<uint32_t>(seeds_.size());
  for (const auto& it : recent_sizes_) most = std::max(most, it.second);
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
  } else {
    ++context_.stats.peer_datagrams_bad;
  }
}

void PeerLink::OnDigest(const PeerDigest& digest, const Endpoint& from) {
  auto [it, is_new] = alive_.try_emplace(from);
  Peer& peer = it->second;
  bool restarted = peer.digest.incarnation != digest.incarnation;
  if (!is_new && !restarted && digest.sequence <= peer.digest.sequence) return;
  peer.digest = digest;
  peer.heard = context_.loop.Now();
  hearsay_.erase(from);
  for (const Endpoint& named : digest.peers) {
    if (named != self_ && alive_.count(named) == 0 &&
        hearsay_.size() < kMaxHearsay) {
      hearsay_.insert(named);
    }
  }
  if (is_new || restarted) {
    wants_digest_ = true;  // the peer knows nothing of this front
    introduction_end_ = peer.heard + kIntroductionTime;
    context_.log.Write(peer.heard, "peer_found",
                       {{"peer", digest.sender}, {"address", from.ToString()}});
  }
  listener_.on_digest(digest, from);
  UpdateShares();
}

void PeerLink::OnUpdate(const PeerUseUpdate& update, const Endpoint& from) {
  auto it = alive_.find(from);
  if (it == alive_.end()) return;  // its digest is on the way
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
  // Said once, and timed from then.
  known.changing.clear();
  known.notices = update.notices;
  known.crashes = update.crashes;
  it->second.heard = context_.loop.Now();
  listener_.on_digest(known, from);
  UpdateShares();
}

void PeerLink::UpdateShares() {
  size_t waiting = 0;
  for (const auto& it : alive_) waiting += it.second.digest.waiting_streams;
  context_.scheduler.SetPeersWaiting(waiting);
  absl::Time now = context_.loop.Now();
  uint32_t size = static_cast<uint32_t>(alive_.size()) + 1;
  if (recent_sizes_.empty() || recent_sizes_.rbegin()->second != size ||
      now - recent_sizes_.rbegin()->first > absl::Seconds(1)) {
    recent_sizes_[now] = size;
  }
  while (!recent_sizes_.empty() &&
         now - recent_sizes_.begin()->first > kSizeMemory) {
    recent_sizes_.erase(recent_sizes_.begin());
  }
  context_.quota.SetFronts(FrontsAssumed());
}

void PeerLink::ExpireSilent(absl::Time now) {
  for (auto it = alive_.begin(); it != alive_.end();) {
    if (now - it->second.heard < kPeerTimeout) {
      ++it;
      continue;
    }
    context_.log.Write(now, "peer_lost",
                       {{"peer", it->second.digest.sender},
                        {"silent_ms", now - it->second.heard}});
    listener_.on_lost(it->second.digest.sender);
    if (hearsay_.size() < kMaxHearsay) hearsay_.insert(it->first);
    it = alive_.erase(it);
    UpdateShares();
  }
}

void PeerLink::Tick() {
  absl::Time now = context_.loop.Now();
  ExpireSilent(now);
  PeerDigest digest = listener_.make_digest();
  if (IsDigestDue(digest, now)) {
    SendDigest(std::move(digest), now);
    context_.quota.SetFronts(FrontsAssumed());
  } else {
    SendUpdate(digest, now);
  }
}

bool PeerLink::IsDigestDue(const PeerDigest& digest, absl::Time now) const {
  // Only digests carry this.
  if (NamesOf(digest.changing) != last_sent_changing_) return true;
  absl::Duration since = now - last_digest_;
  bool is_sought = wants_digest_ || alive_.empty();
  return since >= kDigestInterval || (is_sought && since >= kHeartbeat);
}

void PeerLink::AnnounceUse() {
  SendUpdate(listener_.make_digest(), context_.loop.Now());
}

void PeerLink::SendDigest(PeerDigest digest, absl::Time now) {
  last_digest_ = now;
  last_sent_ = now;
  wants_digest_ = false;
  last_sent_use_ = digest.use;
  last_sent_waiting_ = digest.waiting_streams;
  last_sent_changing_ = NamesOf(digest.changing);
  TakeUntold(digest.notices);
  digest.crashes = now < introduction_end_ ? context_.suspects.All(now)
                                           : context_.suspects.Recent(now);
  context_.suspects.TakeUntold(now);
  digest.incarnation = incarnation_;
  digest.sequence = ++sequence_;
  for (const auto& it : alive_) {
    if (digest.peers.size() < kMaxPeersNamed) digest.peers.push_back(it.first);
  }
  std::set<Endpoint> targets = seeds_;
  for (const auto& it : alive_) targets.insert(it.first);
  targets.insert(hearsay_.begin(), hearsay_.end());
  Send(EncodeDigest(digest), targets);
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
  update.notices = TakeUntold(state.notices);
  update.crashes = context_.suspects.TakeUntold(now);
  bool is_news = !update.use.empty() || !update.notices.empty() ||
                 !update.crashes.empty() ||
                 state.waiting_streams != last_sent_waiting_;
  if (!is_news && now - last_sent_ < kHeartbeat) return;
  last_sent_ = now;
  last_sent_use_ = state.use;
  last_sent_waiting_ = state.waiting_streams;
  update.incarnation = incarnation_;
  update.sequence = ++sequence_;
  update.waiting_streams = state.waiting_streams;
  std::set<Endpoint> targets;
  for (const auto& it : alive_) targets.insert(it.first);
  Send(EncodeUpdate(update), targets);
}

std::vector<BackendNotice> PeerLink::TakeUntold(
    const std::vector<BackendNotice>& notices) {
  std::vector<BackendNotice> untold;
  std::set<NoticeKey> told;
  for (const BackendNotice& it : notices) {
    NoticeKey key(it.backend, it.born_unix_ms, it.kind);
    if (told_.count(key) == 0) untold.push_back(it);
    told.insert(std::move(key));
  }
  told_ = std::move(told);
  return untold;
}

void PeerLink::Send(const std::string& bytes,
                    const std::set<Endpoint>& targets) {
  for (const Endpoint& it : targets) {
    sockaddr_in address = it.ToSockaddr();
    // A datagram that can't be sent counts as lost: the next one replaces it.
    ssize_t n = sendto(socket_, bytes.data(), bytes.size(), 0,
                       reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (n > 0) ++context_.stats.peer_datagrams_out;
  }
}

}  // namespace chervilwick
