// Counting, on several fronts, of requests that crash their servers.

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
const Fingerprint kCrashing(77);
const BackendName kServer("s1");
constexpr int64_t kBorn = 1700000000000;

std::vector<CrashSuspects> Fronts(uint64_t n) {
  return std::vector<CrashSuspects>(n);
}

void CrashServer(CrashSuspects& front, Fingerprint fingerprint,
                 const BackendName& server, absl::Time now,
                 int64_t born = kBorn) {
  front.ReportLost({fingerprint, server, born, now, /*is_closed=*/true}, now);
  front.ReportServerEnd(server, now);
}

// Crashes a new server under a run.
void Crash(CrashSuspects& front, Fingerprint fingerprint, absl::Time now) {
  static int servers = 0;
  BackendName server(absl::StrCat("b", ++servers));
  CrashServer(front, fingerprint, server, now);
}

absl::Time NeverHeard(const BackendName& /*server*/) {
  return absl::InfinitePast();
}

TEST_CASE("a request with three crashes is quarantined on every front",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  CrashSuspects& here = fronts[0];
  CrashSuspects& there = fronts[1];
  for (uint32_t it = 0; it < CrashSuspects::kQuarantineCrashes; ++it) {
    CHECK_FALSE(here.IsQuarantined(kCrashing, kStart));
    Crash(here, kCrashing, kStart);
  }
  CHECK(here.IsQuarantined(kCrashing, kStart));
  there.MergeUpdate(here.RecentUpdate(kStart), kStart);
  CHECK(there.IsQuarantined(kCrashing, kStart));
  absl::Time later = kStart + absl::Minutes(5);
  here.Prune(later);
  CHECK_FALSE(here.IsQuarantined(kCrashing, later));
  CHECK(here.CrashCount(kCrashing) == 0);
  there.ReportCompleted(kCrashing, kStart);
  CHECK_FALSE(there.IsQuarantined(kCrashing, kStart));
}

TEST_CASE("crashes that different fronts saw are added up", "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(3);
  for (CrashSuspects& it : fronts) Crash(it, kCrashing, kStart);
  for (CrashSuspects& it : fronts) {
    CrashUpdate news = it.TakeUnsent(kStart);
    REQUIRE(news.crashed_runs.size() == 1);
    // Datagrams may be duplicated.
    for (CrashSuspects& other : fronts) {
      other.MergeUpdate(news, kStart);
      other.MergeUpdate(news, kStart);
    }
    CHECK(it.TakeUnsent(kStart).empty());
  }
  for (const CrashSuspects& it : fronts) CHECK(it.CrashCount(kCrashing) == 3);
}

// A client that retries at once has copies of its request on one server, sent
// by several fronts.
TEST_CASE(
    "a server crash counts once however many copies of the request ran there",
    "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(3);
  absl::Time now = kStart;
  for (int copy = 0; copy < 3; ++copy) {
    for (CrashSuspects& it : fronts) {
      it.ReportLost({kCrashing, kServer, kBorn, now, /*is_closed=*/true}, now);
    }
    now += absl::Milliseconds(100);
  }
  for (CrashSuspects& it : fronts) {
    CHECK_FALSE(it.IsQuarantined(kCrashing, now));
    it.ReportServerEnd(kServer, now);
    for (CrashSuspects& other : fronts) {
      other.MergeUpdate(it.TakeUnsent(now), now);
    }
  }
  for (CrashSuspects& it : fronts) CHECK(it.CrashCount(kCrashing) == 1);
  // The server restarts and crashes again.
  now += absl::Seconds(1);
  CrashServer(fronts[0], kCrashing, kServer, now, kBorn + 1);
  fronts[1].MergeUpdate(fronts[0].TakeUnsent(now), now);
  CHECK(fronts[1].CrashCount(kCrashing) == 2);
  // It crashes once more before discovery reports its new start.
  now += absl::Seconds(5);
  CrashServer(fronts[1], kCrashing, kServer, now, kBorn + 1);
  fronts[0].MergeUpdate(fronts[1].TakeUnsent(now), now);
  CHECK(fronts[0].CrashCount(kCrashing) == 3);
}

// One front sees the connection close, the other only times out.
TEST_CASE("a server crash counts once if fronts notice it in different ways",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  CrashServer(fronts[0], kCrashing, kServer, kStart);
  fronts[1].MergeUpdate(fronts[0].TakeUnsent(kStart), kStart);
  absl::Time later = kStart + absl::Seconds(2);
  fronts[1].ReportLost({kCrashing, kServer, kBorn, kStart, false}, later);
  fronts[1].ReportServerEnd(kServer, later + absl::Seconds(1));
  CHECK(fronts[1].CrashCount(kCrashing) == 1);
}

