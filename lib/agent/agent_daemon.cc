// Event loop, status polling and HTTP endpoints of an agent process.

#include "chervilwick/agent/agent_daemon.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "chervilwick/net/http_target.h"
#include "chervilwick/support/overloaded.h"
#include "chervilwick/support/random_seed.h"
#include "chervilwick/telemetry/log.h"
#include "chervilwick/telemetry/metrics.h"

namespace chervilwick {
namespace {

constexpr size_t kEventCapacity = 65536;
constexpr size_t kOrderCapacity = 4;
constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
constexpr absl::Duration kPopTimeout = absl::Milliseconds(200);
constexpr absl::Duration kStatusInterval = absl::Milliseconds(500);
// For operators and metrics scrapers only; clients connect to entries.
constexpr size_t kHttpConnections = 64;

Engine MakeEngine(const AgentSettings& settings) {
  if (settings.backend_kind == EngineKind::kPlain) {
    return PlainEngine{settings.backend_address};
  }
  return VllmEngine{settings.backend_address, settings.checks_fencing};
}

AgentOptions MakeOptions(const AgentSettings& settings,
                         Incarnation incarnation) {
  AgentOptions options;
  options.name = NodeName(settings.name);
  options.incarnation = incarnation;
  options.zone = ZoneName(settings.zone);
  options.backend = BackendName(settings.backend_name);
  options.decode_places = settings.places;
  options.plain_places = settings.places;
  options.prefill_places = settings.prefill_places;
  options.pieces = settings.memory_pieces;
  return options;
}

TransportIdentity MakeIdentity(const AgentSettings& settings,
                               Incarnation incarnation) {
  TransportIdentity identity;
  identity.name = NodeName(settings.name);
  identity.incarnation = incarnation;
  identity.hello.role = NodeRole::kAgent;
  identity.hello.zone = ZoneName(settings.zone);
  identity.hello.address = settings.listen;
  identity.hello.backend = BackendName(settings.backend_name);
  return identity;
}

MetricSample Counter(const std::string& name, const std::string& help,
                     uint64_t value) {
  return {"chervilwick_agent_" + name,
          help,
          MetricType::kCounter,
          static_cast<double>(value),
          {}};
}

MetricSample Gauge(const std::string& name, const std::string& help,
                   double value) {
  return {"chervilwick_agent_" + name, help, MetricType::kGauge, value, {}};
}

}  // namespace

AgentDaemon::AgentDaemon(AgentSettings settings)
    : settings_(std::move(settings)),
      incarnation_(DrawNonZero()),
      engine_(MakeEngine(settings_)),
      events_(kEventCapacity),
      orders_(kOrderCapacity),
      core_(MakeOptions(settings_, incarnation_)) {
  timers_ = kernel_.Register("timers", std::make_unique<TimerService>());
  spans_ =
      kernel_.Register("spans", std::make_unique<SpanRecorder>(settings_.name));
  transport_ = kernel_.Register(
      "transport", std::make_unique<Transport>(
                       MakeIdentity(settings_, incarnation_), settings_.listen,
                       [this](Envelope envelope) {
                         Post(AgentMessageReceived{std::move(envelope)});
                       }));
  size_t threads = settings_.places + settings_.prefill_places;
  work_ = kernel_.Register(
      "work",
      std::make_unique<WorkPool>(
          engine_, threads, [this](EngineTokens it) { Post(std::move(it)); },
          [this](EngineFinished it) { Post(std::move(it)); }));
  HttpServerLimits limits;
  limits.max_connections = kHttpConnections;
  EventHttpServer::Handlers handlers;
  handlers.on_request = [this](ExchangeId id, const Endpoint& /*client*/,
                               const HttpRequest& request) {
    OnHttpRequest(id, request);
  };
  handlers.on_client_gone = [](ExchangeId) {};
  http_ = kernel_.Register("http",
                           std::make_unique<HttpService>(settings_.http, limits,
                                                         std::move(handlers)));
  timers_->Subscribe(kTickInterval,
                     [this](absl::Time) { events_.TryPush(AgentTick{}); });
}

AgentDaemon::~AgentDaemon() { Stop(); }

std::optional<std::string> AgentDaemon::Start() {
  if (auto problem = transport_->Bind()) return problem;
  if (auto problem = http_->Bind()) return problem;
  core_duty_.Start("core", [this] { CoreLoop(); });
  status_duty_.Start("engine-status", [this] { StatusLoop(); });
  kernel_.StartAll();
  LogState("started",
           {{"backend", settings_.backend_name}, {"listen", settings_.listen}});
  return std::nullopt;
}

void AgentDaemon::RequestStop() {
  LogState("stopping", {});
  Post(AgentStopRequested{});
}

bool AgentDaemon::WaitUntilDrained() {
  MutexLock lock(&state_mutex_);
  return state_changed_.WaitFor(state_mutex_, settings_.shutdown_limit,
                                [this] { return drained_; });
}

void AgentDaemon::Stop() {
  if (stopping_.exchange(true)) return;
  kernel_.StopAll();
  events_.Close();
  orders_.Close();
  core_duty_.Join();
  status_duty_.Join();
}

void AgentDaemon::Post(AgentEvent event) { events_.Push(std::move(event)); }

void AgentDaemon::CoreLoop() {
  while (!events_.IsClosed()) {
    std::optional<AgentEvent> event = events_.Pop(kPopTimeout);
    if (!event) continue;
    std::vector<AgentAction> actions;
    {
      MutexLock lock(&core_mutex_);
      VersionNumber before = core_.config().number();
      actions = core_.Handle(*event, absl::Now());
      if (core_.config().number() != before) {
        LogState("version_in_force",
                 {{"number", absl::StrCat(core_.config().number().value())}});
      }
    }
    for (AgentAction& it : actions) Perform(std::move(it));
  }
}

void AgentDaemon::Perform(AgentAction action) {
  std::visit(Overloaded{
                 [&](SendMessage& it) {
                   VersionNumber version;
                   {
                     MutexLock lock(&core_mutex_);
                     version = core_.config().number();
                   }
                   transport_->Send(it.to, version, std::move(it.message));
                 },
                 [&](RunWork& it) { work_->Run(std::move(it.start)); },
                 [&](CancelWork& it) { work_->Cancel(it.attempt); },
                 [&](SendEngineOrder& it) {
                   LogState("engine_order",
                            {{"weights", it.order.weights},
                             {"fence", absl::StrCat(it.order.fence)}});
                   if (!orders_.TryPush(it.order)) Post(EngineOrderDone{false});
                 },
                 [&](SpanEnded& it) { spans_->Record(it); },
                 [&](AgentDrained&) {
                   LogState("drained", {});
                   MutexLock lock(&state_mutex_);
                   drained_ = true;
                   state_changed_.NotifyAll();
                 },
             },
             action);
}

// Polls the engine's status and executes engine orders; reports the status when
// it changes and after each order.
void AgentDaemon::StatusLoop() {
  std::optional<EngineStatus> known;
  while (!orders_.IsClosed()) {
    EngineStatus status = ReadEngineStatus(engine_);
    if (!known || !(*known == status)) {
      LogState("engine_status",
               {{"up", status.up ? "yes" : "no"}, {"weights", status.weights}});
      known = status;
      Post(EngineStatusChanged{status});
    }
    std::optional<EngineOrder> order = orders_.Pop(kStatusInterval);
    if (!order) continue;
    bool ok = SendOrder(engine_, *order);
    if (!ok) {
      LogProblem("engine_order_failed",
                 {{"fence", absl::StrCat(order->fence)}});
    }
    known = ReadEngineStatus(engine_);
    Post(EngineStatusChanged{*known});
    Post(EngineOrderDone{ok});
  }
}

std::string AgentDaemon::NotReadyReason() {
  MutexLock lock(&core_mutex_);
  LoadReport load = core_.Load(absl::Now());
  if (load.leaving) return "leaving";
  if (load.ready) return "";
  return "engine is not in the state that the version in force wants";
}

void AgentDaemon::OnHttpRequest(ExchangeId id, const HttpRequest& request) {
  HttpTarget target = HttpTarget::Parse(request.head.target);
  HttpResponse answer{200, {{"Content-Type", "text/plain"}}, ""};
  if (request.head.method != "GET") {
    answer.status = 405;
  } else if (target.path == "/healthz") {
    answer.body = "ok\n";
  } else if (target.path == "/readyz") {
    std::string reason = NotReadyReason();
    if (!reason.empty()) answer.status = 503;
    answer.body = reason.empty() ? "ready\n" : reason + "\n";
  } else if (target.path == "/metrics") {
    answer.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
    answer.body = RenderAgentMetrics();
  } else if (target.path == "/admin/traces") {
    answer.fields = {{"Content-Type", "application/json"}};
    answer.body = spans_->ExportJson(target.Param("id"));
  } else {
    answer.status = 404;
  }
  http_->server().Respond(id, answer);
}

std::string AgentDaemon::RenderAgentMetrics() {
  AgentStats stats;
  LoadReport load;
  uint64_t version = 0;
  {
    MutexLock lock(&core_mutex_);
    stats = core_.stats();
    load = core_.Load(absl::Now());
    version = core_.config().number().value();
  }
  const TransportStats& wire = transport_->stats();
  return RenderMetrics({
      Counter("started_total", "Attempts started on the engine", stats.started),
      Counter("finished_total", "Attempts that ended", stats.finished),
      Counter("refused_total", "Attempts refused as not run", stats.refused),
      Counter("refused_stale_version_total",
              "Attempts refused because their version was superseded",
              stats.refused_stale_version),
      Counter("cancelled_total", "Attempts cancelled", stats.cancelled),
      Counter("preempted_total", "Batch attempts stopped for urgent ones",
              stats.preempted),
      Counter("lease_expired_total", "Attempts whose caller went away",
              stats.lease_expired),
      Counter("reservations_expired_total", "Places held and not used",
              stats.reservations_expired),
      Counter("engine_crashes_total", "Crashes of the engine", stats.crashes),
      Counter("wire_bytes_sent_total", "Bytes sent to entries",
              wire.bytes_sent),
      Counter("wire_bytes_received_total", "Bytes received from entries",
              wire.bytes_received),
      Counter("wire_frames_dropped_total", "Frames that could not be sent",
              wire.frames_dropped),
      Counter("wire_silent_connections_total",
              "Connections replaced because they went silent",
              wire.silent_connections),
      Gauge("version", "Configuration version in force",
            static_cast<double>(version)),
      Gauge("places_used", "Places running and reserved", load.places_used),
      Gauge("pieces_used", "Pieces of engine memory held", load.pieces_used),
      Gauge("token_seconds", "Recent time per token", load.token_us / 1e6),
      Gauge("ready", "Whether new work is taken",
            load.ready && !load.leaving ? 1 : 0),
  });
}

}  // namespace chervilwick
