// Predictive routing and the baseline policies.

#include "chervilwick/routing/policy.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Costs in microseconds.
constexpr double kRemoteZoneCost = 2000;
constexpr double kTokenTimeWeight =
    16;  // tokens whose decode time is part of the cost
constexpr double kUtilizationCost = 10000;  // at full utilization
constexpr double kJitter =
    0.05;  // keeps entries from all choosing the same backend server
constexpr uint32_t kDefaultPrefillNsPerToken = 100000;

double ZoneCost(const Backend& backend, const RoutingRequest& request) {
  return backend.zone == request.zone ? 0 : kRemoteZoneCost;
}

double Jitter(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(1 - kJitter,
                                                1 + kJitter)(random);
}

absl::Duration FromMicroseconds(double count) {
  return absl::Nanoseconds(static_cast<int64_t>(count * 1000));
}

// Age of the load report. The waits predicted in it have shortened by this
// much.
double AgeMicroseconds(const Backend& backend, absl::Time now) {
  return absl::ToDoubleMicroseconds(now - backend.load_at);
}

double SlotWait(const Backend& backend, absl::Time now) {
  double used = backend.load.places_used + backend.unreported_places;
  if (used < backend.load.places_total) return 0;
  double remaining = backend.load.next_free_us - AgeMicroseconds(backend, now);
  // Each unreported dispatch takes one of the slots that become free.
  double per_slot = backend.load.next_free_us /
                    std::max<double>(1, backend.load.places_total);
  return std::max(0.0, remaining) + backend.unreported_places * per_slot;
}

double TokenTime(const Backend& backend) {
  return std::max<double>(backend.load.token_us, backend.token_us);
}

double PrefillWait(const Backend& backend, const RoutingRequest& request) {
  double ahead = request.priority == Priority::kUrgent
                     ? backend.load.urgent_queue_us
                     : backend.load.queue_us;
  double remaining = ahead - AgeMicroseconds(backend, request.now);
  return std::max(0.0, remaining) + backend.unreported_queue_us;
}

double UncachedTokens(const Backend& backend, const RoutingRequest& request) {
  double share = 0;
  if (request.index != nullptr && request.prefixes != nullptr) {
    share = request.index->Match(*request.prefixes, backend.name, request.now);
  }
  return request.prompt_tokens * (1 - share);
}

// Load by the latest report alone, without the entry's unreported dispatches.
double ReportedLoad(const Backend& backend) {
  return backend.load.places_used /
             std::max<double>(1, backend.load.places_total) +
         backend.load.queue_us / 1e6;
}

using Cost = std::function<double(const Backend&)>;

Backend* LowestCost(const std::vector<Backend*>& candidates, const Cost& cost) {
  Backend* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (Backend* it : candidates) {
    double value = cost(*it);
    if (value >= best_cost) continue;
    best = it;
    best_cost = value;
  }
  return best;
}

Backend* ChooseLeastReported(const std::vector<Backend*>& candidates) {
  return LowestCost(candidates, ReportedLoad);
}

Backend* ChooseOfTwo(const std::vector<Backend*>& candidates,
                     std::mt19937_64& random) {
  std::uniform_int_distribution<size_t> draw(0, candidates.size() - 1);
  Backend* a = candidates[draw(random)];
  Backend* b = candidates[draw(random)];
  return ReportedLoad(*a) <= ReportedLoad(*b) ? a : b;
}

// The baselines make the same choice for decode, prefill and plain calls.
Backend* ChooseBaseline(RoutingPolicy& policy,
                        const std::vector<Backend*>& candidates,
                        std::mt19937_64& random) {
  return std::visit(
      Overloaded{
          [](PredictivePolicy&) -> Backend* { return nullptr; },
          [&](RoundRobinPolicy& it) {
            return candidates[it.next++ % candidates.size()];
          },
          [&](LeastReportedPolicy&) { return ChooseLeastReported(candidates); },
          [&](TwoChoicesPolicy&) { return ChooseOfTwo(candidates, random); },
      },
      policy);
}

std::optional<RoutingChoice> MakeChoice(Backend* backend, double ready_us) {
  if (backend == nullptr) return std::nullopt;
  return RoutingChoice{backend, FromMicroseconds(ready_us)};
}

