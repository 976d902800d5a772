// What clients ask for in a day.

#include "demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilwick {
namespace {

// Highest multiple of the mean demand that is drawn from.
constexpr double kMaxFactor = 8;
// Mean of 2^x for x uniform over [-1, 1], by which sizes vary.
constexpr double kMeanOfPower = 1.082;
// Clients guess their answer's length within a fifth.
constexpr double kLowestGuess = 0.8;
constexpr double kGuessSpread = 0.4;

}  // namespace

Demand::Demand(const DayOptions& options, EventQueue& queue, Handler on_request)
    : options_(options),
      queue_(queue),
      on_request_(std::move(on_request)),
      random_(options.seed) {}

void Demand::Start() {
  start_ = queue_.now();
  NextArrival();
}

double Demand::FactorAt(absl::Duration at) const {
  double factor = 1;
  for (const DemandSurge& it : options_.surges) {
    if (at < it.start || at > it.start + it.length) continue;
    double risen = std::min(1.0, absl::FDivDuration(at - it.start, it.rise));
    factor *= 1 + (it.factor - 1) * risen;
  }
  return std::min(factor, kMaxFactor);
}

absl::Duration Demand::ToNextBatch(absl::Duration at) const {
  if (options_.arrival_interval == absl::ZeroDuration()) {
    return absl::ZeroDuration();
  }
  return options_.arrival_interval - at % options_.arrival_interval;
}

double Demand::Draw() {
  return std::uniform_real_distribution<double>()(random_);
}

void Demand::NextArrival() {
  // Thinning: candidates come at the highest rate, and some are taken.
  std::exponential_distribution<double> wait(options_.requests_per_second *
                                             kMaxFactor);
  queue_.After(absl::Seconds(wait(random_)), [this] {
    absl::Duration at = queue_.now() - start_;
    if (at > options_.length) return;
    if (Draw() < FactorAt(at) / kMaxFactor) {
      queue_.After(ToNextBatch(at), [this] { Arrive(); });
    }
    NextArrival();
  });
}

int64_t Demand::DrawSize(int64_t mean) {
  double exponent = std::uniform_real_distribution<double>(-1, 1)(random_);
  return std::max<int64_t>(1, std::llround(static_cast<double>(mean) *
                                           std::exp2(exponent) / kMeanOfPower));
}

void Demand::Arrive() {
  EmulatedRequest request;
  request.number = ++requests_;
  request.priority = Draw() < options_.urgent_share ? 0 : 1;
  request.prompt_tokens = DrawSize(options_.prompt_tokens);
  request.output_tokens = DrawSize(options_.output_tokens);
  double guess = kLowestGuess + kGuessSpread * Draw();
  request.output_hint = static_cast<uint32_t>(
      std::max(1.0, static_cast<double>(request.output_tokens) * guess));
  request.objective = options_.objective;
  request.pause_objective = options_.pause_objective;
  request.resumable = Draw() < options_.resumable_share;
  on_request_(request);
}

}  // namespace chervilwick
