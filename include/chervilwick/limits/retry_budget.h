// Limits retries and hedges to a fraction of first attempts.

#ifndef CHERVILWICK_LIMITS_RETRY_BUDGET_H_
#define CHERVILWICK_LIMITS_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace chervilwick {

// Token bucket: each new request adds `percent` / 100 of a retry, up to `burst`
// retries.
class RetryBudget {
 public:
  explicit RetryBudget(uint32_t burst)
      : burst_(uint64_t{burst} * kUnitsPerRetry), balance_(burst_) {}

  void OnFreshRequest(uint32_t percent) {
    balance_ = std::min(burst_, balance_ + percent);
  }

  // Whether the budget allows a retry now.
  bool CanTake() const { return balance_ >= kUnitsPerRetry; }

  // Consumes one retry if the budget allows it.
  bool TryTake() {
    if (!CanTake()) return false;
    balance_ -= kUnitsPerRetry;
    return true;
  }

 private:
  // The balance is kept in hundredths of a retry, since deposits are
  // percentages.
  static constexpr uint64_t kUnitsPerRetry = 100;

  const uint64_t burst_;
  uint64_t balance_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIMITS_RETRY_BUDGET_H_
