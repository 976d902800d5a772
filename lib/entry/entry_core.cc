// Event handling, peer tracking and configuration exchange of an entry.

#include "chervilwick/entry/entry_core.h"

#include <algorithm>
#include <set>
#include <utility>

#include "chervilwick/membership/subset.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kSweepInterval = absl::Seconds(1);
constexpr absl::Duration kPeerRetention = absl::Seconds(30);
// Peers silent for longer than this get no heartbeats, because the transport
// replaces their connections.
constexpr absl::Duration kPeerSilenceLimit = absl::Seconds(10);

}  // namespace

EntryCore::EntryCore(EntryOptions options)
    : context_(std::move(options)),
      versions_(context_.options.versions, context_.config,
                [this] { return context_.directory.Live(event_time_); }),
      streams_(context_),
      calls_(context_, ClaimLogOptions{}) {}

std::vector<EntryAction> EntryCore::Handle(const EntryEvent& event,
                                           absl::Time now) {
  event_time_ = now;
  std::visit(
      Overloaded{
          [&](const ClientStream& it) { streams_.OnClient(it, now); },
          [&](const ClientCall& it) { calls_.OnClient(it, now); },
          [&](const ClientGone& it) {
            streams_.OnClientGone(it.id, now);
            calls_.OnClientGone(it.id);
          },
          [&](const EntryMessageReceived& it) { OnMessage(it.envelope, now); },
          [&](const StoreReplied& it) {
            if (it.user == StoreUser::kVersions) {
              versions_.OnReply(it.reply, now);
            } else {
              calls_.OnStoreReply(it.reply, now);
            }
          },
          [&](const OperatorRequestReceived& it) {
            versions_.Submit(it.request, now);
          },
          [&](const HostListRead& it) { OnHosts(it.hosts, now); },
          [&](const EntryStopRequested&) { context_.stopping = true; },
          [&](const EntryTick&) { OnTick(now); },
      },
      event);
  streams_.ReapEnded();
  calls_.ReapEnded();
  FlushVersions();
  SendHeartbeats(now);
  CheckDrained();
  return std::exchange(context_.actions, {});
}

std::string EntryCore::NotReadyReason() const {
  if (context_.stopping) return "stopping";
  if (!context_.config.IsKnown()) return "no configuration version is known";
  bool any_live =
      std::any_of(context_.directory.all().begin(),
                  context_.directory.all().end(), [&](const auto& it) {
                    return context_.directory.LivenessOf(
                               it.second, event_time_) == Liveness::kLive;
                  });
  return any_live ? "" : "no backend server is live";
}

void EntryCore::OnMessage(const Envelope& envelope, absl::Time now) {
  PeerView& peer = peers_[envelope.from];
  peer.incarnation = envelope.incarnation;
  peer.version = std::max(peer.version, envelope.version);
  peer.last_heard = now;
  context_.directory.OnHeard(envelope, now);
  std::optional<ConfigPull> pull =
      context_.config.OnPeerVersion(envelope.version, now);
  if (pull) context_.Send(envelope.from, *pull);
  std::visit([&](const auto& message) { On(envelope, message, now); },
             envelope.message);
}

void EntryCore::On(const Envelope& envelope, const Hello& message,
                   absl::Time now) {
  PeerView& peer = peers_[envelope.from];
  peer.role = message.role;
  peer.zone = message.zone;
  peer.address = message.address;
  context_.directory.OnHello(envelope, message, now);
  SendHeartbeat(envelope.from, peer, now);
}

void EntryCore::On(const Envelope& envelope, const Heartbeat& message,
                   absl::Time now) {
  Backend* backend = context_.directory.FindByAgent(envelope.from);
  if (backend != nullptr && message.load) {
    context_.directory.OnLoad(*backend, *message.load, now);
  }
  bool has_new_reports = false;
  for (const CrashReport& it : message.crashes.items) {
    has_new_reports |= context_.crashes.Add(it, now);
  }
  // New crash reports are forwarded immediately, with the next heartbeats.
  if (has_new_reports) next_heartbeat_ = now;
}

void EntryCore::On(const Envelope& envelope, const ConfigPull& message,
                   absl::Time /*now*/) {
  std::optional<ConfigPush> push = context_.config.OnPull(message);
  if (push) context_.Send(envelope.from, *std::move(push));
}

void EntryCore::On(const Envelope& envelope, const ConfigPush& message,
                   absl::Time now) {
  bool changed = context_.config.OnPush(message, now);
  if (!changed) return;
  streams_.Dispatch(now);
  // The peer may have newer versions than the push contained.
  std::optional<ConfigPull> pull =
      context_.config.OnPeerVersion(envelope.version, now);
  if (pull) context_.Send(envelope.from, *pull);
}

void EntryCore::On(const Envelope& envelope, const Reserved& message,
                   absl::Time now) {
  if (streams_.On(message, now)) return;
  context_.Send(envelope.from, Release{message.attempt});
}

void EntryCore::On(const Envelope& /*envelope*/, const Refused& message,
                   absl::Time now) {
  if (streams_.On(message, now)) return;
  calls_.On(message, now);
}

void EntryCore::On(const Envelope& envelope, const Accepted& message,
                   absl::Time now) {
  if (streams_.On(message, now)) return;
  context_.Send(envelope.from, Release{message.attempt});
}