TEST_CASE("the end of a server is one, whoever notices it and however",
          "[dispatch][identity]") {
  rc::prop("observers, signs, send times and copies differ", [] {
    std::vector<CrashSuspects> fronts = Fronts(4);
    absl::Time ended = kStart + absl::Seconds(2);
    int observers = *rc::gen::inRange(1, 7);
    for (int it = 0; it < observers; ++it) {
      CrashSuspects& front = fronts[*rc::gen::inRange<size_t>(0, 4)];
      absl::Time sent = ended - absl::Milliseconds(*rc::gen::inRange(1, 900));
      absl::Time noticed =
          ended + absl::Milliseconds(*rc::gen::inRange(0, 400));
      bool is_closed = *rc::gen::arbitrary<bool>();
      front.ReportLost({kCrashing, kServer, kBorn, sent, is_closed}, noticed);
      front.ReportServerEnd(kServer, noticed);
      for (CrashSuspects& other : fronts) {
        other.MergeUpdate(front.RecentUpdate(noticed), noticed);
      }
    }
    for (const CrashSuspects& it : fronts) {
      RC_ASSERT(it.CrashCount(kCrashing) == 1U);
    }
    // The next start of the server is another one.
    absl::Time later = ended + absl::Seconds(3);
    CrashServer(fronts[0], kCrashing, kServer, later, kBorn + 1);
    RC_ASSERT(fronts[0].CrashCount(kCrashing) == 2U);
  });
}

TEST_CASE(
    "a sound request that many clients send takes few messages after a crash",
    "[dispatch]") {
  CrashSuspects front;
  Crash(front, kCrashing, kStart);
  front.TakeUnsent(kStart);
  size_t told = 0;
  absl::Time now = kStart;
  for (int it = 0; it < 1000; ++it) {
    now += absl::Milliseconds(2);
    front.ReportCompleted(kCrashing, now);
    told += front.TakeUnsent(now).exonerations.size();
  }
  CHECK(told >= 1);
  CHECK(told <= 6);
  // A crash before the latest answer, which another front reports late.
  CrashedRun late{kCrashing, {1, 0}, absl::Milliseconds(1)};
  front.MergeUpdate({{late}, {}}, now);
  CHECK(front.CrashCount(kCrashing) == 0);
}

TEST_CASE("digests repeat crashes whose datagram was lost", "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  Crash(fronts[0], kCrashing, kStart);
  fronts[0].TakeUnsent(kStart);
  absl::Time later = kStart + absl::Seconds(3);
  fronts[1].MergeUpdate(fronts[0].RecentUpdate(later), later);
  CHECK(fronts[1].CrashCount(kCrashing) == 1);
}

TEST_CASE("a restarted front gets its crashes back from its peers",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(3);
  Crash(fronts[0], kCrashing, kStart);
  fronts[1].MergeUpdate(fronts[0].TakeUnsent(kStart), kStart);
  // The first front restarts.
  fronts[0] = CrashSuspects();
  absl::Time later = kStart + absl::Minutes(1);
  fronts[0].MergeUpdate(fronts[1].FullUpdate(later), later);
  CHECK(fronts[0].CrashCount(kCrashing) == 1);
}

TEST_CASE("a quarantine expires, and a further crash doubles its length",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  absl::Time now = kStart;
  for (int it = 0; it < 3; ++it) Crash(fronts[0], kCrashing, now);
  absl::Duration first = fronts[0].QuarantineLeft(kCrashing, now);
  CHECK(first > absl::ZeroDuration());
  now += first;
  for (CrashSuspects& it : fronts) it.Prune(now);
  CHECK_FALSE(fronts[0].IsQuarantined(kCrashing, now));
  Crash(fronts[0], kCrashing, now);
  CHECK(fronts[0].QuarantineLeft(kCrashing, now) == 2 * first);
  // A front that has just started learns the same quarantine.
  now += first;
  fronts[1].MergeUpdate(fronts[0].FullUpdate(now), now);
  CHECK(fronts[1].QuarantineLeft(kCrashing, now) == first);
  for (int it = 0; it < 40; ++it) Crash(fronts[0], kCrashing, now);
  CHECK(fronts[0].QuarantineLeft(kCrashing, now) == absl::Minutes(30));
}

