// Admits client requests and applies the decisions of the stream scheduler.

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/dispatch/retry_after.h"
#include "chervilwick/front/front_daemon.h"
#include "chervilwick/front/plain_relay.h"
#include "chervilwick/front/request_identity.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Retry-After while a starting front has no configuration yet: it usually
// arrives within this time.
constexpr absl::Duration kRetryAfterStart = absl::Milliseconds(400);
// Retry-After for a route that the version in force does not describe well
// enough: the next version may.
constexpr absl::Duration kRetryAfterUnusable = absl::Seconds(2);
// Times that a request waits until the peers know its account's use.
constexpr int kMaxHolds = 3;
// Retry-After while the store can't be asked about a key.
constexpr absl::Duration kRetryAfterStale = absl::Seconds(1);
// Retry-After of a stream that can't be taken up: the store may be away for a
// moment, and fronts write again what it has lost.
constexpr absl::Duration kRetryAfterOrigin = absl::Seconds(1);
// Interval at which a stream waits for a newer list of servers.
constexpr absl::Duration kListWait = absl::Milliseconds(100);

bool TakesUpStream(const RequestMetadata& facts) {
  return facts.last_event || facts.first_attempt;
}

}  // namespace

void FrontDaemon::Reject(ExchangeId id, const RequestMetadata& facts,
                         int status, absl::string_view reason,
                         absl::Duration retry_after) {
  HttpResponse response;
  response.status = status;
  if (!facts.request_id.empty()) {
    response.fields.push_back(
        context_.protocol.RequestIdField(facts.request_id));
  }
  if (status == 503 || status == 429) {
    response.fields.push_back(context_.protocol.RetryAfter(retry_after));
  }
  if (status == 401) {
    response.fields.push_back({"WWW-Authenticate", "Bearer"});
  }
  clients_.Respond(id, response);
  context_.stats.CountOutcome("-", absl::StrCat(reason));
  if (status == 503) ++context_.stats.refusals[{"-", absl::StrCat(reason)}];
  context_.log.Write(loop_.Now(), "request_rejected",
                     {{"id", facts.request_id},
                      {"status", status},
                      {"reason", reason},
                      {"version", table_.version.value()}});
}

void FrontDaemon::Hold(ArrivedRequest arrived, absl::Duration delay) {
  ++arrived.holds;
  ExchangeId id = arrived.id;
  held_.emplace(id, std::move(arrived));
  if (held_.size() == 1) held_timer_.Arm(delay);
}

void FrontDaemon::ReleaseHeld() {
  // Some may be held again.
  std::map<ExchangeId, ArrivedRequest> due = std::move(held_);
  held_.clear();
  for (auto& it : due) OnRequest(std::move(it.second));
}

bool FrontDaemon::ResolveOrigin(ArrivedRequest& arrived,
                                AdmittedRequest& admitted) {
  auto reject = [&](absl::string_view reason) {
    Reject(admitted.id, admitted.facts, 503, reason,
           JitteredRetryAfter(kRetryAfterOrigin, admitted.id.value()));
    return false;
  };
  const std::optional<std::string>& attempt = admitted.facts.first_attempt;
  if (!attempt) {
    // Older clients name none.
    admitted.service =
        PickService(admitted.route, absl::Uniform<uint64_t>(random_));
    std::optional<SoftwareVersion> only =
        context_.scheduler.OnlyVersion(admitted.service);
    if (!only) return reject("origin_not_named");
    admitted.origin = {"", admitted.service, *only};
    return true;
  }
  admitted.origin = origins_.Find(*attempt);
  if (!admitted.origin) {
    if (arrived.is_origin_read) return reject("origin_unknown");
    ReadOrigin(*attempt, std::move(arrived));
    return false;
  }
  const StreamOrigin& origin = *admitted.origin;
  const std::vector<WeightedService>& services = admitted.route.services;
  bool is_routed = std::any_of(
      services.begin(), services.end(),
      [&](const WeightedService& it) { return it.service == origin.service; });
  if (!is_routed) return reject("origin_service_gone");
  admitted.service = origin.service;
  if (context_.scheduler.IsVersionServed(origin.service, origin.software,
                                         loop_.Now())) {
    return true;
  }
  // The list of servers may be older than the stream.
  if (store_.last_answer() < arrived.arrived && arrived.holds < kMaxHolds) {
    peer_copy_.Request();
    Hold(std::move(arrived), kListWait);
    return false;
  }
  return reject(ReasonText(StreamRefusalReason::kVersionGone));
}

