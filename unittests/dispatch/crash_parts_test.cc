// Parts of prompts that crash the servers that write an answer on them, played
// on several fronts without a network.

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/dispatch/crash_suspects.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(50);
constexpr absl::Duration kSettleInterval = absl::Milliseconds(100);
constexpr absl::Duration kDigestInterval = absl::Milliseconds(1200);
constexpr absl::Duration kPromptTime = absl::Milliseconds(150);
constexpr absl::Duration kWritingTime = absl::Milliseconds(2500);
constexpr absl::Duration kDownTime = absl::Seconds(3);
constexpr absl::Duration kFullSyncTime = absl::Seconds(4);
// The users' bounds: fronts agree within kContact, which begins at the fifth
// crash; three more requests may reach servers. Later, half of the sound
// requests at least have to be sent.
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr int kFreeCrashes = 5;
constexpr int kMaxLate = 3;
constexpr double kMinSoundShare = 0.5;

struct Load {
  size_t fronts = 4;
  int servers = 12;
  double sound_per_s = 10;
  double deadly_per_s = 1;
  uint32_t shared_parts = 1;  // of a sound prompt; its own part follows
  int deadly_parts = 1;
  double loss = 0;  // of datagrams
  // Seconds between other crashes, of this many servers at a time; 0: none.
  double crash_every_s = 0;
  int crash_together = 1;
  double restart_every_s = 0;   // of one front after the other; 0: never
  bool begins_at_once = false;  // deadly requests, before any sound one ended
};

struct Outcome {
  int crashes = 0;  // by deadly requests
  int late = 0;     // most of one part, after its fifth crash and kContact
  int sound = 0;    // sent or not, after the fifth crash and twice kContact
  int sound_sent = 0;

  double SoundShare() const {
    return sound == 0 ? 1 : static_cast<double>(sound_sent) / sound;
  }
};

class Fleet {
 public:
  Fleet(const Load& load, uint32_t seed) : load_(load), random_(seed) {
    for (size_t it = 0; it < load.fronts; ++it) {
      fronts_.emplace_back();
      fronts_.back().suspects.SetTrialDelay(absl::Seconds(it));
    }
    servers_.resize(load.servers);
    last_crash_.resize(load.deadly_parts, absl::InfinitePast());
    crashes_.resize(load.deadly_parts);
    late_.resize(load.deadly_parts);
  }

  Outcome Run(absl::Duration time) {
    absl::Time end = now_ + time;
    absl::Time poisoned = load_.begins_at_once ? now_ : now_ + absl::Seconds(4);
    for (; now_ < end; now_ += kStep) {
      if (Happens(load_.sound_per_s)) Arrive(-1);
      if (now_ >= poisoned && Happens(load_.deadly_per_s)) {
        Arrive(Pick(load_.deadly_parts));
      }
      if (load_.crash_every_s > 0 && Happens(1 / load_.crash_every_s)) {
        for (int it = 0; it < load_.crash_together; ++it) {
          End(Pick(load_.servers));
        }
      }
      if (load_.restart_every_s > 0 && Happens(1 / load_.restart_every_s)) {
        Restart(fronts_[Pick(static_cast<int>(fronts_.size()))]);
      }
      Advance();
      Exchange();
    }
    Outcome outcome = outcome_;
    outcome.late = *std::max_element(late_.begin(), late_.end());
    return outcome;
  }

  void SetCrashes(double every_s, int together) {
    load_.crash_every_s = every_s;
    load_.crash_together = together;
  }

  const CrashSuspects& front(size_t n) const { return fronts_[n].suspects; }

  static Fingerprint Deadly(int n) {
    return Fingerprint(900 + static_cast<uint64_t>(n));
  }
  static Fingerprint Shared(uint32_t n) { return Fingerprint(100 + n); }

 private:
  struct Front {
    CrashSuspects suspects;
    absl::Time digest_due = kStart;
    absl::Time started = absl::InfinitePast();
    std::map<int, absl::Time> heard;  // by server
  };
  struct Server {
    int64_t born = 1;
    absl::Time up_at = absl::InfinitePast();
  };
  struct ActiveRun {
    size_t front = 0;
    int server = 0;
    int64_t born = 0;
    RequestContent content;
    int deadly = -1;
    absl::Time sent;
    bool is_written = false;
  };