// Fails if a front takes the time of receipt as that of the crash: while one
// front drops an entry the other still sends it, and it never expires.
TEST_CASE("expired crashes are not kept alive by fronts that resend them",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  absl::Time now = kStart;
  for (int it = 0; it < 3; ++it) Crash(fronts[0], kCrashing, now);
  for (int it = 0; it < 600; ++it) {
    now += absl::Seconds(1);
    CrashSuspects& from = fronts[it % 2];
    CrashSuspects& to = fronts[(it + 1) % 2];
    to.MergeUpdate(from.FullUpdate(now), now);
    for (CrashSuspects& front : fronts) front.Prune(now);
  }
  for (CrashSuspects& it : fronts) CHECK(it.CrashCount(kCrashing) == 0);
}

TEST_CASE("a completed run clears earlier crashes on every front",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  absl::Time now = kStart;
  for (int it = 0; it < 3; ++it) Crash(fronts[0], kCrashing, now);
  CrashUpdate old = fronts[0].FullUpdate(now);
  fronts[1].MergeUpdate(old, now);
  now += absl::Seconds(1);
  fronts[1].ReportCompleted(kCrashing, now);
  fronts[0].MergeUpdate(fronts[1].TakeUnsent(now), now);
  CHECK(fronts[0].CrashCount(kCrashing) == 0);
  // Delayed updates don't bring those back; later crashes count.
  old.crashed_runs[0].age += absl::Seconds(1);
  old.crashed_runs[1].age += absl::Seconds(1);
  old.crashed_runs[2].age += absl::Seconds(1);
  fronts[1].MergeUpdate(old, now);
  CHECK(fronts[1].CrashCount(kCrashing) == 0);
  now += absl::Seconds(1);
  Crash(fronts[1], kCrashing, now);
  fronts[0].MergeUpdate(fronts[1].TakeUnsent(now), now);
  CHECK(fronts[0].CrashCount(kCrashing) == 1);
}

TEST_CASE("a full table keeps the fingerprints with most crashes",
          "[dispatch]") {
  CrashSuspects front;
  for (int it = 0; it < 3; ++it) Crash(front, kCrashing, kStart);
  for (uint64_t it = 1000; it < 21000; ++it) {
    Crash(front, Fingerprint(it), kStart + absl::Milliseconds(it));
  }
  CHECK(front.CrashCount(kCrashing) == 3);
  // The newest fingerprint is kept, too.
  CHECK(front.CrashCount(Fingerprint(20999)) == 1);
  absl::Time now = kStart + absl::Seconds(22);
  CrashUpdate news = front.RecentUpdate(now);
  // The size of a datagram is bounded however much is known.
  CHECK(news.crashed_runs.size() <= 24);
  CHECK(front.FullUpdate(now).crashed_runs.size() <= 24);
  CHECK(news.crashed_runs[0].fingerprint == kCrashing);
}

TEST_CASE("crashes are recorded from the second one of a request",
          "[dispatch]") {
  std::vector<CrashSuspects> fronts = Fronts(2);
  Crash(fronts[0], kCrashing, kStart);
  Crash(fronts[0], Fingerprint(78), kStart);
  CHECK(fronts[0].Unrecorded(kStart).empty());
  Crash(fronts[1], kCrashing, kStart);
  fronts[0].MergeUpdate(fronts[1].TakeUnsent(kStart), kStart);
  std::vector<CrashedRun> runs = fronts[0].Unrecorded(kStart);
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].fingerprint == kCrashing);
  fronts[0].MarkRecorded(runs);
  CHECK(fronts[0].Unrecorded(kStart).empty());
}

TEST_CASE("a silent run counts when its server is found to have ended",
          "[dispatch]") {
  CrashSuspects front;
  LostRun run{kCrashing, kServer, kBorn, kStart, /*is_closed=*/false};
  absl::Time lost = kStart + absl::Seconds(2);
  front.ReportLost(run, lost);
  CHECK(front.CrashCount(kCrashing) == 0);
  front.ReportServerEnd(BackendName("s2"), lost);
  CHECK(front.CrashCount(kCrashing) == 0);
  front.ReportServerEnd(kServer, lost + absl::Seconds(5));
  CHECK(front.CrashCount(kCrashing) == 1);
  // It counts only once.
  front.ReportServerEnd(kServer, lost + absl::Seconds(5));
  CHECK(front.CrashCount(kCrashing) == 1);
}

TEST_CASE("a silent run counts if its server ended before the report",
          "[dispatch]") {
  CrashSuspects front;
  front.ReportServerEnd(kServer, kStart);
  absl::Time lost = kStart + absl::Seconds(2);
  LostRun before{kCrashing, kServer, kBorn, kStart - absl::Seconds(1), false};
  front.ReportLost(before, lost);
  CHECK(front.CrashCount(kCrashing) == 1);
  // This one was sent to the next start of the server.
  LostRun after{kCrashing, kServer, kBorn, kStart + absl::Seconds(1), false};
  front.ReportLost(after, lost);
  CHECK(front.CrashCount(kCrashing) == 1);
}

