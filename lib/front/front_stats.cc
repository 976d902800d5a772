// Counters of a front.

#include "chervilwick/front/front_stats.h"

namespace chervilwick {
namespace {

constexpr double kFirstBoundSeconds = 0.001;

}  // namespace

double LatencyCounts::Bound(size_t bucket) {
  return kFirstBoundSeconds * static_cast<double>(uint64_t{1} << bucket);
}

void LatencyCounts::Add(absl::Duration taken) {
  double seconds = absl::ToDoubleSeconds(taken);
  size_t bucket = 0;
  while (bucket < kBuckets && seconds > Bound(bucket)) ++bucket;
  ++counts[bucket];
  ++total;
  sum_seconds += seconds;
}

void FrontStats::ForgetBackend(const std::string& backend) {
  auto it = backend_trouble.lower_bound({backend, ""});
  while (it != backend_trouble.end() && it->first.first == backend) {
    it = backend_trouble.erase(it);
  }
}

}  // namespace chervilwick