void EntryCore::On(const Envelope& envelope, const Piece& message,
                   absl::Time now) {
  if (streams_.On(message, now)) return;
  context_.Send(envelope.from, Release{message.attempt});
}

void EntryCore::On(const Envelope& envelope, const Done& message,
                   absl::Time now) {
  if (streams_.On(message, now) || calls_.On(message, now)) return;
  context_.Send(envelope.from, Release{message.attempt});
}

void EntryCore::On(const Envelope& /*envelope*/, const UnknownAttempt& message,
                   absl::Time now) {
  if (streams_.On(message, now)) return;
  calls_.On(message, now);
}

void EntryCore::On(const Envelope& /*envelope*/, const FenceResult& message,
                   absl::Time now) {
  calls_.On(message, now);
}

void EntryCore::OnHosts(const std::vector<HostRecord>& hosts, absl::Time now) {
  const EntryOptions& options = context_.options;
  std::vector<HostRecord> entries;
  std::map<PoolName, std::vector<HostRecord>> pools;
  std::vector<HostRecord> chosen;
  listed_.clear();
  for (const HostRecord& it : hosts) {
    listed_[it.name] = it.role;
    if (it.role == NodeRole::kEntry) {
      entries.push_back(it);
      continue;
    }
    // Agents that the configuration does not name share the empty pool name.
    PoolName pool;
    context_.config.setup().FindPoolOf(it.backend, &pool);
    pools[pool].push_back(it);
  }
  for (const auto& [pool, agents] : pools) {
    std::vector<HostRecord> subset = ChooseSubset(
        entries, agents, options.name, options.zone, options.subset_size);
    chosen.insert(chosen.end(), subset.begin(), subset.end());
  }
  context_.directory.Update(chosen);
  is_store_reader_ = chervilwick::IsStoreReader(
      entries, options.name, options.zone, options.readers_per_zone);
  listed_peers_.clear();
  for (const HostRecord& it : chosen) listed_peers_.push_back(it.address);
  for (const HostRecord& it : ChooseEntryPeers(entries, options.name)) {
    listed_peers_.push_back(it.address);
  }
  UpdatePeers(now);
}

void EntryCore::UpdatePeers(absl::Time now) {
  std::set<std::string> wanted(listed_peers_.begin(), listed_peers_.end());
  auto& extra = context_.extra_peers;
  for (auto it = extra.begin(); it != extra.end();) {
    if (now > it->second) {
      it = extra.erase(it);
      continue;
    }
    wanted.insert(it->first);
    ++it;
  }
  wanted.erase(context_.options.address);
  std::vector<std::string> addresses(wanted.begin(), wanted.end());
  if (addresses == ordered_peers_) return;
  ordered_peers_ = addresses;
  context_.Act(SetPeers{std::move(addresses)});
}

void EntryCore::OnTick(absl::Time now) {
  streams_.Tick(now);
  calls_.Tick(now);
  versions_.Tick(now);
  PollStore(now);
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepInterval;
  context_.crashes.Prune(now);
  context_.directory.RemoveStale(now);
  for (auto it = peers_.begin(); it != peers_.end();) {
    bool gone = now - it->second.last_heard > kPeerRetention;
    it = gone ? peers_.erase(it) : std::next(it);
  }
  UpdatePeers(now);
}

void EntryCore::PollStore(absl::Time now) {
  if (!is_store_reader_ || now < next_poll_) return;
  next_poll_ = now + context_.options.poll_interval;
  VersionRequest poll;
  poll.kind = VersionRequestKind::kPoll;
  versions_.Submit(std::move(poll), now);
}

void EntryCore::FlushVersions() {
  for (KvCall& it : versions_.TakeCalls()) {
    context_.Act(CallStore{StoreUser::kVersions, std::move(it)});
  }
  for (VersionResult& it : versions_.TakeVersionResults()) {
    if (it.kind == VersionRequestKind::kPoll) continue;
    context_.Act(AnswerOperator{std::move(it)});
  }
}

void EntryCore::SendHeartbeat(const NodeName& peer, const PeerView& view,
                              absl::Time now) {
  Heartbeat heartbeat;
  heartbeat.leaving = context_.stopping;
  if (view.role == NodeRole::kAgent) {
    streams_.AppendActive(peer, heartbeat.active);
    calls_.AppendActive(peer, heartbeat.active);
  }
  heartbeat.crashes = context_.crashes.LatestReports(now);
  context_.Send(peer, std::move(heartbeat));
}

void EntryCore::SendHeartbeats(absl::Time now) {
  bool due = now >= next_heartbeat_;
  bool version_changed = context_.config.number() != announced_version_;
  if (!due && !version_changed) return;
  announced_version_ = context_.config.number();
  if (due) next_heartbeat_ = now + context_.options.heartbeat_interval;
  for (const auto& [name, view] : peers_) {
    if (now - view.last_heard > kPeerSilenceLimit) continue;
    bool behind = view.version < announced_version_;
    if (due || behind) SendHeartbeat(name, view, now);
  }
}

void EntryCore::CheckDrained() {
  if (!context_.stopping || drained_sent_) return;
  bool busy = streams_.active_count() > 0 || calls_.active_count() > 0 ||
              calls_.pending_claims() > 0;
  if (busy) return;
  drained_sent_ = true;
  context_.Act(EntryDrained{});
}

}  // namespace chervilwick