TEST_CASE("a silent run on a server that does not end is not a crash",
          "[dispatch]") {
  CrashSuspects front;
  front.ReportLost({kCrashing, kServer, kBorn, kStart, false}, kStart);
  absl::Time later = kStart + absl::Seconds(10);
  front.Settle(NeverHeard, later);
  front.ReportServerEnd(kServer, later);
  CHECK(front.CrashCount(kCrashing) == 0);
}

TEST_CASE("a closed connection counts unless its server sends anything later",
          "[dispatch]") {
  CrashSuspects front;
  front.ReportLost({kCrashing, kServer, kBorn, kStart, /*is_closed=*/true},
                   kStart);
  absl::Time heard = absl::InfinitePast();
  bool is_crash = true;
  SECTION("server sends nothing") {}
  SECTION("only bytes in flight arrive") {
    heard = kStart + absl::Milliseconds(20);
  }
  SECTION("server sends more") {
    heard = kStart + absl::Milliseconds(300);
    is_crash = false;
  }
  for (int ms = 0; ms <= 1000; ms += 100) {
    absl::Time now = kStart + absl::Milliseconds(ms);
    front.Settle([&](const BackendName&) { return std::min(heard, now); }, now);
  }
  CHECK(front.CrashCount(kCrashing) == (is_crash ? 1 : 0));
}

TEST_CASE("an undecided third closed connection quarantines at this front",
          "[dispatch]") {
  CrashSuspects front;
  for (const char* it : {"s1", "s2", "s3"}) {
    CHECK_FALSE(front.IsQuarantined(kCrashing, kStart));
    front.ReportLost({kCrashing, BackendName(it), kBorn, kStart, true}, kStart);
  }
  // The quarantine lasts no longer than the decision takes.
  absl::Duration left = front.QuarantineLeft(kCrashing, kStart);
  CHECK(left > absl::ZeroDuration());
  CHECK(left < absl::Seconds(1));
  CHECK(front.TakeUnsent(kStart).empty());
  absl::Time later = kStart + left;
  front.Settle([&](const BackendName&) { return later; }, later);
  CHECK_FALSE(front.IsQuarantined(kCrashing, later));
}

TEST_CASE("a completed run clears undecided lost runs", "[dispatch]") {
  CrashSuspects front;
  front.ReportLost({kCrashing, kServer, kBorn, kStart, /*is_closed=*/true},
                   kStart);
  front.ReportCompleted(kCrashing, kStart + absl::Milliseconds(200));
  front.Settle(NeverHeard, kStart + absl::Seconds(1));
  front.ReportServerEnd(kServer, kStart + absl::Seconds(1));
  CHECK(front.CrashCount(kCrashing) == 0);
}

// Crashes that the table keeps per fingerprint.
constexpr int kMaxCrashes = 12;

// Fronts that have received everything agree on the number of crashes, whatever
// datagrams were lost, duplicated or reordered.
TEST_CASE("merging crash sets is independent of order and repetition",
          "[dispatch]") {
  rc::prop("fronts agree after any order and number of merges", [] {
    std::vector<CrashSuspects> fronts = Fronts(4);
    std::vector<CrashUpdate> sent;
    int crashes = 0;
    int steps = *rc::gen::inRange(0, 40);
    absl::Time now = kStart;
    for (int it = 0; it < steps; ++it) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 50));
      size_t front = *rc::gen::inRange<size_t>(0, fronts.size());
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          if (crashes == kMaxCrashes) break;
          Crash(fronts[front], kCrashing, now);
          ++crashes;
          break;
        case 1:
          sent.push_back(fronts[front].TakeUnsent(now));
          break;
        case 2:
          sent.push_back(fronts[front].RecentUpdate(now));
          break;
        default:
          if (sent.empty()) break;
          fronts[front].MergeUpdate(
              sent[*rc::gen::inRange<size_t>(0, sent.size())], now);
      }
      for (const CrashSuspects& known : fronts) {
        RC_ASSERT(known.CrashCount(kCrashing) <=
                  static_cast<uint32_t>(crashes));
      }
    }
    for (const CrashSuspects& from : fronts) {
      for (CrashSuspects& to : fronts) {
        to.MergeUpdate(from.FullUpdate(now), now);
      }
    }
    for (const CrashSuspects& it : fronts) {
      RC_ASSERT(it.CrashCount(kCrashing) == static_cast<uint32_t>(crashes));
    }
  });
}

}  // namespace
}  // namespace chervilwick
