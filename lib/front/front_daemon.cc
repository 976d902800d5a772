// Daemon that serves client requests.

#include "chervilwick/front/front_daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kPeriodicTaskInterval = absl::Milliseconds(100);
// Lateness of the periodic tasks from which it is logged that the process stood
// still: longer than a new connection to a server may take.
constexpr absl::Duration kStallThreshold = absl::Milliseconds(200);
constexpr absl::Duration kSettingsCheckInterval = absl::Seconds(1);
constexpr absl::Duration kLogFlushInterval = absl::Milliseconds(100);
// Time for the reader of the log to take the last lines.
constexpr absl::Duration kLogDrainTime = absl::Milliseconds(200);
// Repeats the time of day, so that log lines can still be dated if the start of
// the log is missing.
constexpr absl::Duration kClockLogInterval = absl::Minutes(1);

// Parts of the memory limit for requests, which servers may read slowly and
// which then are held twice, for answers that clients have not taken yet, and
// for the buffers and state of connections.
constexpr uint64_t kRequestMemoryShare = 6;
constexpr uint64_t kOutputMemoryShare = 5;
constexpr uint64_t kConnectionMemoryShare = 8;
constexpr uint64_t kConnectionBytes = uint64_t{8} << 10;
// The same at each of the addresses for operators, fronts and probes.
constexpr uint64_t kOperatorMemoryShare = 20;
constexpr uint64_t kMaxOperatorConnections = 256;
constexpr size_t kOperatorRequestBytes = size_t{4} << 10;
// Parts of the descriptors. A request holds one at each end, and some are kept
// for the store and for connections that are reused.
constexpr uint64_t kDescriptorsPerClient = 3;
constexpr uint64_t kOperatorDescriptorShare = 32;

// Largest factor by which a notice from a peer is prolonged. The peer that
// found a server unreachable retries it first; the other fronts wait longer and
// learn its result.
constexpr double kMaxNoticeJitter = 1.6;

// Fronts try a request with a part that was blamed for crashes at different
// times within that span after its quarantine.
constexpr absl::Duration kMaxTrialDelay = absl::Seconds(60);

