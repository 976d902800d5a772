// Orders that change what engines do.

#include "chervilwick/front/stage_keeper.h"

#include <memory>
#include <utility>

#include "chervilwick/front/store_call.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kLeaseTime = absl::Seconds(12);
// The lease counts as over that much before it lapses.
constexpr absl::Duration kLeaseMargin = absl::Seconds(5);
constexpr absl::Duration kRenewAfter = absl::Seconds(3);
// Orders of two holders must not meet; a lapsed or revoked key of another
// holder may have been used until a moment ago.
constexpr absl::Duration kSettleTime = absl::Milliseconds(3500);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kRetryTime = absl::Seconds(4);
// An order without an answer may be carried out that much later.
constexpr absl::Duration kOrderPatience = absl::Seconds(15);
// Added to the time of a change for work that still runs.
constexpr absl::Duration kChangeMargin = absl::Milliseconds(500);
constexpr int kOk = 200;

}  // namespace

StageKeeper::StageKeeper(FrontContext& context,
                         std::function<std::set<ServiceName>()> services)
    : context_(context),
      services_(std::move(services)),
      timeout_(context.loop, [this] { GiveUp("no answer from the store"); }) {}

void StageKeeper::OnHolder(const std::optional<std::string>& holder) {
  holder_ = holder;
  if (state_ == State::kHolding && holder != context_.settings.name) {
    GiveUp("the key is no longer held");
  }
}

std::optional<StageChange> StageKeeper::NextChange() const {
  for (const ServiceName& it : services_()) {
    std::optional<StageChange> change =
        PlanStage(context_.backends, it, StageDemand());
    if (!change) continue;
    auto ordered = ordered_.find(change->backend);
    bool is_open = ordered != ordered_.end() &&
                   context_.boot_time() - ordered->second < kOrderPatience;
    if (!is_open) return change;
  }
  return std::nullopt;
}

void StageKeeper::Tick() {
  absl::Time now = context_.boot_time();
  if (state_ == State::kHolding) {
    if (now >= lease_ends_) {
      GiveUp("lease over");
      return;
    }
    if (now - lease_sent_ > kRenewAfter && NextChange()) Renew();
    if (now >= may_order_at_) OrderNext();
    return;
  }
  if (state_ != State::kIdle || now < next_try_ || holder_) return;
  if (!NextChange()) return;
  Lease();
}

void StageKeeper::Lease() {
  state_ = State::kLeasing;
  // Fronts that start together don't all ask.
  next_try_ =
      context_.boot_time() + kRetryTime * absl::Uniform(random_, 1.0, 2.0);
  lease_sent_ = context_.boot_time();
  timeout_.Arm(kCallTimeout);
  CallStore(context_, context_.protocol.GrantLease(kLeaseTime), kCallTimeout,
            [this](int status, const std::string& body) {
              if (state_ != State::kLeasing) return;
              std::optional<std::string> lease =
                  context_.protocol.ReadLease(body);
              if (status != kOk || !lease || holder_) {
                GiveUp("no lease");
                return;
              }
              Claim(*lease);
            });
}

void StageKeeper::Claim(const std::string& lease) {
  state_ = State::kClaiming;
  lease_ = lease;
  timeout_.Arm(kCallTimeout);
  CallStore(
      context_, context_.protocol.ClaimStageDuty(context_.settings.name, lease),
      kCallTimeout, [this](int status, const std::string& body) {
        if (state_ != State::kClaiming) return;
        std::optional<uint64_t> revision = context_.protocol.ReadRevision(body);
        if (status != kOk || !revision) {
          GiveUp("another front holds the key");
          return;
        }
        timeout_.Cancel();
        state_ = State::kHolding;
        fence_ = *revision;
        lease_ends_ = lease_sent_ + kLeaseTime - kLeaseMargin;
        may_order_at_ = context_.boot_time() + kSettleTime;
        context_.log.Write(context_.loop.Now(), "stage_duty",
                           {{"held", true}, {"fence", fence_}});
      });
}

void StageKeeper::Renew() {
  if (renewing_) return;
  renewing_ = true;
  absl::Time sent = context_.boot_time();
  CallStore(context_, context_.protocol.KeepLease(lease_), kCallTimeout,
            [this, sent](int status, const std::string& /*body*/) {
              renewing_ = false;
              if (state_ != State::kHolding) return;
              if (status != kOk) {
                GiveUp("lease not renewed");
                return;
              }
              lease_sent_ = sent;
              lease_ends_ = sent + kLeaseTime - kLeaseMargin;
            });
}

void StageKeeper::OrderNext() {
  std::optional<StageChange> change = NextChange();
  if (!change) return;
  const BackendState* backend = context_.backends.Find(change->backend);
  if (backend->quiet_until > context_.loop.Now()) return;
  ordered_[change->backend] = context_.boot_time();
  const EngineTraits* traits = context_.engine_traits(backend->record.service);
  absl::Duration change_time =
      traits == nullptr ? EngineTraits().change_time : traits->change_time;
  context_.backends.SetChanging(
      change->backend, context_.loop.Now() + change_time + kChangeMargin);
  BackendName id = change->backend;
  context_.log.Write(context_.loop.Now(), "stage_order",
                     {{"backend", id.value()}, {"fence", fence_}});
  auto status = std::make_shared<int>(0);
  CallOptions options;
  options.timeout = kCallTimeout;
  context_.client.Start(
      backend->record.endpoint,
      context_.protocol.StageOrder(id, change->stage, context_.settings.name,
                                   fence_),
      options, [this, status, id](CallEvent event) {
        if (auto* head = std::get_if<HttpHead>(&event)) *status = head->status;
        bool is_end = std::holds_alternative<HttpEnd>(event) ||
                      std::holds_alternative<CallFailure>(event);
        if (!is_end) return;
        context_.log.Write(context_.loop.Now(), "stage_order_answered",
                           {{"backend", id.value()}, {"status", *status}});
      });
}

void StageKeeper::GiveUp(const char* why) {
  timeout_.Cancel();
  if (state_ == State::kHolding) {
    context_.log.Write(context_.loop.Now(), "stage_duty",
                       {{"held", false}, {"why", why}});
  }
  state_ = State::kIdle;
  renewing_ = false;
  next_try_ = std::max(next_try_, context_.boot_time() + kRetryTime);
}

}  // namespace chervilwick