void FrontDaemon::ReadOrigin(const std::string& attempt,
                             ArrivedRequest arrived) {
  ExchangeId id = arrived.id;
  arrived.is_origin_read = true;
  awaiting_origin_.emplace(id, std::move(arrived));
  origins_.Read(attempt, store_.is_reachable(), [this, id] {
    auto it = awaiting_origin_.find(id);
    if (it == awaiting_origin_.end()) return;  // the client has left
    ArrivedRequest again = std::move(it->second);
    awaiting_origin_.erase(it);
    OnRequest(std::move(again));
  });
}

void FrontDaemon::OnClientGone(ExchangeId id) {
  held_.erase(id);
  awaiting_origin_.erase(id);
  auto it = relays_.find(id);
  if (it != relays_.end()) it->second->OnClientGone();
}

void FrontDaemon::OnRequest(ArrivedRequest arrived) {
  ExchangeId id = arrived.id;
  HttpRequest& request = arrived.request;
  AdmittedRequest admitted;
  admitted.id = id;
  admitted.arrived = arrived.arrived;
  admitted.facts = context_.protocol.ParseRequest(request.head);
  const RequestMetadata& facts = admitted.facts;
  if (!store_.has_table()) {
    Reject(id, facts, 503, "no_configuration", kRetryAfterStart);
    return;
  }
  if (facts.request_id.empty()) {
    Reject(id, facts, 400, "no_request_id");
    return;
  }
  const Route* route =
      table_.Match(request.head.Get("Host"), request.head.target);
  if (route == nullptr && !table_.has_unknown_routes) {
    Reject(id, facts, 404, "no_route");
    return;
  }
  if (route == nullptr || route->services.empty()) {
    Reject(id, facts, 503, "route_unusable", kRetryAfterUnusable);
    return;
  }
  admitted.route = *route;
  admitted.priority = route->priority;
  if (RejectWithoutAccount(request.head, admitted)) return;
  admitted.version = table_.version;
  if (route->kind == RouteKind::kStream && TakesUpStream(facts)) {
    if (!ResolveOrigin(arrived, admitted)) return;
  } else {
    admitted.service = PickService(*route, absl::Uniform<uint64_t>(random_));
  }
  admitted.reserves_place = table_.ReservesPlaces(admitted.service);
  if (table_.HasCompetition()) {
    admitted.spent_before = context_.deadlines.SpentBefore(
        admitted.route, facts.deadline, admitted.arrived);
  }
  admitted.client = arrived.client;
  admitted.fingerprint = WorkFingerprint(request);
  admitted.parts = PartFingerprints(facts.shared_parts);
  absl::Duration quarantine =
      context_.suspects.QuarantineLeft(admitted.Content(), admitted.arrived);
  if (quarantine > absl::ZeroDuration()) {
    if (!context_.suspects.BeginTrial(admitted.Content(), admitted.arrived)) {
      ++context_.stats.quarantined;
      Reject(
          id, facts, 503, "quarantined",
          context_.suspects.RetryAfter(admitted.Content(), admitted.arrived));
      return;
    }
    admitted.is_trial = true;
    context_.log.Write(
        loop_.Now(), "trial",
        {{"id", facts.request_id},
         {"fingerprint", FingerprintText(admitted.fingerprint)}});
  }
  if (RefuseIfTooLate(admitted)) return;
  AccountVerdict verdict = TakeFromCap(admitted, arrived.holds < kMaxHolds);
  if (verdict.outcome == AccountVerdict::Outcome::kWait) {
    Hold(std::move(arrived), verdict.retry_after);
  }
  if (!verdict.IsAdmitted()) return;
  admitted.request = std::move(request);
  Admit(std::move(admitted));
}

