// Requests that end the servers that run them, as several fronts count them.

#include "chervilwick/dispatch/crash_suspects.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const Fingerprint kPoison(77);
const BackendName kServer("s1");
constexpr int64_t kBorn = 1700000000000;

std::vector<CrashSuspects> Fronts(uint64_t n) {
  return std::vector<CrashSuspects>(n);
}

void EndServer(CrashSuspects& front, Fingerprint fingerprint,
               const BackendName& server, absl::Time now,
               int64_t born = kBorn) {
  front.ReportLost({fingerprint, server, born, now, /*is_closed=*/true}, now);
  front.ReportServerEnd(server, now);
}

// One more server ends under a run.
void Break(CrashSuspects& front, Fingerprint fingerprint, absl::Time now) {
  static int servers = 0;
  BackendName server(absl::StrCat("b", ++servers));
  EndServer(front, fingerprint, server, now);
}

absl::Time NeverHeard(const BackendName& /*server*/) {
  return absl::InfinitePast();
}

TEST_CASE("a request at three breaks is not run again, at any front",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  CrashSuspects& here = fronts[0];
  CrashSuspects& there = fronts[1];
  for (uint32_t it = 0; it < CrashSuspects::kQuarantineCrashes; ++it) {
    CHECK_FALSE(here.IsQuarantined(kPoison, kStart));
    Break(here, kPoison, kStart);
  }
  CHECK(here.IsQuarantined(kPoison, kStart));
  there.Take(here.Recent(kStart), kStart);
  CHECK(there.IsQuarantined(kPoison, kStart));
  absl::Time later = kStart + absl::Minutes(5);
  here.Prune(later);
  CHECK_FALSE(here.IsQuarantined(kPoison, later));
  CHECK(here.Breaks(kPoison) == 0);
  there.ReportWhole(kPoison, kStart);
  CHECK_FALSE(there.IsQuarantined(kPoison, kStart));
}

TEST_CASE("breaks that several fronts saw one each are added up",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(3);
  for (CrashSuspects& it : fronts) Break(it, kPoison, kStart);
  for (CrashSuspects& it : fronts) {
    CrashNews news = it.TakeUntold(kStart);
    REQUIRE(news.broken.size() == 1);
    // Datagrams come twice, too.
    for (CrashSuspects& other : fronts) {
      other.Take(news, kStart);
      other.Take(news, kStart);
    }
    CHECK(it.TakeUntold(kStart).empty());
  }
  for (const CrashSuspects& it : fronts) CHECK(it.Breaks(kPoison) == 3);
}

// A caller that repeats at once has copies at one server, from several fronts.
TEST_CASE("one end of a server is one break, however many copies ran there",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(3);
  absl::Time now = kStart;
  for (int copy = 0; copy < 3; ++copy) {
    for (CrashSuspects& it : fronts) {
      it.ReportLost({kPoison, kServer, kBorn, now, /*is_closed=*/true}, now);
    }
    now += absl::Milliseconds(100);
  }
  for (CrashSuspects& it : fronts) {
    CHECK_FALSE(it.IsQuarantined(kPoison, now));
    it.ReportServerEnd(kServer, now);
    for (CrashSuspects& other : fronts) other.Take(it.TakeUntold(now), now);
  }
  for (CrashSuspects& it : fronts) CHECK(it.Breaks(kPoison) == 1);
  // It is back, and ends again.
  now += absl::Seconds(1);
  EndServer(fronts[0], kPoison, kServer, now, kBorn + 1);
  fronts[1].Take(fronts[0].TakeUntold(now), now);
  CHECK(fronts[1].Breaks(kPoison) == 2);
  // Once more, and its entry does not say yet that it was started anew.
  now += absl::Seconds(5);
  EndServer(fronts[1], kPoison, kServer, now, kBorn + 1);
  fronts[0].Take(fronts[1].TakeUntold(now), now);
  CHECK(fronts[0].Breaks(kPoison) == 3);
}

// One front saw the connection close, another one waited in vain.
TEST_CASE("one end of a server that fronts see by other signs is one break",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  EndServer(fronts[0], kPoison, kServer, kStart);
  fronts[1].Take(fronts[0].TakeUntold(kStart), kStart);
  absl::Time later = kStart + absl::Seconds(2);
  fronts[1].ReportLost({kPoison, kServer, kBorn, kStart, false}, later);
  fronts[1].ReportServerEnd(kServer, later + absl::Seconds(1));
  CHECK(fronts[1].Breaks(kPoison) == 1);
}

TEST_CASE("a lost datagram is made good by the next digests", "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  Break(fronts[0], kPoison, kStart);
  fronts[0].TakeUntold(kStart);
  absl::Time later = kStart + absl::Seconds(3);
  fronts[1].Take(fronts[0].Recent(later), later);
  CHECK(fronts[1].Breaks(kPoison) == 1);
}

