// Entry process.

#include "chervilwick/entry/entry_daemon.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "chervilwick/support/overloaded.h"
#include "chervilwick/support/random_seed.h"
#include "chervilwick/telemetry/log.h"

namespace chervilwick {
namespace {

constexpr size_t kEventCapacity = 65536;
constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
constexpr absl::Duration kPopTimeout = absl::Milliseconds(200);
// Part of the shutdown limit that is reserved for answering open requests.
constexpr double kShutdownMarginShare = 1.0 / 8;

EntryOptions MakeOptions(const EntrySettings& settings,
                         Incarnation incarnation) {
  EntryOptions options;
  options.name = NodeName(settings.name);
  options.incarnation = incarnation;
  options.zone = ZoneName(settings.zone);
  options.address = settings.listen;
  options.seed = incarnation.value();
  options.subset_size = settings.subset_size;
  return options;
}

TransportIdentity MakeIdentity(const EntrySettings& settings,
                               Incarnation incarnation) {
  TransportIdentity identity;
  identity.name = NodeName(settings.name);
  identity.incarnation = incarnation;
  identity.hello.role = NodeRole::kEntry;
  identity.hello.zone = ZoneName(settings.zone);
  identity.hello.address = settings.listen;
  return identity;
}

MetricSample Counter(const std::string& name, const std::string& help,
                     uint64_t value) {
  return {"chervilwick_entry_" + name,
          help,
          MetricType::kCounter,
          static_cast<double>(value),
          {}};
}

MetricSample Gauge(const std::string& name, const std::string& help,
                   double value) {
  return {"chervilwick_entry_" + name, help, MetricType::kGauge, value, {}};
}

}  // namespace

EntryDaemon::EntryDaemon(EntrySettings settings)
    : settings_(std::move(settings)),
      incarnation_(DrawNonZero()),
      events_(kEventCapacity),
      core_(MakeOptions(settings_, incarnation_)) {
  timers_ = kernel_.Register("timers", std::make_unique<TimerService>());
  spans_ =
      kernel_.Register("spans", std::make_unique<SpanRecorder>(settings_.name));
  transport_ = kernel_.Register(
      "transport",
      std::make_unique<Transport>(
          MakeIdentity(settings_, incarnation_), settings_.listen,
          [this](Envelope envelope) {
            events_.Push(EntryMessageReceived{std::move(envelope)});
          }));
  version_kv_ = kernel_.Register(
      "version-kv",
      std::make_unique<KvClient>(settings_.store, [this](KvReply reply) {
        events_.Push(StoreReplied{StoreUser::kVersions, std::move(reply)});
      }));
  claim_kv_ = kernel_.Register(
      "claim-kv",
      std::make_unique<KvClient>(settings_.store, [this](KvReply reply) {
        events_.Push(StoreReplied{StoreUser::kClaims, std::move(reply)});
      }));
  hosts_ = kernel_.Register(
      "hosts", std::make_unique<HostListClient>(
                   settings_.host_list, settings_.host_list_interval,
                   [this](std::vector<HostRecord> hosts) {
                     events_.Push(HostListRead{std::move(hosts)});
                   }));
  http_ = kernel_.Register("http", std::make_unique<HttpFront>(*this));
  timers_->Subscribe(kTickInterval,
                     [this](absl::Time) { events_.TryPush(EntryTick{}); });
}

EntryDaemon::~EntryDaemon() { Stop(); }

std::optional<std::string> EntryDaemon::Start() {
  if (auto problem = transport_->Bind()) return problem;
  if (auto problem = http_->Bind()) return problem;
  core_thread_.Start("core", [this] { CoreLoop(); });
  kernel_.StartAll();
  LogState("started", {{"listen", settings_.listen}, {"http", settings_.http}});
  return std::nullopt;
}

void EntryDaemon::RequestStop() {
  LogState("stopping", {});
  http_->BeginStop();
  events_.Push(EntryStopRequested{});
}

bool EntryDaemon::WaitUntilDrained() {
  absl::Duration margin = settings_.shutdown_limit * kShutdownMarginShare;
  if (WaitUntilClosed(settings_.shutdown_limit - margin)) return true;
  http_->EndOpenRequests();
  CloseHttp();
  WaitUntilClosed(margin / 2);
  return false;
}

bool EntryDaemon::WaitUntilClosed(absl::Duration limit) {
  MutexLock lock(&state_mutex_);
  return state_changed_.WaitFor(state_mutex_, limit,
                                [this] { return http_closed_; });
}

void EntryDaemon::CloseHttp() {
  http_->CloseWhenDone([this] {
    MutexLock lock(&state_mutex_);
    http_closed_ = true;
    state_changed_.NotifyAll();
  });
}

void EntryDaemon::Stop() {
  if (stopping_.exchange(true)) return;
  kernel_.StopAll();
  events_.Close();
  core_thread_.Join();
}

bool EntryDaemon::Post(EntryEvent event) {
  return events_.TryPush(std::move(event));
}

void EntryDaemon::CoreLoop() {
  while (!events_.IsClosed()) {
    std::optional<EntryEvent> event = events_.Pop(kPopTimeout);
    if (!event) continue;
    std::vector<EntryAction> actions;
    {
      MutexLock lock(&core_mutex_);
      actions = core_.Handle(*event, absl::Now());
      uint64_t version = core_.config().number().value();
      if (version != core_version_) {
        core_version_ = version;
        LogState("version_in_force", {{"number", absl::StrCat(version)}});
      }
    }
    for (EntryAction& it : actions) Perform(std::move(it));
  }
}

void EntryDaemon::Perform(EntryAction action) {
  std::visit(
      Overloaded{
          [&](SendToPeer& it) {
            transport_->Send(it.to, VersionNumber(core_version_),
                             std::move(it.message));
          },
          [&](DeliverTokens& it) {
            http_->Deliver(it.id, std::move(it.tokens));
          },
          [&](FinishRequest& it) {
            http_->Finish(it.id, std::move(it.outcome));
          },
          [&](CallStore& it) {
            KvClient* client =
                it.user == StoreUser::kVersions ? version_kv_ : claim_kv_;
            client->Submit(std::move(it.call));
          },
          [&](AnswerOperator& it) {
            LogState("operator_verdict", {{"code", it.verdict.code},
                                          {"message", it.verdict.message}});
            http_->RespondVerdict(std::move(it.verdict));
          },
          [&](SetPeers& it) { transport_->SetPeers(std::move(it.addresses)); },
          [&](SpanEnded& it) { spans_->Record(it); },
          [&](EntryDrained&) {
            LogState("drained", {});
            CloseHttp();
          },
      },
      action);
}

EntryDaemon::Status EntryDaemon::ReadStatus() {
  MutexLock lock(&core_mutex_);
  Status status;
  status.name = settings_.name;
  status.version = core_.config().number().value();
  status.not_ready_reason = core_.NotReadyReason();
  status.store_reachable = core_.IsStoreReachable();
  status.store_reader = core_.IsStoreReader();
  status.stats = core_.stats();
  status.active_streams = core_.active_streams();
  status.waiting_streams = core_.waiting_streams();
  status.active_calls = core_.active_calls();
  status.health = core_.context().health;
  status.history.assign(core_.config().recent().begin(),
                        core_.config().recent().end());
  absl::Time now = absl::Now();
  const BackendDirectory& directory = core_.context().directory;
  std::map<NodeName, const Backend*> by_agent;
  for (const auto& [name, backend] : directory.all()) {
    by_agent[backend.agent] = &backend;
  }
  for (const auto& [name, view] : core_.peers()) {
    PeerStatus peer;
    peer.name = name.value();
    peer.view = view;
    auto backend = by_agent.find(name);
    if (backend != by_agent.end()) {
      peer.backend = backend->second->name.value();
      peer.liveness = LivenessName(directory.LivenessOf(*backend->second, now));
    }
    status.peers.push_back(std::move(peer));
  }
  return status;
}

std::string EntryDaemon::ReadConfigContent(uint64_t& version) {
  MutexLock lock(&core_mutex_);
  version = core_.config().number().value();
  return core_.config().content();
}

std::string EntryDaemon::RenderEntryMetrics(uint64_t slow_clients) {
  Status status = ReadStatus();
  const EntryStats& stats = status.stats;
  const TransportStats& wire = transport_->stats();
  return RenderMetrics({
      Counter("streams_total", "Model requests received", stats.streams),
      Counter("calls_total", "Plain calls received", stats.calls),
      Counter("whole_answers_total", "Requests answered whole",
              stats.completed_requests),
      Counter("refused_total", "Requests refused as not run", stats.refused),
      Counter("failed_total", "Requests that failed after they ran",
              stats.failed),
      Counter("unknown_outcomes_total",
              "Calls of which can't be told whether they ran",
              stats.unknown_outcomes),
      Counter("client_gone_total", "Requests whose client went away",
              stats.client_gone),
      Counter("slow_clients_total", "Clients that did not read their answer",
              slow_clients),
      Counter("retries_total", "Attempts repeated from the retry budget",
              stats.retries),
      Counter("resumed_streams_total",
              "Streams resumed from what was delivered", stats.resumed_streams),
      Counter("hedges_total", "Second attempts from the hedge budget",
              stats.hedges),
      Counter("preempted_total", "Batch streams stopped for urgent ones",
              stats.preempted),
      Counter("prefills_started_total", "Prefills ordered",
              stats.prefills_started),
      Counter("prefills_wasted_total", "Prefills that served no decode",
              stats.prefills_wasted),
      Counter("reservations_total", "Decode places asked for",
              stats.reservations),
      Counter("reservations_refused_total", "Decode places refused",
              stats.reservations_refused),
      Counter("stale_version_refusals_total",
              "Attempts refused because this entry's version was superseded",
              stats.stale_version_refusals),
      Counter("tokens_total", "Tokens delivered", stats.tokens),
      Counter("store_calls_total", "Calls on the key-value service",
              version_kv_->calls() + claim_kv_->calls()),
      Counter("store_failures_total", "Calls on it that failed",
              version_kv_->failures() + claim_kv_->failures()),
      Counter("wire_bytes_sent_total", "Bytes sent to peers", wire.bytes_sent),
      Counter("wire_bytes_received_total", "Bytes received from peers",
              wire.bytes_received),
      Counter("wire_frames_dropped_total", "Frames that could not be sent",
              wire.frames_dropped),
      Counter("wire_silent_connections_total",
              "Connections replaced because they went silent",
              wire.silent_connections),
      Gauge("version", "Configuration version in force",
            static_cast<double>(status.version)),
      Gauge("ready", "Whether requests are taken",
            status.not_ready_reason.empty() ? 1 : 0),
      Gauge("active_streams", "Model requests in progress",
            static_cast<double>(status.active_streams)),
      Gauge("waiting_streams", "Model requests waiting for a place",
            static_cast<double>(status.waiting_streams)),
      Gauge("active_calls", "Plain calls in progress",
            static_cast<double>(status.active_calls)),
      Gauge("store_reachable", "Whether the key-value service answers",
            status.store_reachable ? 1 : 0),
  });
}

}  // namespace chervilwick