bool FrontDaemon::RejectWithoutAccount(const HttpHead& head,
                                       AdmittedRequest& admitted) {
  // Kept even where no account asks for them: a later version may.
  admitted.credentials = context_.protocol.ParseCredentials(head);
  const Credentials& credentials = admitted.credentials;
  Authorization granted =
      table_.Authorize(credentials, admitted.route.is_public);
  admitted.account = granted.account;
  admitted.priority = granted.priority.value_or(admitted.priority);
  if (granted.is_allowed) return false;
  if (credentials.kind != Credentials::Kind::kKey) {
    Reject(admitted.id, admitted.facts, 401,
           credentials.kind == Credentials::Kind::kNone
               ? "no_credentials"
               : "malformed_credentials");
  } else if (!store_.is_reachable()) {
    // The key may have been added since the last answer of the store.
    Reject(admitted.id, admitted.facts, 503, "key_not_known_yet",
           kRetryAfterStale);
  } else {
    Reject(admitted.id, admitted.facts, 401, "unknown_key");
  }
  return true;
}

AccountVerdict FrontDaemon::TakeFromCap(AdmittedRequest& admitted,
                                        bool may_wait) {
  // Requests that need no key don't take from a cap.
  if (!table_.accounts || admitted.route.is_public) return {};
  const ClientAccount* account =
      table_.accounts->FindByKey(admitted.credentials.key);
  int64_t cost = account->cap.CostOf(admitted.facts.TotalTokens());
  AccountVerdict verdict =
      context_.accounts.TryTake(account->name, cost, loop_.Now());
  AccountStats& stats = context_.stats.OfAccount(account->name.value());
  if (verdict.IsAdmitted()) {
    admitted.charge = verdict.charge;
    ++stats.admitted;
    return verdict;
  }
  if (verdict.outcome == AccountVerdict::Outcome::kWait) {
    ++stats.waits;
    if (may_wait) return verdict;
    verdict.outcome = AccountVerdict::Outcome::kRefused;
  }
  ++stats.refusals["over_cap"];
  context_.log.Write(loop_.Now(), "account_over_cap",
                     {{"id", admitted.facts.request_id},
                      {"account", account->name.value()},
                      {"cost", cost},
                      {"left", verdict.left},
                      {"rate", static_cast<int64_t>(account->cap.rate_per_s)},
                      {"retry_ms", verdict.retry_after}});
  Reject(admitted.id, admitted.facts, 429, "over_cap",
         JitteredRetryAfter(verdict.retry_after, admitted.id.value()));
  return verdict;
}

void FrontDaemon::Admit(AdmittedRequest admitted) {
  ExchangeId id = admitted.id;
  context_.quota.OnRequest(admitted.service, admitted.arrived);
  auto finished = [this](ExchangeId done) {
    auto it = relays_.find(done);
    if (it == relays_.end()) return;
    loop_.DeferDelete(std::move(it->second));
    relays_.erase(it);
    streams_.erase(done);
  };
  Relay* started = nullptr;
  if (admitted.route.kind == RouteKind::kStream) {
    auto relay =
        std::make_unique<StreamRelay>(context_, std::move(admitted), finished);
    streams_[id] = relay.get();
    started = relay.get();
    relays_[id] = std::move(relay);
  } else {
    auto relay =
        std::make_unique<PlainRelay>(context_, std::move(admitted), finished);
    started = relay.get();
    relays_[id] = std::move(relay);
  }
  started->Start();
}

void FrontDaemon::WakeScheduler(absl::Duration delay) {
  absl::Time due = loop_.Now() + delay;
  if (scheduler_due_ <= due) return;
  scheduler_due_ = due;
  scheduler_wake_.Arm(delay);
}

void FrontDaemon::RunScheduler() {
  scheduler_due_ = absl::InfiniteFuture();
  std::vector<StreamDecision> decisions =
      context_.scheduler.Decide(loop_.Now());
  for (const StreamDecision& decision : decisions) {
    std::visit(Overloaded{
                   [this](const StreamPlacement& it) {
                     auto stream = streams_.find(it.id);
                     if (stream != streams_.end()) {
                       stream->second->OnPlaced(it);
                       return;
                     }
                     context_.scheduler.ReleasePrompt(it);
                     context_.scheduler.ReleaseDecode(it);
                   },
                   [this](const StreamRefusal& it) {
                     auto stream = streams_.find(it.id);
                     if (stream != streams_.end()) {
                       stream->second->OnRefused(it);
                     }
                   },
               },
               decision);
  }
  if (!decisions.empty()) peers_.AnnounceUse();
  if (context_.scheduler.waiting() > 0) {
    WakeScheduler(StreamScheduler::kSchedulingInterval);
  }
}

}  // namespace chervilwick
