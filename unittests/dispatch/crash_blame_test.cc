// Verdicts on parts of prompts, and how they are withdrawn.

#include "chervilwick/dispatch/crash_blame.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/dispatch/crash_suspects.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const Fingerprint kFirst(1);
const Fingerprint kDeadly(2);
const Fingerprint kOther(3);

using Parts = std::vector<Fingerprint>;

// One front; each crash ends another server under an unlike request.
class Front {
 public:
  void Crash(const Parts& parts) { CrashRequest(++requests_, parts); }
  void CrashRequest(uint64_t request, const Parts& parts) {
    now += absl::Seconds(1);
    BackendName server(absl::StrCat("s", ++servers_));
    suspects.ReportLost({Fingerprint(1000 + request), server, 1, now,
                         /*is_closed=*/true, parts},
                        now);
    suspects.ReportServerEnd(server, now);
  }
  RequestContent Request(const Parts& parts) {
    return {Fingerprint(1000 + ++requests_), parts};
  }
  void Complete(const Parts& parts) {
    now += absl::Milliseconds(100);
    suspects.ReportCompleted(Request(parts), now);
  }
  absl::Duration Left(const Parts& parts) {
    return suspects.QuarantineLeft(Request(parts), now);
  }
  bool IsRefused(const Parts& parts) {
    return Left(parts) > absl::ZeroDuration();
  }
  void Wait(absl::Duration time) {
    for (absl::Time end = now + time; now < end; now += absl::Seconds(1)) {
      suspects.Prune(now);
    }
  }

  CrashSuspects suspects;
  absl::Time now = kStart;

 private:
  uint64_t requests_ = 0;
  int servers_ = 0;
};

TEST_CASE("part of three unlike requests that crashed servers is refused",
          "[dispatch][blame]") {
  Front it;
  it.Complete({kFirst});
  for (int n = 0; n < 3; ++n) {
    CHECK_FALSE(it.IsRefused({kFirst, kDeadly}));
    it.Crash({kFirst, kDeadly});
    it.Complete({kFirst});
  }
  CHECK(it.IsRefused({kFirst, kDeadly}));
  CHECK(it.IsRefused({kDeadly}));
  CHECK(it.IsRefused({kOther, kDeadly}));
  CHECK_FALSE(it.IsRefused({kFirst}));
  CHECK_FALSE(it.IsRefused({kFirst, kOther}));
  CHECK(it.Left({kDeadly}) > absl::Minutes(1));
}

TEST_CASE("parts that always crashed together are refused together only",
          "[dispatch][blame]") {
  Front it;
  for (int n = 0; n < 3; ++n) it.Crash({kFirst, kDeadly, kOther});
  CHECK(it.IsRefused({kFirst, kDeadly, kOther}));
  CHECK_FALSE(it.IsRefused({kFirst, kOther}));
  // Such a request is served: the parts left are the ones to blame.
  it.Complete({kFirst, kOther});
  CHECK(it.IsRefused({kDeadly}));
}

TEST_CASE("a request that is sent again and again blames none of its parts",
          "[dispatch][blame]") {
  Front it;
  for (int n = 0; n < 3; ++n) it.CrashRequest(7, {kFirst, kOther});
  CHECK(it.suspects.IsQuarantined(Fingerprint(1007), it.now));
  CHECK_FALSE(it.IsRefused({kFirst, kOther}));
  // One crash under another request may be chance.
  it.Crash({kFirst, kOther});
  CHECK_FALSE(it.IsRefused({kFirst, kOther}));
  it.Crash({kFirst, kOther});
  CHECK(it.IsRefused({kFirst, kOther}));
}

TEST_CASE("servers that end at one moment count as one crash",
          "[dispatch][blame]") {
  std::vector<SuspectRun> runs;
  for (uint64_t it = 0; it < 8; ++it) {
    runs.push_back(
        {it, kStart + absl::Milliseconds(it), Fingerprint(100 + it), {kFirst}});
  }
  auto none = [](Fingerprint) { return false; };
  CHECK(FindBlamedParts(runs, none).empty());
  for (SuspectRun& it : runs) it.at += absl::Seconds(it.server);
  REQUIRE(FindBlamedParts(runs, none).size() == 1);
  CHECK(FindBlamedParts(runs, none)[0].crashes == 8);
}

TEST_CASE("part that explains the crashes clears those that ran beside it",
          "[dispatch][blame]") {
  std::vector<SuspectRun> runs;
  for (uint64_t it = 0; it < 5; ++it) {
    absl::Time at = kStart + absl::Seconds(it);
    runs.push_back({it, at, Fingerprint(100 + it), {kDeadly}});
    if (it < 4) runs.push_back({it, at, Fingerprint(200 + it), {kOther}});
  }
  std::vector<BlamedParts> blamed =
      FindBlamedParts(runs, [](Fingerprint) { return false; });
  REQUIRE(blamed.size() == 1);
  CHECK(blamed[0].parts == std::set<Fingerprint>{kDeadly});
}

TEST_CASE("part that was served lately takes more crashes, for a shorter time",
          "[dispatch][blame]") {
  Front it;
  it.Complete({kFirst});
  for (int n = 0; n < 4; ++n) it.Crash({kFirst});
  CHECK_FALSE(it.IsRefused({kFirst}));
  it.Crash({kFirst});
  CHECK(it.IsRefused({kFirst}));
  CHECK(it.Left({kFirst}) <= absl::Seconds(10));
}

TEST_CASE("answer that is written for some time does not clear its parts",
          "[dispatch][blame]") {
  Front it;
  for (int n = 0; n < 2; ++n) it.Crash({kDeadly});
  it.suspects.ReportWritten({kDeadly}, it.now);
  it.Crash({kDeadly});
  CHECK_FALSE(it.IsRefused({kDeadly}));
  for (int n = 0; n < 2; ++n) it.Crash({kDeadly});
  CHECK(it.IsRefused({kDeadly}));
}

