// The retry budget over all fronts and their restarts.

#include "chervilwick/dispatch/retry_quota.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const ServiceName kService("models");
constexpr absl::Duration kWindow = absl::Seconds(10);

// The limit holds for the sum over all fronts, in every window.
TEST_CASE("all fronts together stay within the retry budget", "[dispatch]") {
  rc::prop("retries <= ratio * requests + slack", [] {
    RetryBounds bounds{0.2, 52, kWindow};
    const auto fronts = *rc::gen::inRange<uint32_t>(1, 6);
    std::vector<RetryQuota> quotas(fronts,
                                   RetryQuota(bounds, kStart - kWindow));
    for (RetryQuota& it : quotas) it.SetFrontCount(fronts);
    std::vector<absl::Time> requests;
    std::vector<absl::Time> retries;
    const auto steps = *rc::gen::inRange(0, 600);
    absl::Time now = kStart;
    for (int it = 0; it < steps; ++it) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 60));
      RetryQuota& quota = quotas[*rc::gen::inRange<uint32_t>(0, fronts)];
      if (*rc::gen::inRange(0, 3) == 0) {
        quota.OnRequest(kService, now);
        requests.push_back(now);
      } else if (quota.TryTake(kService, now)) {
        retries.push_back(now);
      }
    }
    auto count = [](const std::vector<absl::Time>& times, absl::Time start) {
      return static_cast<double>(
          std::count_if(times.begin(), times.end(), [start](absl::Time at) {
            return at >= start && at < start + absl::Seconds(10);
          }));
    };
    for (absl::Time start : retries) {
      // Requests of this window, of the one half a window earlier or of the
      // previous one.
      double asked = std::max({count(requests, start),
                               count(requests, start - absl::Seconds(5)),
                               count(requests, start - absl::Seconds(10))});
      RC_ASSERT(count(retries, start) <= bounds.ratio * asked + bounds.slack);
    }
  });
}

TEST_CASE("a front that has just started uses at most half of its slack",
          "[dispatch]") {
  RetryQuota quota({0.2, 52, kWindow}, kStart);
  quota.SetFrontCount(4);
  int early = 0;
  while (quota.TryTake(kService, kStart)) ++early;
  CHECK(early <= 52 / 4 / 2);
}

// Fronts that use up what they are allowed, and restart one after another.
class Fleet {
 public:
  Fleet(const RetryBounds& bounds, uint32_t fronts, absl::Time now)
      : bounds_(bounds) {
    for (uint32_t it = 0; it < fronts; ++it) {
      quotas_.emplace_back(bounds, now - kWindow);
      quotas_.back().SetFrontCount(fronts);
    }
  }

  RetryQuota& front(uint32_t number) { return quotas_[number]; }
  void Request(uint32_t number, absl::Time now) {
    quotas_[number].OnRequest(kService, now);
    requests_.push_back(now);
  }
  void UseUp(uint32_t number, absl::Time now) {
    while (quotas_[number].TryTake(kService, now)) retries_.push_back(now);
  }
  void Restart(uint32_t number, absl::Time now) {
    quotas_[number] = RetryQuota(bounds_, now);
    quotas_[number].SetFrontCount(static_cast<uint32_t>(quotas_.size()));
  }

  // The most retries above the bound in any window.
  double MostBeyondBound() const {
    double most = 0;
    for (absl::Time start : retries_) {
      double asked = std::max({Count(requests_, start),
                               Count(requests_, start - kWindow / 2),
                               Count(requests_, start - kWindow)});
      double allowed = bounds_.ratio * asked + bounds_.slack;
      most = std::max(most, Count(retries_, start) - allowed);
    }
    return most;
  }
  size_t retries() const { return retries_.size(); }

 private:
  static double Count(const std::vector<absl::Time>& times, absl::Time start) {
    auto first = std::lower_bound(times.begin(), times.end(), start);
    auto last = std::lower_bound(first, times.end(), start + kWindow);
    return static_cast<double>(last - first);
  }

  RetryBounds bounds_;
  std::vector<RetryQuota> quotas_;
  std::vector<absl::Time> requests_;
  std::vector<absl::Time> retries_;
};

TEST_CASE("fronts that restart stay within the retry budget", "[dispatch]") {
  rc::prop("retries <= ratio * requests + slack, whoever restarts", [] {
    const auto fronts = *rc::gen::inRange<uint32_t>(1, 6);
    const auto steps = *rc::gen::inRange(0, 1500);
    RetryBounds bounds{*rc::gen::element(0.0, 0.2, 1.0), 52, kWindow};
    absl::Time now = kStart;
    Fleet fleet(bounds, fronts, now);
    // Clients turn to another front now and then.
    uint32_t preferred = 0;
    for (int it = 0; it < steps; ++it) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 60));
      const auto draw = *rc::gen::inRange<uint32_t>(0, 200);
      uint32_t number = draw % fronts;
      if (draw < 4) {
        preferred = *rc::gen::inRange<uint32_t>(0, fronts);
      } else if (draw < 8) {
        fleet.UseUp(number, now);
      } else if (draw < 12) {
        // A front that goes has used up what it had.
        fleet.UseUp(number, now);
        fleet.Restart(number, now);
      } else {
        fleet.Request(preferred, now);
      }
    }
    RC_ASSERT(fleet.MostBeyondBound() <= 0);
  });
}

TEST_CASE("a front that restarts again and again adds nothing to the slack",
          "[dispatch]") {
  Fleet fleet({0.2, 50, kWindow}, /*fronts=*/1, kStart);
  absl::Time now = kStart;
  fleet.UseUp(0, now);
  for (int n = 0; n < 9; ++n) {
    fleet.Restart(0, now);
    now += absl::Seconds(1);
    fleet.UseUp(0, now);
  }
  CHECK(fleet.retries() > 0);
  CHECK(fleet.MostBeyondBound() <= 0);
}

TEST_CASE("clients that change fronts do not count for both", "[dispatch]") {
  Fleet fleet({0.2, 0, kWindow}, /*fronts=*/2, kStart);
  absl::Time now = kStart;
  for (int n = 0; n < 100; ++n) fleet.Request(0, now += kWindow / 100);
  fleet.UseUp(0, now);
  for (int n = 0; n < 99; ++n) fleet.Request(1, now += kWindow / 100);
  fleet.UseUp(1, now);
  CHECK(fleet.MostBeyondBound() <= 0);
}

TEST_CASE("a front that has run for long has its whole slack at once",
          "[dispatch]") {
  Fleet fleet({0.2, 50, kWindow}, /*fronts=*/1, kStart);
  fleet.UseUp(0, kStart);
  CHECK(fleet.retries() >= 40);
}

TEST_CASE("a steady front may use most of the ratio", "[dispatch]") {
  Fleet fleet({0.2, 0, kWindow}, /*fronts=*/1, kStart);
  absl::Time now = kStart;
  for (int n = 0; n < 200; ++n) fleet.Request(0, now += kWindow / 100);
  fleet.UseUp(0, now);
  CHECK(fleet.retries() >= 15);
}

TEST_CASE("a returned retry can be taken again, in a later window",
          "[dispatch]") {
  RetryQuota quota({0, 2, kWindow}, kStart - kWindow);
  absl::Time later = kStart + absl::Seconds(1);
  REQUIRE(quota.TryTake(kService, kStart));
  CHECK_FALSE(quota.TryTake(kService, later));
  quota.Return(kService, kStart);
  CHECK(quota.TryTake(kService, later));
  CHECK_FALSE(quota.TryTake(kService, kStart + kWindow));
}

}  // namespace
}  // namespace chervilwick