  bool Happens(double per_s) {
    return std::uniform_real_distribution<>(0, 1)(random_) <
           per_s * absl::ToDoubleSeconds(kStep);
  }
  int Pick(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

  static BackendName Name(int server) {
    return BackendName(absl::StrCat("b", server));
  }

  // The shared parts, and a deadly one before, between or behind them.
  RequestContent MakeContent(int deadly) {
    RequestContent content;
    content.request = Fingerprint(1000000 + ++requests_);
    for (uint32_t it = 0; it < load_.shared_parts; ++it) {
      content.parts.push_back(Shared(it));
    }
    if (deadly >= 0) {
      // Behind the first part, which the sound requests of a route share.
      int place = 1 + deadly % static_cast<int>(load_.shared_parts);
      content.parts.insert(content.parts.begin() + place, Deadly(deadly));
    }
    return content;
  }

  void Arrive(int deadly) {
    size_t front = static_cast<size_t>(Pick(static_cast<int>(load_.fronts)));
    CrashSuspects& suspects = fronts_[front].suspects;
    RequestContent content = MakeContent(deadly);
    bool is_sent = !suspects.IsQuarantined(content, now_);
    absl::Time fifth = FifthCrash();
    if (deadly < 0 && fifth + 2 * kContact < now_) {
      ++outcome_.sound;
      if (is_sent) ++outcome_.sound_sent;
    }
    if (!is_sent) return;
    std::vector<int> up;
    for (int it = 0; it < load_.servers; ++it) {
      if (servers_[it].up_at <= now_) up.push_back(it);
    }
    if (up.empty()) return;
    int server = up[static_cast<size_t>(Pick(static_cast<int>(up.size())))];
    suspects.ReportSent(content, now_);
    runs_.push_back(
        {front, server, servers_[server].born, content, deadly, now_, false});
    // A front that has just started is not in touch.
    bool is_in_touch = now_ - fronts_[front].started > kContact;
    if (deadly >= 0 && is_in_touch && crashes_[deadly] >= kFreeCrashes &&
        now_ > last_crash_[deadly] + kContact) {
      ++late_[deadly];
    }
  }

  // Of the deadly part that had it first.
  absl::Time FifthCrash() const {
    absl::Time first = absl::InfiniteFuture();
    for (size_t it = 0; it < crashes_.size(); ++it) {
      if (crashes_[it] > 0) first = std::min(first, last_crash_[it]);
    }
    return first;
  }

  void CountCrash(int deadly) {
    ++outcome_.crashes;
    ++crashes_[deadly];
    if (crashes_[deadly] <= kFreeCrashes) last_crash_[deadly] = now_;
  }

  void End(int number) {
    Server& server = servers_[number];
    if (server.up_at > now_) return;
    server.up_at = now_ + kDownTime;
    for (auto it = runs_.begin(); it != runs_.end();) {
      if (it->server != number) {
        ++it;
        continue;
      }
      fronts_[it->front].suspects.ReportLost(
          {it->content.request, Name(number), it->born, it->sent,
           /*is_closed=*/true, it->content.parts},
          now_);
      it = runs_.erase(it);
    }
    ++server.born;
  }

  void Restart(Front& front) {
    front.suspects = CrashSuspects();
    front.started = now_;
    size_t number = static_cast<size_t>(&front - fronts_.data());
    for (auto it = runs_.begin(); it != runs_.end();) {
      it = it->front == number ? runs_.erase(it) : std::next(it);
    }
  }

  void Advance() {
    std::vector<std::pair<int, int>> ending;
    for (auto it = runs_.begin(); it != runs_.end();) {
      Front& front = fronts_[it->front];
      absl::Duration age = now_ - it->sent;
      if (age >= kPromptTime) front.heard[it->server] = now_;
      if (it->deadly >= 0 && age >= kPromptTime) {
        ending.emplace_back(it->server, it->deadly);
      }
      if (!it->is_written && age >= kPromptTime + CrashSuspects::kWrittenTime) {
        it->is_written = true;
        front.suspects.ReportWritten(it->content.parts, now_);
      }
      if (age < kWritingTime) {
        ++it;
        continue;
      }
      front.suspects.ReportCompleted(it->content, now_);
      it = runs_.erase(it);
    }
    for (const auto& [server, deadly] : ending) {
      if (servers_[server].up_at > now_) continue;
      CountCrash(deadly);
      End(server);
    }
  }

  bool IsDue(absl::Duration interval) const {
    return (now_ - kStart) % interval < kStep;
  }

  void Send(size_t from, const CrashUpdate& news) {
    if (news.empty()) return;
    for (size_t to = 0; to < fronts_.size(); ++to) {
      if (to == from) continue;
      if (std::uniform_real_distribution<>(0, 1)(random_) < load_.loss) {
        continue;
      }
      fronts_[to].suspects.MergeUpdate(news, now_);
    }
  }

  void Exchange() {
    for (size_t it = 0; it < fronts_.size(); ++it) {
      Front& front = fronts_[it];
      if (IsDue(kSettleInterval)) {
        front.suspects.Settle(
            [&](const BackendName& name) {
              auto heard = front.heard.find(std::stoi(name.value().substr(1)));
              return heard == front.heard.end() ? absl::InfinitePast()
                                                : heard->second;
            },
            now_);
        front.suspects.Prune(now_);
      }
      if (IsDue(kUpdateInterval)) Send(it, front.suspects.TakeUnsent(now_));
      if (now_ < front.digest_due) continue;
      front.digest_due = now_ + kDigestInterval;
      bool is_new =
          std::any_of(fronts_.begin(), fronts_.end(), [&](const Front& other) {
            return now_ - other.started < kFullSyncTime;
          });
      Send(it, is_new ? front.suspects.FullUpdate(now_)
                      : front.suspects.RecentUpdate(now_));
    }
  }

  Load load_;
  std::mt19937 random_;
  absl::Time now_ = kStart;
  std::vector<Front> fronts_;
  std::vector<Server> servers_;
  std::list<ActiveRun> runs_;
  uint64_t requests_ = 0;
  Outcome outcome_;
  std::vector<absl::Time> last_crash_;  // up to the fifth, by deadly part
  std::vector<int> crashes_;
  std::vector<int> late_;
};

void CheckBounds(const Load& load, int seeds = 5) {
  for (int seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(load, static_cast<uint32_t>(seed));
    Outcome outcome = fleet.Run(absl::Seconds(40));
    INFO(load.fronts << " fronts, " << load.shared_parts << " shared parts, "
                     << load.deadly_parts << " deadly, " << load.deadly_per_s
                     << "/s, seed " << seed << ": " << outcome.crashes
                     << " crashes");
    CHECK(outcome.late <= kMaxLate);
    CHECK(outcome.SoundShare() >= kMinSoundShare);
  }
}

TEST_CASE("deadly part is refused, and sound ones are not, on any fleet",
          "[dispatch][parts]") {
  for (size_t fronts : {1, 2, 4, 9, 33}) {
    for (uint32_t parts : {1, 2, 3}) {
      Load load;
      load.fronts = fronts;
      load.shared_parts = parts;
      CheckBounds(load, 3);
    }
  }
}

TEST_CASE("deadly part is refused however often it comes",
          "[dispatch][parts]") {
  for (double per_s : {0.2, 0.5, 2.0, 5.0, 15.0}) {
    Load load;
    load.deadly_per_s = per_s;
    CheckBounds(load);
    load.fronts = 33;
    load.servers = 48;
    load.sound_per_s = 30;
    CheckBounds(load, 2);
  }
}

TEST_CASE("several deadly parts at once are each refused",
          "[dispatch][parts]") {
  for (int deadly : {2, 3, 5}) {
    Load load;
    load.deadly_parts = deadly;
    load.deadly_per_s = deadly;
    load.shared_parts = 2;
    CheckBounds(load);
  }
}

TEST_CASE("sound parts of a rare route are not blamed for a deadly one",
          "[dispatch][parts]") {
  for (double sound : {0.3, 1.0}) {
    Load load;
    load.sound_per_s = sound;
    load.deadly_per_s = 2;
    load.shared_parts = 2;
    CheckBounds(load, 10);
  }
}

TEST_CASE("deadly part is refused where datagrams are lost",
          "[dispatch][parts]") {
  for (double loss : {0.1, 0.3, 0.6}) {
    Load load;
    load.loss = loss;
    load.fronts = 9;
    load.deadly_per_s = 2;
    CheckBounds(load);
  }
}

TEST_CASE("deadly part stays refused while fronts restart",
          "[dispatch][parts]") {
  Load load;
  load.restart_every_s = 2;
  load.deadly_per_s = 2;
  CheckBounds(load);
}

TEST_CASE("crashes with other causes blame no sound part",
          "[dispatch][parts]") {
  for (int together : {1, 2, 4}) {
    Load load;
    load.crash_every_s = 1;
    load.crash_together = together;
    CheckBounds(load);
    load.deadly_per_s = 0;
    for (uint32_t seed = 1; seed <= 5; ++seed) {
      Fleet fleet(load, seed);
      fleet.Run(absl::Seconds(40));
      for (size_t it = 0; it < load.fronts; ++it) {
        CHECK(fleet.front(it).blamed().empty());
      }
    }
  }
}

TEST_CASE("route is served again after an outage that ended all of its runs",
          "[dispatch][parts]") {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    Load load;
    load.deadly_per_s = 0;
    Fleet fleet(load, seed);
    fleet.Run(absl::Seconds(6));
    fleet.SetCrashes(/*every_s=*/0.5, /*together=*/12);
    fleet.Run(absl::Seconds(8));
    fleet.SetCrashes(0, 0);
    fleet.Run(absl::Seconds(30));
    for (size_t it = 0; it < load.fronts; ++it) {
      INFO("seed " << seed << " front " << it);
      CHECK(fleet.front(it).blamed().empty());
    }
  }
}

TEST_CASE("part that was deadly from the start is told from the route's own",
          "[dispatch][parts]") {
  Load load;
  load.begins_at_once = true;
  load.deadly_per_s = 3;
  load.shared_parts = 2;
  CheckBounds(load, 20);
}

}  // namespace
}  // namespace chervilwick