TEST_CASE("what a front saw outlives it", "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(3);
  Break(fronts[0], kPoison, kStart);
  fronts[1].Take(fronts[0].TakeUntold(kStart), kStart);
  // The first one restarts.
  fronts[0] = CrashSuspects();
  absl::Time later = kStart + absl::Minutes(1);
  fronts[0].Take(fronts[1].All(later), later);
  CHECK(fronts[0].Breaks(kPoison) == 1);
}

TEST_CASE("a quarantine ends, and a break after it is one for longer",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  absl::Time now = kStart;
  for (int it = 0; it < 3; ++it) Break(fronts[0], kPoison, now);
  absl::Duration first = fronts[0].QuarantineLeft(kPoison, now);
  CHECK(first > absl::ZeroDuration());
  now += first;
  for (CrashSuspects& it : fronts) it.Prune(now);
  CHECK_FALSE(fronts[0].IsQuarantined(kPoison, now));
  Break(fronts[0], kPoison, now);
  CHECK(fronts[0].QuarantineLeft(kPoison, now) == 2 * first);
  // A front that has just started is told so, too.
  now += first;
  fronts[1].Take(fronts[0].All(now), now);
  CHECK(fronts[1].QuarantineLeft(kPoison, now) == first);
  for (int it = 0; it < 40; ++it) Break(fronts[0], kPoison, now);
  CHECK(fronts[0].QuarantineLeft(kPoison, now) == absl::Minutes(30));
}

// Each front hears it a moment later than the one before, so that for each one
// that forgets it there is another that still tells it.
TEST_CASE("what has been forgotten is not heard anew for ever", "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  absl::Time now = kStart;
  for (int it = 0; it < 3; ++it) Break(fronts[0], kPoison, now);
  for (int it = 0; it < 600; ++it) {
    now += absl::Seconds(1);
    CrashSuspects& from = fronts[it % 2];
    CrashSuspects& to = fronts[(it + 1) % 2];
    to.Take(from.All(now), now);
    for (CrashSuspects& front : fronts) front.Prune(now);
  }
  for (CrashSuspects& it : fronts) CHECK(it.Breaks(kPoison) == 0);
}

TEST_CASE("a whole run clears the breaks before it at every front",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  absl::Time now = kStart;
  for (int it = 0; it < 3; ++it) Break(fronts[0], kPoison, now);
  CrashNews old = fronts[0].All(now);
  fronts[1].Take(old, now);
  now += absl::Seconds(1);
  fronts[1].ReportWhole(kPoison, now);
  fronts[0].Take(fronts[1].TakeUntold(now), now);
  CHECK(fronts[0].Breaks(kPoison) == 0);
  // Neither by news that was on the way, nor for breaks after it.
  old.broken[0].age += absl::Seconds(1);
  old.broken[1].age += absl::Seconds(1);
  old.broken[2].age += absl::Seconds(1);
  fronts[1].Take(old, now);
  CHECK(fronts[1].Breaks(kPoison) == 0);
  now += absl::Seconds(1);
  Break(fronts[1], kPoison, now);
  fronts[0].Take(fronts[1].TakeUntold(now), now);
  CHECK(fronts[0].Breaks(kPoison) == 1);
}

TEST_CASE("a full table keeps what it has most evidence for", "[dispatch]") {
  CrashSuspects front;
  for (int it = 0; it < 3; ++it) Break(front, kPoison, kStart);
  for (uint64_t it = 1000; it < 21000; ++it) {
    Break(front, Fingerprint(it), kStart + absl::Milliseconds(it));
  }
  CHECK(front.Breaks(kPoison) == 3);
  // The newest has room.
  CHECK(front.Breaks(Fingerprint(20999)) == 1);
  absl::Time now = kStart + absl::Seconds(22);
  CrashNews news = front.Recent(now);
  // However much is known, a datagram stays short.
  CHECK(news.broken.size() <= 24);
  CHECK(front.All(now).broken.size() <= 24);
  CHECK(news.broken[0].fingerprint == kPoison);
}

TEST_CASE("runs are recorded once there are several of a request",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  Break(fronts[0], kPoison, kStart);
  Break(fronts[0], Fingerprint(78), kStart);
  CHECK(fronts[0].Unrecorded(kStart).empty());
  Break(fronts[1], kPoison, kStart);
  fronts[0].Take(fronts[1].TakeUntold(kStart), kStart);
  std::vector<BrokenRun> runs = fronts[0].Unrecorded(kStart);
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].fingerprint == kPoison);
  fronts[0].MarkRecorded(runs);
  CHECK(fronts[0].Unrecorded(kStart).empty());
}

TEST_CASE("a silent run counts once its server has ended", "[dispatch]") {
  CrashSuspects front;
  LostRun run{kPoison, kServer, kBorn, kStart, /*is_closed=*/false};
  absl::Time lost = kStart + absl::Seconds(2);
  front.ReportLost(run, lost);
  CHECK(front.Breaks(kPoison) == 0);
  front.ReportServerEnd(BackendName("s2"), lost);
  CHECK(front.Breaks(kPoison) == 0);
  front.ReportServerEnd(kServer, lost + absl::Seconds(5));
  CHECK(front.Breaks(kPoison) == 1);
  // Once.
  front.ReportServerEnd(kServer, lost + absl::Seconds(5));
  CHECK(front.Breaks(kPoison) == 1);
}