bool CanAcceptDecode(const Backend& backend, const RoutingRequest& request) {
  if (request.now < backend.avoid_until) return false;
  if (request.pieces > backend.load.pieces_total) return false;
  bool soon =
      FromMicroseconds(SlotWait(backend, request.now)) <= request.max_wait;
  bool preempts = request.may_preempt && backend.load.preemptible > 0;
  return soon || preempts;
}

}  // namespace

std::optional<RoutingPolicy> PolicyByName(std::string_view name) {
  if (name == "chervilwick") return PredictivePolicy{};
  if (name == "round-robin") return RoundRobinPolicy{};
  if (name == "least-reported") return LeastReportedPolicy{};
  if (name == "two-choices") return TwoChoicesPolicy{};
  return std::nullopt;
}

bool IsPredictive(const RoutingPolicy& policy) {
  return std::holds_alternative<PredictivePolicy>(policy);
}

absl::Duration PrefillTime(const Backend& backend, double tokens) {
  double speed = backend.load.prefill_ns_per_token == 0
                     ? kDefaultPrefillNsPerToken
                     : backend.load.prefill_ns_per_token;
  return FromMicroseconds(speed * tokens / 1000);
}

std::optional<RoutingChoice> ChooseDecode(
    RoutingPolicy& policy, const std::vector<Backend*>& candidates,
    const RoutingRequest& request, std::mt19937_64& random) {
  if (candidates.empty()) return std::nullopt;
  if (!IsPredictive(policy)) {
    return MakeChoice(ChooseBaseline(policy, candidates, random), 0);
  }
  Backend* best = LowestCost(candidates, [&](const Backend& it) {
    if (!CanAcceptDecode(it, request)) {
      return std::numeric_limits<double>::infinity();
    }
    double used = it.load.places_used + it.unreported_places;
    double utilization = used / std::max<double>(1, it.load.places_total);
    double cost = SlotWait(it, request.now) + TokenTime(it) * kTokenTimeWeight +
                  utilization * kUtilizationCost + ZoneCost(it, request);
    return cost * Jitter(random);
  });
  if (best == nullptr) return std::nullopt;
  return MakeChoice(best, SlotWait(*best, request.now));
}

std::optional<RoutingChoice> ChoosePrefill(
    RoutingPolicy& policy, const std::vector<Backend*>& candidates,
    const RoutingRequest& request, std::mt19937_64& random) {
  if (candidates.empty()) return std::nullopt;
  auto completion_us = [&](const Backend& it) {
    absl::Duration work = PrefillTime(it, UncachedTokens(it, request));
    return PrefillWait(it, request) + absl::ToDoubleMicroseconds(work);
  };
  if (!IsPredictive(policy)) {
    Backend* chosen = ChooseBaseline(policy, candidates, random);
    return MakeChoice(chosen, completion_us(*chosen));
  }
  Backend* best = LowestCost(candidates, [&](const Backend& it) {
    if (request.now < it.avoid_until) {
      return std::numeric_limits<double>::infinity();
    }
    return (completion_us(it) + ZoneCost(it, request)) * Jitter(random);
  });
  if (best == nullptr) return std::nullopt;
  return MakeChoice(best, completion_us(*best));
}

std::optional<RoutingChoice> ChoosePlain(
    RoutingPolicy& policy, const std::vector<Backend*>& candidates,
    const RoutingRequest& request, std::mt19937_64& random) {
  if (candidates.empty()) return std::nullopt;
  if (!IsPredictive(policy)) {
    return MakeChoice(ChooseBaseline(policy, candidates, random), 0);
  }
  Backend* best = LowestCost(candidates, [&](const Backend& it) {
    if (request.now < it.avoid_until) {
      return std::numeric_limits<double>::infinity();
    }
    double used = it.load.places_used + it.unreported_places;
    double utilization = used / std::max<double>(1, it.load.places_total);
    return (utilization * kUtilizationCost + ZoneCost(it, request)) *
               Jitter(random) +
           Jitter(random);
  });
  return MakeChoice(best, 0);
}

}  // namespace chervilwick