const char* NoticeChangeText(BackendNotice::Kind kind) {
  switch (kind) {
    case BackendNotice::Kind::kLeaving:
      return "leaving, reported by a peer";
    case BackendNotice::Kind::kPauseRequested:
      return "quiet period, reported by a peer";
    case BackendNotice::Kind::kUnreachable:
      return "unreachable, reported by a peer";
  }
  return "unknown";
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

FrontDaemon::FrontDaemon(EventLoop& loop, const FrontSettings& settings,
                         std::string settings_file,
                         const ExternalProtocol& protocol, int log_descriptor)
    : loop_(loop),
      settings_file_(std::move(settings_file)),
      settings_text_(ReadFile(settings_file_)),
      context_(loop_, protocol, settings, log_descriptor),
      clients_(
          loop_,
          {[this](ExchangeId id, const Endpoint& client, HttpRequest request) {
             OnRequest({id, client, std::move(request), loop_.Now()});
           },
           [this](ExchangeId id) { OnClientGone(id); }}),
      ready_(loop_, {[this](ExchangeId id, const Endpoint&,
                            const HttpRequest& request) {
                       bool is_probe = request.head.target ==
                                       context_.protocol.ReadinessPath();
                       int status = IsReady() ? 200 : 503;
                       ready_.Respond(id, {is_probe ? status : 404, {}, ""});
                     },
                     [](ExchangeId) {}}),
      control_(loop_, {[this](ExchangeId id, const Endpoint&,
                              const HttpRequest& request) {
                         OnControlRequest(control_, id, request);
                       },
                       [](ExchangeId) {}}),
      metrics_(loop_, {[this](ExchangeId id, const Endpoint&,
                              const HttpRequest& request) {
                         OnControlRequest(metrics_, id, request);
                       },
                       [](ExchangeId) {}}),
      store_(context_,
             {[this](const RouteTable& it) { OnRouteTable(it); },
              [this](const BackendRecord& it) { OnBackend(it); },
              [this](const BackendName& it, absl::Time at) {
                OnBackendRemoved(it, at);
              },
              [this](bool reachable, absl::string_view reason) {
                OnStoreReachable(reachable, reason);
              },
              [this](const std::string& holder) {
                if (holder.empty()) {
                  stages_.OnHolder(std::nullopt);
                } else {
                  stages_.OnHolder(holder);
                }
              },
              [this](StoreEra era) {
                stages_.OnStoreReturned();
                crash_records_.OnStoreReturned(era);
                origins_.OnStoreReturned(era);
              },
              [this](const CrashedRun& it) {
                MergeCrashNews({{it}, {}}, "store");
              },
              [this](const StreamOrigin& it) { origins_.Learn(it); },
              [this](const StoreRevision& it) { peers_.SendChangeToAll(it); }}),
      peers_(context_,
             {[this] {
                PeerDigest digest;
                digest.sender = context_.settings.name;
                digest.store_revision = store_.revision();
                digest.waiting_streams = context_.scheduler.waiting();
                digest.use = context_.backends.OwnUse();
                for (const auto& it : context_.backends.Changing(loop_.Now())) {
                  digest.changing[it.first] = it.second - loop_.Now();
                }
                digest.notices = context_.backends.Notices(loop_.Now());
                return digest;
              },
              [this](const PeerDigest& it, const Endpoint& from) {
                OnDigest(it, from);
              },
              [this](const std::string& name) {
                context_.backends.SetPeerUse(name, {});
              },
              [this](const OriginNews& it, const Endpoint& from) {
                origins_.OnNews(it, from);
              },
              [this](const StoreRevision& it) { store_.OnPeerChange(it); }}),
      peer_copy_(context_, store_, peers_),
      stages_(context_,
              [this] {
                std::set<ServiceName> services;
                for (const auto& it : table_.services) {
                  if (it.second.engine) services.insert(it.first);
                }
                return services;
              }),
      crash_records_(context_),
      origins_(context_, peers_),
      start_queries_(context_),
      answer_excess_(loop_, [this] { context_.answers.GiveUpExcess(); }),
      scheduler_wake_(loop_, [this] { RunScheduler(); }),
      held_timer_(loop_, [this] { ReleaseHeld(); }),
      shutdown_timer_(loop_, [this] {
        CheckShutdown();
        ArmShutdownTimer();
      }) {
  context_.server = &clients_;
  // Not from inside the call whose answer grows: relays may end.
  context_.answers.SetExcessHandler(
      [this] { answer_excess_.Arm(absl::ZeroDuration()); });
  context_.suspects.SetCrashHandler([this](Fingerprint fingerprint,
                                           const BackendName& backend,
                                           absl::Time now) {
    context_.log.Write(now, "break_counted",
                       {{"fingerprint", FingerprintText(fingerprint)},
                        {"backend", backend.value()},
                        {"breaks", context_.suspects.CrashCount(fingerprint)}});
  });
  context_.suspects.SetClearHandler(
      [this](Fingerprint fingerprint, absl::Time now) {
        context_.log.Write(now, "breaks_cleared",
                           {{"fingerprint", FingerprintText(fingerprint)}});
      });
  context_.suspects.SetTurnHolder([this](Fingerprint request, uint64_t turn) {
    return peers_.HasTurn(request, turn);
  });
  context_.suspects.SetBlameHandler(
      [this](const std::vector<BlamedParts>& blamed) { LogBlamed(blamed); });
  context_.suspects.SetTrialDelay(absl::Uniform(random_, 0.0, 1.0) *
                                  kMaxTrialDelay);
  context_.record_origin = [this](const StreamOrigin& it) {
    origins_.Record(it);
  };
  context_.ask_start = [this](const BackendName& backend,
                              StartQueries::Done done) {
    start_queries_.Ask(backend, std::move(done));
  };
  context_.check_engine = [this](const BackendName& it) { CheckEngine(it); };
  context_.wake_scheduler = [this] { WakeScheduler(absl::ZeroDuration()); };
  context_.current_route = [this](const std::string& name) {
    return table_.FindByName(name);
  };
  context_.authorize = [this](const Credentials& credentials, bool is_public) {
    return table_.Authorize(credentials, is_public);
  };
  context_.store_age = [this] { return loop_.Now() - store_.last_answer(); };
  context_.engine_traits = [this](const ServiceName& service) {
    return table_.FindEngine(service);
  };
}

FrontDaemon::~FrontDaemon() = default;

std::optional<std::string> FrontDaemon::Start() {
  const FrontSettings& settings = context_.settings;
  ApplyLimits();
  ApplyOperatorLimits();
  struct Address {
    EventHttpServer& server;
    const std::string& text;
  };
  for (const Address& it :
       {Address{clients_, settings.clients}, Address{ready_, settings.ready},
        Address{control_, settings.control},
        Address{metrics_, settings.metrics}}) {
    if (!it.server.Listen(*Endpoint::Parse(it.text))) {
      return absl::StrCat(it.text, ": ", std::strerror(errno));
    }
  }
  if (!peers_.Start()) {
    return absl::StrCat(settings.peers, ": ", std::strerror(errno));
  }
  loop_.OnSignal(SIGTERM, [this] { BeginShutdown(); });
  loop_.OnSignal(SIGINT, [this] { BeginShutdown(); });
  loop_.OnSignal(SIGHUP, [this] { ReloadSettings(); });
  loop_.Every(kPeriodicTaskInterval, [this] { RunPeriodicTasks(); });
  loop_.Every(kLogFlushInterval, [this] { context_.log.Flush(); });
  loop_.Every(kSettingsCheckInterval, [this] {
    if (ReadFile(settings_file_) != settings_text_) ReloadSettings();
  });
  context_.log.Write(loop_.Now(), "start",
                     {{"zone", settings.zone},
                      {"clients", settings.clients},
                      {"store", settings.store},
                      {"seeds", settings.seeds}});
  LogWallClock();
  loop_.Every(kClockLogInterval, [this] { LogWallClock(); });
  store_.Start();
  return std::nullopt;
}

bool FrontDaemon::Run() {
  loop_.Run();
  size_t cut = cut_requests_ + relays_.size();
  context_.log.Write(loop_.Now(), "stop",
                     {{"cut", static_cast<uint64_t>(cut)}});
  context_.log.Drain(kLogDrainTime);
  relays_.clear();
  return cut == 0;
}

void FrontDaemon::LogWallClock() {
  context_.log.Write(loop_.Now(), "clock",
                     {{"wall", absl::FormatTime(absl::RFC3339_full, absl::Now(),
                                                absl::UTCTimeZone())}});
}

bool FrontDaemon::IsReady() const {
  return !shutdown_ && store_.has_table() && store_.has_backends();
}

void FrontDaemon::LogDefects() {
  for (const ConfigDefect& it : table_.defects) {
    context_.log.Write(loop_.Now(), "version_part_unusable",
                       {{"version", table_.version.value()},
                        {"path", it.path},
                        {"reason", it.reason}});
  }
}

void FrontDaemon::OnRouteTable(const RouteTable& table) {
  std::vector<Route> routes = std::move(table_.routes);
  table_ = table;
  // Of a version without a readable route, everything else is used.
  bool keeps_routes = table_.has_unknown_routes && table_.routes.empty();
  if (keeps_routes) table_.routes = std::move(routes);
  context_.scheduler.SetEngineTraits(table_.services);
  origins_.SetLifetime(table_.LongestStreamLife());
  ApplyLimits();
  context_.durations.KeepOnly(table_);
  if (table_.HasCompetition()) {
    PromptRefusal policy;
    policy.urgent_priority = table_.UrgentPriority();
    context_.scheduler.SetOverloadPolicy(policy);
  } else {
    context_.scheduler.SetOverloadPolicy(LateService());
  }
  context_.accounts.SetAccounts(table_.accounts.value_or(AccountTable()),
                                loop_.Now());
  context_.log.Write(
      loop_.Now(), "version_in_force",
      {{"version", table_.version.value()},
       {"routes", static_cast<uint64_t>(table_.routes.size())},
       {"accounts", table_.accounts
                        ? static_cast<uint64_t>(table_.accounts->all().size())
                        : uint64_t{0}},
       {"urgent_priority", table_.UrgentPriority().value_or(-1)},
       {"unusable_parts", table_.defects.size() + table_.unlisted_defects}});
  LogDefects();
  std::vector<ExchangeId> ids;
  for (const auto& it : relays_) ids.push_back(it.first);
  for (ExchangeId id : ids) {
    auto it = relays_.find(id);
    if (it != relays_.end()) it->second->OnConfigChange();
  }
  context_.wake_scheduler();
}

void FrontDaemon::ApplyLimits() {
  HttpServerLimits limits;
  limits.max_head_bytes = table_.limits.max_head_bytes;
  limits.max_body_bytes = table_.limits.max_body_bytes;
  limits.head_timeout = table_.limits.head_timeout;
  limits.idle_timeout = table_.limits.idle_timeout;
  uint64_t memory = context_.settings.memory_limit;
  limits.max_buffered_bytes = memory / kRequestMemoryShare;
  limits.max_total_output_bytes = memory / kOutputMemoryShare;
  limits.max_connections =
      std::min<uint64_t>({limits.max_connections,
                          memory / kConnectionMemoryShare / kConnectionBytes,
                          DescriptorLimit() / kDescriptorsPerClient});
  clients_.SetLimits(limits);
}

void FrontDaemon::ApplyOperatorLimits() {
  HttpServerLimits limits;
  uint64_t memory = context_.settings.memory_limit;
  limits.max_head_bytes = kOperatorRequestBytes;
  limits.max_body_bytes = kOperatorRequestBytes;
  limits.max_buffered_bytes = memory / kOperatorMemoryShare;
  limits.max_total_output_bytes = memory / kOperatorMemoryShare;
  limits.max_connections = std::min<uint64_t>(
      kMaxOperatorConnections, DescriptorLimit() / kOperatorDescriptorShare);
  for (EventHttpServer* it : {&ready_, &control_, &metrics_}) {
    it->SetLimits(limits);
  }
}

uint64_t FrontDaemon::DescriptorLimit() const {
  uint64_t limit = context_.settings.descriptor_limit;
  rlimit process{};
  if (getrlimit(RLIMIT_NOFILE, &process) == 0) {
    limit = std::min<uint64_t>(limit, process.rlim_cur);
  }
  return limit;
}

void FrontDaemon::OnBackend(BackendRecord record) {
  if (record.software.value().empty()) {
    record.software = record.UnstatedSoftware();
  }
  const BackendState* known = context_.backends.Find(record.id);
  std::optional<Endpoint> old_endpoint;
  if (known != nullptr) old_endpoint = known->record.endpoint;
  BackendChange change = context_.backends.Upsert(record);
  if (change == BackendChange::kNone) return;
  if (change == BackendChange::kRestarted && old_endpoint) {
    context_.client.Forget(*old_endpoint);
    context_.suspects.ReportServerEnd(record.id, loop_.Now());
  }
  context_.log.Write(
      loop_.Now(), "backend",
      {{"backend", record.id.value()},
       {"change", change == BackendChange::kNew         ? "new"
                  : change == BackendChange::kRestarted ? "restarted"
                                                        : "updated"},
       {"address", record.endpoint.ToString()},
       {"state", record.draining ? "draining" : "ready"},
       {"stage", StageName(record.stage)},
       {"software", record.software.value()},
       {"store_revision", store_.revision().number}});
  if (record.draining) context_.client.Forget(record.endpoint);
  std::vector<ExchangeId> ids;
  for (const auto& it : streams_) ids.push_back(it.first);
  // Each of them may end.
  for (ExchangeId id : ids) {
    auto it = streams_.find(id);
    if (it != streams_.end()) it->second->OnRecordChanged(record.id);
  }
  context_.wake_scheduler();
}

void FrontDaemon::OnBackendRemoved(const BackendName& id, absl::Time at) {
  const BackendState* known = context_.backends.Find(id);
  if (known == nullptr) return;
  bool is_lapse = at > loop_.Now();
  context_.log.Write(loop_.Now(), "backend",
                     {{"backend", id.value()},
                      {"change", is_lapse ? "lapsed" : "removed"},
                      {"store_revision", store_.revision().number}});
  if (is_lapse) {
    context_.backends.ScheduleRemoval(id, at);
    return;
  }
  context_.client.Forget(known->record.endpoint);
  // A server that announced that it leaves did not end because of a request.
  if (!known->IsLeaving()) context_.suspects.ReportServerEnd(id, loop_.Now());
  context_.scheduler.OnEngineRemoved(*known, loop_.Now());
  context_.backends.Remove(id);
  context_.stats.ForgetBackend(id.value());
}

void FrontDaemon::OnStoreReachable(bool reachable, absl::string_view reason) {
  context_.log.Write(loop_.Now(), reachable ? "store_regained" : "store_lost",
                     {{"why", reason}, {"revision", store_.revision().number}});
}

void FrontDaemon::OnDigest(const PeerDigest& digest, const Endpoint& from) {
  context_.backends.SetPeerUse(digest.sender, digest.use);
  MergeCrashNews(digest.crashes, digest.sender);
  for (const auto& it : digest.changing) {
    context_.backends.SetChanging(it.first, loop_.Now() + it.second);
  }
  for (BackendNotice it : digest.notices) {
    // Spreads the retries of fronts that received the notice at the same time.
    it.left *= absl::Uniform(random_, 1.0, kMaxNoticeJitter);
    if (!context_.backends.ApplyNotice(it, loop_.Now())) continue;
    if (it.kind == BackendNotice::Kind::kUnreachable) {
      context_.suspects.ReportServerEnd(it.backend, loop_.Now());
    }
    context_.log.Write(loop_.Now(), "backend",
                       {{"backend", it.backend.value()},
                        {"change", NoticeChangeText(it.kind)},
                        {"peer", digest.sender},
                        {"left_ms", it.left}});
  }
  peer_copy_.OnDigest(digest, from);
  if (context_.scheduler.waiting() == 0) return;
  WakeScheduler(PeerUseJitter(absl::Uniform<uint64_t>(random_)));
}

void FrontDaemon::MergeCrashNews(const CrashUpdate& news,
                                 const std::string& source) {
  for (Fingerprint it : context_.suspects.MergeUpdate(news, loop_.Now())) {
    context_.log.Write(loop_.Now(), "break_heard",
                       {{"fingerprint", FingerprintText(it)},
                        {"source", source},
                        {"breaks", context_.suspects.CrashCount(it)}});
  }
}

void FrontDaemon::LogBlamed(const std::vector<BlamedParts>& blamed) {
  if (blamed.empty()) context_.log.Write(loop_.Now(), "parts_cleared", {});
  for (const BlamedParts& it : blamed) {
    std::vector<Fingerprint> parts(it.parts.begin(), it.parts.end());
    context_.log.Write(loop_.Now(), "parts_blamed",
                       {{"parts", FingerprintText(parts)},
                        {"breaks", it.crashes},
                        {"trusted", it.is_trusted}});
  }
}

void FrontDaemon::RecordStall(absl::Time now) {
  absl::Duration late = now - last_periodic_ - kPeriodicTaskInterval;
  last_periodic_ = now;
  if (late < kStallThreshold) return;
  ++context_.stats.stalls;
  context_.log.Write(now, "process_stalled", {{"late_ms", late}});
}

void FrontDaemon::RunPeriodicTasks() {
  absl::Time now = loop_.Now();
  RecordStall(now);
  for (const BackendName& it : context_.backends.RemoveExpired(now)) {
    context_.log.Write(now, "backend",
                       {{"backend", it.value()},
                        {"change", "removed: lapsed in a store outage"}});
    context_.suspects.ReportServerEnd(it, now);
    context_.stats.ForgetBackend(it.value());
  }
  AskEngines(now);
  peer_copy_.Tick();
  origins_.Tick();
  if (store_.is_reachable()) crash_records_.Tick();
  if (IsReady() && store_.is_reachable()) stages_.Tick();
  auto last_heard = [this](const BackendName& it) {
    const BackendState* backend = context_.backends.Find(it);
    return backend == nullptr ? absl::InfinitePast() : backend->last_alive;
  };
  context_.suspects.Settle(last_heard, now);
  context_.suspects.Prune(now);
  EndQuarantinedStreams(now);
  if (IsReady() != was_ready_) {
    was_ready_ = IsReady();
    context_.log.Write(now, "readiness", {{"ready", was_ready_}});
  }
  if (shutdown_) CheckShutdown();
}

void FrontDaemon::AskEngines(absl::Time now) {
  for (const BackendName& it : context_.scheduler.EnginesToAsk(now)) {
    CheckEngine(it);
  }
}

void FrontDaemon::CheckEngine(const BackendName& engine) {
  auto done = [this, engine](std::optional<int64_t> born_unix_ms) {
    absl::Time now = loop_.Now();
    if (!born_unix_ms) {
      context_.backends.ReportUnreachable(engine, now);
      return;
    }
    context_.backends.ReportStart(engine, *born_unix_ms);
    // An engine that answers may fail requests all the same.
    const BackendState* known = context_.backends.Find(engine);
    if (known == nullptr || !known->IsInDoubt()) return;
    context_.backends.ReportAlive(engine, now);
    context_.wake_scheduler();
  };
  start_queries_.Ask(engine, std::move(done));
}

void FrontDaemon::EndQuarantinedStreams(absl::Time now) {
  std::vector<StreamRelay*> quarantined;
  for (const auto& it : streams_) {
    const AdmittedRequest& admitted = it.second->admitted();
    if (context_.suspects.IsQuarantined(admitted.Content(), now)) {
      quarantined.push_back(it.second);
    }
  }
  for (StreamRelay* it : quarantined) it->OnQuarantined();
}

void FrontDaemon::ReloadSettings() {
  SettingsError error;
  std::string text = ReadFile(settings_file_);
  std::optional<FrontSettings> settings =
      LoadFrontSettings(settings_file_, error);
  if (!settings) {
    settings_text_ = text;
    context_.log.Write(loop_.Now(), "reload_failed", {{"reason", error.text}});
    return;
  }
  settings_text_ = text;
  // Listen addresses of a running process do not change.
  FrontSettings& current = context_.settings;
  current.seeds = settings->seeds;
  current.store = settings->store;
  current.shutdown_limit = settings->shutdown_limit;
  context_.quota.SetBounds(
      {settings->retry_ratio, settings->retry_slack, settings->retry_window});
  context_.accounts.SetTolerance({settings->account_window,
                                  settings->account_excess,
                                  settings->account_slack});
  peers_.SetSeeds(current.seeds);
  context_.log.Write(loop_.Now(), "reload",
                     {{"seeds", current.seeds}, {"store", current.store}});
}

}  // namespace chervilwick