TEST_CASE("a silent run counts if its server ended while it ran",
          "[dispatch]") {
  CrashSuspects front;
  front.ReportServerEnd(kServer, kStart);
  absl::Time lost = kStart + absl::Seconds(2);
  LostRun before{kPoison, kServer, kBorn, kStart - absl::Seconds(1), false};
  front.ReportLost(before, lost);
  CHECK(front.Breaks(kPoison) == 1);
  // It was sent to the next start of the server.
  LostRun after{kPoison, kServer, kBorn, kStart + absl::Seconds(1), false};
  front.ReportLost(after, lost);
  CHECK(front.Breaks(kPoison) == 1);
}

TEST_CASE("a silent run at a server that lives on is no break", "[dispatch]") {
  CrashSuspects front;
  front.ReportLost({kPoison, kServer, kBorn, kStart, false}, kStart);
  absl::Time later = kStart + absl::Seconds(10);
  front.Settle(NeverHeard, later);
  front.ReportServerEnd(kServer, later);
  CHECK(front.Breaks(kPoison) == 0);
}

TEST_CASE("a closed connection counts unless its server is heard after it",
          "[dispatch]") {
  CrashSuspects front;
  front.ReportLost({kPoison, kServer, kBorn, kStart, /*is_closed=*/true},
                   kStart);
  absl::Time heard = absl::InfinitePast();
  bool is_break = true;
  SECTION("never heard") {}
  SECTION("what was on its way") { heard = kStart + absl::Milliseconds(20); }
  SECTION("heard after it") {
    heard = kStart + absl::Milliseconds(300);
    is_break = false;
  }
  for (int ms = 0; ms <= 1000; ms += 100) {
    absl::Time now = kStart + absl::Milliseconds(ms);
    front.Settle([&](const BackendName&) { return std::min(heard, now); }, now);
  }
  CHECK(front.Breaks(kPoison) == (is_break ? 1 : 0));
}

TEST_CASE("the third closed connection counts here before it is decided",
          "[dispatch]") {
  CrashSuspects front;
  for (const char* it : {"s1", "s2", "s3"}) {
    CHECK_FALSE(front.IsQuarantined(kPoison, kStart));
    front.ReportLost({kPoison, BackendName(it), kBorn, kStart, true}, kStart);
  }
  // Not for longer than it takes to decide.
  absl::Duration left = front.QuarantineLeft(kPoison, kStart);
  CHECK(left > absl::ZeroDuration());
  CHECK(left < absl::Seconds(1));
  CHECK(front.TakeUntold(kStart).empty());
  absl::Time later = kStart + left;
  front.Settle([&](const BackendName&) { return later; }, later);
  CHECK_FALSE(front.IsQuarantined(kPoison, later));
}

TEST_CASE("a whole run clears lost runs that are not decided yet",
          "[dispatch]") {
  CrashSuspects front;
  front.ReportLost({kPoison, kServer, kBorn, kStart, /*is_closed=*/true},
                   kStart);
  front.ReportWhole(kPoison, kStart + absl::Milliseconds(200));
  front.Settle(NeverHeard, kStart + absl::Seconds(1));
  front.ReportServerEnd(kServer, kStart + absl::Seconds(1));
  CHECK(front.Breaks(kPoison) == 0);
}

// Of one fingerprint; far beyond what is needed for a verdict.
constexpr int kMostKept = 12;

// Whatever is lost, repeated or reordered, fronts that have heard all agree on
// the number of breaks.
TEST_CASE("merging is a union of sets", "[dispatch]") {
  rc::prop("any order and number of merges", [] {
    std::vector<CrashSuspects> fronts = Fronts(4);
    std::vector<CrashNews> sent;
    int breaks = 0;
    int steps = *rc::gen::inRange(0, 40);
    absl::Time now = kStart;
    for (int it = 0; it < steps; ++it) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 50));
      size_t front = *rc::gen::inRange<size_t>(0, fronts.size());
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          if (breaks == kMostKept) break;
          Break(fronts[front], kPoison, now);
          ++breaks;
          break;
        case 1:
          sent.push_back(fronts[front].TakeUntold(now));
          break;
        case 2:
          sent.push_back(fronts[front].Recent(now));
          break;
        default:
          if (sent.empty()) break;
          fronts[front].Take(sent[*rc::gen::inRange<size_t>(0, sent.size())],
                             now);
      }
      for (const CrashSuspects& known : fronts) {
        RC_ASSERT(known.Breaks(kPoison) <= static_cast<uint32_t>(breaks));
      }
    }
    for (const CrashSuspects& from : fronts) {
      for (CrashSuspects& to : fronts) to.Take(from.All(now), now);
    }
    for (const CrashSuspects& it : fronts) {
      RC_ASSERT(it.Breaks(kPoison) == static_cast<uint32_t>(breaks));
    }
  });
}

}  // namespace
}  // namespace chervilwick