TEST_CASE("completed request withdraws the verdict on its parts everywhere",
          "[dispatch][blame]") {
  Front here;
  Front there;
  for (int n = 0; n < 3; ++n) here.Crash({kFirst, kOther});
  there.now = here.now;
  there.suspects.MergeUpdate(here.suspects.FullUpdate(here.now), here.now);
  CHECK(there.IsRefused({kFirst, kOther}));
  // A run that began before the verdict.
  there.Complete({kFirst, kOther});
  CHECK_FALSE(there.IsRefused({kFirst, kOther}));
  here.suspects.MergeUpdate(there.suspects.TakeUnsent(there.now), there.now);
  CHECK_FALSE(here.IsRefused({kFirst, kOther}));
  // Delayed datagrams do not bring it back.
  there.suspects.MergeUpdate(here.suspects.FullUpdate(there.now), there.now);
  CHECK_FALSE(there.IsRefused({kFirst, kOther}));
}

TEST_CASE("fronts do not repeat to each other for ever that a part is sound",
          "[dispatch][blame]") {
  Front here;
  Front there;
  for (int n = 0; n < 3; ++n) here.Crash({kFirst, kOther});
  here.Complete({kFirst, kOther});
  for (int n = 0; n < 20; ++n) {
    here.now += absl::Seconds(1);
    there.suspects.MergeUpdate(here.suspects.RecentUpdate(here.now), here.now);
    here.suspects.MergeUpdate(there.suspects.RecentUpdate(here.now), here.now);
  }
  CHECK(here.suspects.RecentUpdate(here.now).exonerations.empty());
  CHECK(there.suspects.RecentUpdate(here.now).exonerations.empty());
}

TEST_CASE("after its quarantine a part is tried with one request at a time",
          "[dispatch][blame]") {
  Front it;
  for (int n = 0; n < 3; ++n) it.Crash({kDeadly});
  absl::Duration first = it.Left({kDeadly});
  it.Wait(first + absl::Seconds(1));
  RequestContent trial = it.Request({kDeadly});
  CHECK_FALSE(it.suspects.IsQuarantined(trial, it.now));
  it.suspects.ReportSent(trial, it.now);
  CHECK_FALSE(it.suspects.IsQuarantined(trial, it.now));
  CHECK(it.IsRefused({kDeadly}));
  CHECK(it.Left({kDeadly}) <= absl::Seconds(10));
  SECTION("the trial crashes its server") {
    it.Crash({kDeadly});
    CHECK(it.Left({kDeadly}) > first);
  }
  SECTION("the trial completes") {
    it.suspects.ReportCompleted(trial, it.now);
    CHECK_FALSE(it.IsRefused({kDeadly}));
  }
  SECTION("nothing more is heard of it") {
    it.Wait(absl::Seconds(11));
    CHECK_FALSE(it.IsRefused({kDeadly}));
  }
}

TEST_CASE("fronts try a part at different times", "[dispatch][blame]") {
  Front early;
  Front late;
  late.suspects.SetTrialDelay(absl::Seconds(30));
  for (int n = 0; n < 3; ++n) early.Crash({kDeadly});
  late.now = early.now;
  late.suspects.MergeUpdate(early.suspects.FullUpdate(late.now), late.now);
  CHECK(late.Left({kDeadly}) == early.Left({kDeadly}) + absl::Seconds(30));
}

TEST_CASE("recorded crashes bring a verdict back after a restart of all fronts",
          "[dispatch][blame]") {
  Front before;
  for (int n = 0; n < 2; ++n) before.Crash({kDeadly});
  CHECK(before.suspects.Unrecorded(before.now).empty());
  before.Crash({kDeadly});
  std::vector<CrashedRun> runs = before.suspects.Unrecorded(before.now);
  REQUIRE(runs.size() == 3);
  Front after;
  for (CrashedRun& run : runs) {
    run.age = absl::ZeroDuration();
    run.is_recorded = true;
    after.suspects.MergeUpdate({{run}, {}}, after.now);
  }
  CHECK(after.IsRefused({kDeadly, kFirst}));
  after.Complete({kDeadly});
  CHECK_FALSE(after.IsRefused({kDeadly, kFirst}));
}

TEST_CASE("clients that send new parts without end do not displace a verdict",
          "[dispatch][blame]") {
  Front it;
  for (int n = 0; n < 3; ++n) it.Crash({kFirst, kDeadly});
  for (uint64_t n = 0; n < 9000; ++n) {
    it.suspects.ReportCompleted(
        {Fingerprint(50000 + n), {Fingerprint(90000 + n)}}, it.now);
  }
  CHECK(it.IsRefused({kFirst, kDeadly}));
  CrashUpdate news = it.suspects.FullUpdate(it.now);
  CHECK(news.crashed_runs.size() == 3);
  CHECK(news.exonerations.size() <= 16);
}

TEST_CASE("one datagram holds a bounded number of runs and parts",
          "[dispatch][blame]") {
  Front it;
  Parts many;
  for (uint64_t n = 0; n < 64; ++n) many.emplace_back(5000 + n);
  for (int n = 0; n < 40; ++n) it.Crash(many);
  CrashUpdate news = it.suspects.FullUpdate(it.now);
  size_t parts = 0;
  for (const CrashedRun& run : news.crashed_runs) parts += run.parts.size();
  CHECK(parts <= 256);
  // Enough for the verdict of a front that hears nothing else.
  CHECK(news.crashed_runs.size() >= kBlamedCrashes);
}

}  // namespace
}  // namespace chervilwick
