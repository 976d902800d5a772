// Admits client requests and applies the decisions of the stream scheduler.

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/front/front_daemon.h"
#include "chervilwick/front/plain_relay.h"
#include "chervilwick/front/request_identity.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Retry-After while a starting front has no configuration yet: it usually
// arrives within this time.
constexpr absl::Duration kRetryAfterStart = absl::Milliseconds(400);
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
  if (status == 503) {
    response.fields.push_back(context_.protocol.RetryAfter(retry_after));
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

void FrontDaemon::OnRequest(ExchangeId id, const Endpoint& client,
                            HttpRequest request) {
  AdmittedRequest admitted;
  admitted.id = id;
  admitted.arrived = loop_.Now();
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
  if (route == nullptr) {
    Reject(id, facts, 404, "no_route");
    return;
  }
  admitted.route = *route;
  admitted.version = table_.version;
  admitted.service = PickService(*route, absl::Uniform<uint64_t>(random_));
  admitted.client = client;
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
  admitted.request = std::move(request);
  Admit(std::move(admitted));
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
