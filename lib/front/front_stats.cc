#include "chervilwick/front/front_stats.h"

namespace chervilwick {
namespace {

constexpr double kFirstBoundSeconds = 0.001;

}  // namespace

double LatencyHistogram::UpperBound(size_t bucket) {
  return kFirstBoundSeconds * static_cast<double>(uint64_t{1} << bucket);
}

void LatencyHistogram::Add(absl::Duration taken) {
  double seconds = absl::ToDoubleSeconds(taken);
  size_t bucket = 0;
  while (bucket < kBuckets && seconds > UpperBound(bucket)) ++bucket;
  ++counts[bucket];
  ++total;
  sum_seconds += seconds;
}

void FrontStats::ForgetBackend(const std::string& backend) {
  auto it = backend_errors.lower_bound({backend, ""});
  while (it != backend_errors.end() && it->first.first == backend) {
    it = backend_errors.erase(it);
  }
}

AccountStats& FrontStats::OfAccount(const std::string& name) {
  auto it = accounts.find(name);
  if (it != accounts.end()) return it->second;
  bool has_room = accounts.size() < kMaxAccounts;
  return accounts[has_room ? name : kOtherAccounts];
}

}  // namespace chervilwick
