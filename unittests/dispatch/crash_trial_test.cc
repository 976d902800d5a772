// Sound requests that ran beside a crashing one: cleared by one run, which one
// front at a time may try.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/dispatch/crash_suspects.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const RequestContent kDeadly{Fingerprint(77), {}};
const RequestContent kSound{Fingerprint(78), {}};
constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr absl::Duration kSoon = absl::Seconds(20);

// Several fronts that tell each other everything at once and hold turns by
// their number.
class Fleet {
 public:
  explicit Fleet(size_t fronts) : fronts_(fronts) {
    for (size_t it = 0; it < fronts; ++it) {
      fronts_[it].SetTurnHolder([it, fronts](Fingerprint, uint64_t turn) {
        return turn % fronts == it;
      });
    }
  }

  // A server ends under these requests, each sent by another front.
  void EndServerUnder(const std::vector<RequestContent>& contents) {
    BackendName server(absl::StrCat("b", ++servers_));
    for (size_t it = 0; it < contents.size(); ++it) {
      CrashSuspects& front = fronts_[it % fronts_.size()];
      front.ReportLost({contents[it].request, server, 1, now_, true}, now_);
      front.ReportServerEnd(server, now_);
    }
    Exchange();
  }

  // Returns whether the fronts let it through. A crashing request ends its
  // server.
  bool Send(size_t front, const RequestContent& content) {
    CrashSuspects& suspects = fronts_[front];
    RequestContent sent = content;
    if (suspects.IsQuarantined(sent, now_)) {
      if (!suspects.BeginTrial(sent, now_)) return false;
      sent.is_trial = true;
    }
    CHECK_FALSE(suspects.IsQuarantined(sent, now_));
    suspects.ReportSent(sent, now_);
    if (content.request == kDeadly.request) {
      BackendName server(absl::StrCat("b", ++servers_));
      suspects.ReportLost({sent.request, server, 1, now_, true}, now_);
      CHECK(suspects.IsQuarantined(sent, now_));
      suspects.ReportServerEnd(server, now_);
    } else {
      suspects.ReportCompleted(sent, now_);
    }
    Exchange();
    return true;
  }

  void Advance(absl::Duration time) { now_ += time; }
  bool IsQuarantinedAnywhere(const RequestContent& content) const {
    return std::any_of(fronts_.begin(), fronts_.end(), [&](const auto& it) {
      return it.IsQuarantined(content, now_);
    });
  }
  uint32_t CrashCount(const RequestContent& content) const {
    return fronts_.front().CrashCount(content.request);
  }
  CrashSuspects& front(size_t n) { return fronts_[n]; }
  absl::Time now() const { return now_; }

 private:
  void Exchange() {
    for (CrashSuspects& from : fronts_) {
      CrashUpdate news = from.TakeUnsent(now_);
      for (CrashSuspects& to : fronts_) {
        if (&to != &from) to.MergeUpdate(news, now_);
      }
    }
  }

  std::vector<CrashSuspects> fronts_;
  absl::Time now_ = kStart;
  int servers_ = 0;
};

void EndThreeServers(Fleet& fleet,
                     const std::vector<RequestContent>& contents) {
  for (uint32_t it = 0; it < CrashSuspects::kQuarantineCrashes; ++it) {
    fleet.EndServerUnder(contents);
    fleet.Advance(kStep);
  }
}

TEST_CASE("a sound request that ran beside a crashing one is cleared soon",
          "[dispatch][trial]") {
  rc::prop("at all fronts, and the crashing one ends one more server at most",
           [] {
             size_t fronts = *rc::gen::inRange<size_t>(1, 34);
             Fleet fleet(fronts);
             EndThreeServers(fleet, {kDeadly, kSound});
             RC_ASSERT(fleet.IsQuarantinedAnywhere(kSound));
             // All callers come again and again, to any front.
             absl::Time end = fleet.now() + kSoon;
             absl::Time cleared = absl::InfiniteFuture();
             int sends = 0;
             while (fleet.now() < end) {
               auto front = *rc::gen::inRange<size_t>(0, fronts);
               bool is_deadly = *rc::gen::arbitrary<bool>();
               // Each front has callers of the sound one.
               for (size_t it = 0; it < fronts && !is_deadly; ++it) {
                 fleet.Send(it, kSound);
               }
               if (is_deadly) sends += fleet.Send(front, kDeadly) ? 1 : 0;
               fleet.Advance(kStep);
               if (!fleet.IsQuarantinedAnywhere(kSound)) {
                 cleared = std::min(cleared, fleet.now());
               }
             }
             RC_ASSERT(cleared < end);
             RC_ASSERT(sends <= 1);
             RC_ASSERT(fleet.IsQuarantinedAnywhere(kDeadly));
           });
}

TEST_CASE("a request that crashed servers alone is not tried",
          "[dispatch][trial]") {
  Fleet fleet(4);
  EndThreeServers(fleet, {kDeadly});
  for (int it = 0; it < 400; ++it) {
    CHECK_FALSE(fleet.Send(static_cast<size_t>(it % 4), kDeadly));
    fleet.Advance(kStep);
  }
}

TEST_CASE("two requests that crash the same servers get few trials",
          "[dispatch][trial]") {
  Fleet fleet(4);
  EndThreeServers(fleet, {kDeadly, kSound});
  int sends = 0;
  for (int it = 0; it < 1000; ++it) {
    // The other one goes down with each server that the first one ends.
    size_t front = static_cast<size_t>(it) % 4;
    if (fleet.front(front).BeginTrial(kDeadly, fleet.now())) {
      ++sends;
      fleet.EndServerUnder({kDeadly, kSound});
    }
    fleet.Advance(kStep);
  }
  CHECK(sends <= 2);
}

TEST_CASE("a trial is for one front at a time, after all know of the crashes",
          "[dispatch][trial]") {
  Fleet fleet(4);
  EndThreeServers(fleet, {kDeadly, kSound});
  for (absl::Time end = fleet.now() + absl::Milliseconds(2800);
       fleet.now() < end; fleet.Advance(kStep)) {
    for (size_t it = 0; it < 4; ++it) {
      CHECK_FALSE(fleet.front(it).BeginTrial(kSound, fleet.now()));
    }
  }
  fleet.Advance(absl::Seconds(1));
  int trials = 0;
  for (size_t it = 0; it < 8; ++it) {
    trials += fleet.front(it % 4).BeginTrial(kSound, fleet.now()) ? 1 : 0;
  }
  CHECK(trials == 1);
}

TEST_CASE("callers of a request that may be cleared are told to come back soon",
          "[dispatch][trial]") {
  Fleet fleet(4);
  EndThreeServers(fleet, {kDeadly, kSound});
  for (int it = 0; it < 100; ++it) {
    absl::Duration retry = fleet.front(0).RetryAfter(kSound, fleet.now());
    CHECK(retry >= absl::Seconds(1));
    CHECK(retry <= absl::Seconds(5));
    fleet.Advance(kStep);
  }
  Fleet other(4);
  EndThreeServers(other, {kDeadly});
  CHECK(other.front(0).RetryAfter(kDeadly, other.now()) > absl::Seconds(60));
}

}  // namespace
}  // namespace chervilwick
