#include "chervilwick/front/stage_keeper.h"

#include <memory>
#include <utility>

#include "chervilwick/front/store_call.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kLeaseTime = absl::Seconds(12);
// The front stops sending orders this long before its lease expires.
constexpr absl::Duration kLeaseMargin = absl::Seconds(5);
constexpr absl::Duration kRenewInterval = absl::Seconds(3);
// Delay between taking the key and the first order, so that orders of two
// holders can't overlap: the previous holder may have sent orders until just
// before its key expired or was revoked.
constexpr absl::Duration kTakeoverDelay = absl::Milliseconds(3500);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kRetryInterval = absl::Seconds(4);
// An engine is not ordered again for this long: an order that got no response
// may still take effect.
constexpr absl::Duration kOrderTimeout = absl::Seconds(15);
// Added to the time that a stage change takes, for requests that are still
// running.
constexpr absl::Duration kChangeMargin = absl::Milliseconds(500);
constexpr int kOk = 200;

}  // namespace

StageController::StageController(
    FrontContext& context, std::function<std::set<ServiceName>()> services)
    : context_(context),
      services_(std::move(services)),
      timeout_(context.loop, [this] { StepDown("store did not respond"); }) {}

void StageController::OnHolder(const std::optional<std::string>& holder) {
  holder_ = holder;
  if (state_ == State::kHolding && holder != context_.settings.name) {
    StepDown("key held by another front or deleted");
  }
}

void StageController::OnStoreReturned() {
  holder_.reset();
  lost_lease_ends_ = context_.boot_time() + kLeaseTime - kLeaseMargin;
  if (state_ != State::kIdle) StepDown("store returned from a copy");
  // Keeps all fronts from asking together.
  next_attempt_ = std::max(
      next_attempt_,
      context_.boot_time() + kRetryInterval * absl::Uniform(random_, 0.0, 1.0));
}

std::optional<StageChange> StageController::NextChange() const {
  for (const ServiceName& it : services_()) {
    std::optional<StageChange> change =
        PlanStage(context_.backends, it, StageDemand());
    if (!change) continue;
    auto ordered = orders_sent_.find(change->backend);
    bool is_pending = ordered != orders_sent_.end() &&
                      context_.boot_time() - ordered->second < kOrderTimeout;
    if (!is_pending) return change;
  }
  return std::nullopt;
}

void StageController::Tick() {
  absl::Time now = context_.boot_time();
  if (state_ == State::kHolding) {
    if (now >= lease_ends_) {
      StepDown("lease over");
      return;
    }
    if (now - lease_sent_ > kRenewInterval && NextChange()) RenewLease();
    if (now >= orders_allowed_at_) SendNextOrder();
    return;
  }
  if (state_ != State::kIdle || now < next_attempt_ || holder_) return;
  if (!NextChange()) return;
  RequestLease();
}

void StageController::RequestLease() {
  state_ = State::kLeasing;
  // The random delay keeps fronts that started together from asking together.
  next_attempt_ =
      context_.boot_time() + kRetryInterval * absl::Uniform(random_, 1.0, 2.0);
  lease_sent_ = context_.boot_time();
  timeout_.Arm(kCallTimeout);
  CallStore(context_, context_.protocol.GrantLease(kLeaseTime), kCallTimeout,
            [this](const StoreAnswer& answer) {
              if (state_ != State::kLeasing) return;
              std::optional<std::string> lease =
                  context_.protocol.ParseLease(answer.body);
              if (answer.status != kOk || !lease || holder_) {
                StepDown("store granted no lease");
                return;
              }
              lease_era_ = answer.era;
              ClaimKey(*lease);
            });
}

void StageController::ClaimKey(const std::string& lease) {
  state_ = State::kClaiming;
  lease_ = lease;
  timeout_.Arm(kCallTimeout);
  CallStore(
      context_, context_.protocol.ClaimStageDuty(context_.settings.name, lease),
      kCallTimeout, [this](const StoreAnswer& answer) {
        if (state_ != State::kClaiming) return;
        std::optional<uint64_t> revision =
            context_.protocol.ParseRevision(answer.body);
        if (answer.status != kOk || !revision || answer.era != lease_era_) {
          StepDown("key not claimed");
          return;
        }
        timeout_.Cancel();
        state_ = State::kHolding;
        fencing_token_ = StoreRevision{answer.era, *revision}.Packed();
        lease_ends_ = lease_sent_ + kLeaseTime - kLeaseMargin;
        orders_allowed_at_ =
            std::max(context_.boot_time(), lost_lease_ends_) + kTakeoverDelay;
        context_.log.Write(context_.loop.Now(), "stage_duty",
                           {{"held", true}, {"fence", fencing_token_}});
      });
}

void StageController::RenewLease() {
  if (is_renewing_) return;
  is_renewing_ = true;
  absl::Time sent = context_.boot_time();
  CallStore(context_, context_.protocol.RenewLease(lease_), kCallTimeout,
            [this, sent, lease = lease_](const StoreAnswer& answer) {
              // A suspended host takes the next lease within the time limit of
              // a call for the one before.
              if (lease != lease_) return;
              is_renewing_ = false;
              if (state_ != State::kHolding) return;
              if (answer.status != kOk || answer.era != lease_era_) {
                StepDown("store did not renew the lease");
                return;
              }
              lease_sent_ = sent;
              lease_ends_ = sent + kLeaseTime - kLeaseMargin;
            });
}

void StageController::SendNextOrder() {
  std::optional<StageChange> change = NextChange();
  if (!change) return;
  const BackendState* backend = context_.backends.Find(change->backend);
  if (backend->pause_ends_at > context_.loop.Now()) return;
  orders_sent_[change->backend] = context_.boot_time();
  const EngineTraits* traits = context_.engine_traits(backend->record.service);
  absl::Duration change_time = traits == nullptr
                                   ? EngineTraits().stage_change_time
                                   : traits->stage_change_time;
  context_.backends.SetChanging(
      change->backend, context_.loop.Now() + change_time + kChangeMargin);
  BackendName id = change->backend;
  context_.log.Write(context_.loop.Now(), "stage_order",
                     {{"backend", id.value()}, {"fence", fencing_token_}});
  auto status = std::make_shared<int>(0);
  CallOptions options;
  options.timeout = kCallTimeout;
  context_.client.Start(
      backend->record.endpoint,
      context_.protocol.StageOrder(id, change->stage, context_.settings.name,
                                   fencing_token_),
      options, [this, status, id](CallEvent event) {
        if (auto* head = std::get_if<HttpHead>(&event)) *status = head->status;
        bool is_end = std::holds_alternative<HttpEnd>(event) ||
                      std::holds_alternative<CallFailure>(event);
        if (!is_end) return;
        context_.log.Write(context_.loop.Now(), "stage_order_answered",
                           {{"backend", id.value()}, {"status", *status}});
      });
}

void StageController::StepDown(const char* reason) {
  timeout_.Cancel();
  if (state_ == State::kHolding) {
    context_.log.Write(context_.loop.Now(), "stage_duty",
                       {{"held", false}, {"why", reason}});
  }
  state_ = State::kIdle;
  is_renewing_ = false;
  next_attempt_ =
      std::max(next_attempt_, context_.boot_time() + kRetryInterval);
}

}  // namespace chervilwick
