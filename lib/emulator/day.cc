// One emulated day.

#include "chervilwick/emulator/day.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "demand.h"
#include "engine_fleet.h"
#include "ideal_server.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kSampleInterval = absl::Milliseconds(100);
constexpr absl::Duration kIdealTick = absl::Milliseconds(10);
// Discovery has told of all engines within that time.
constexpr absl::Duration kWarmUp = absl::Seconds(1);
// After the last arrival everything has ended within that time.
constexpr absl::Duration kTail = absl::Seconds(60);
constexpr absl::Duration kBudgetWindow = absl::Seconds(10);

// Plays one day: clients before fronts before engines, and the ideal server
// beside them.
class DayPlayer {
 public:
  explicit DayPlayer(const DayOptions& options);

  DayReport Play();

 private:
  struct Client {
    EmulatedRequest request;
    size_t second = 0;  // of its arrival
    uint32_t returns_left = 0;
    bool was_refused = false;
    bool has_ended = false;
  };

  void StartFronts();
  // Calls back at an interval until the day's end.
  void Every(absl::Duration interval, const std::function<void()>& callback);
  size_t Second() const;

  void OnRequest(const EmulatedRequest& request);
  void Ask(uint64_t number);
  void OnOutcome(uint64_t number, const EmulatedOutcome& outcome);

  void Sample();
  void TickIdeal();
  void FinishReport();

  void Violate(std::string text) {
    report_.violations.push_back(std::move(text));
  }
  void CheckNeverRan(uint64_t number);
  void CheckInvariants();
  void CheckBudget();

  const DayOptions options_;
  EventQueue queue_;
  std::mt19937_64 random_;
  EngineFleet engines_;
  Demand demand_;
  std::vector<std::unique_ptr<FrontModel>> fronts_;
  IdealServer ideal_;
  std::map<uint64_t, Client> clients_;
  std::vector<absl::Time> tries_;
  std::vector<absl::Duration> first_events_;
  std::vector<int> samples_taken_;
  double arrived_in_tick_ = 0;
  absl::Time start_;
  DayReport report_;
};

DayPlayer::DayPlayer(const DayOptions& options)
    : options_(options),
      random_(options.seed + 1),
      engines_(options_, queue_,
               {[this](const BackendRecord& it) {
                  for (const auto& front : fronts_) front->OnRecord(it);
                },
                [this](const BackendName& it) {
                  for (const auto& front : fronts_) front->OnRemoved(it);
                }}),
      demand_(options_, queue_,
              [this](const EmulatedRequest& it) { OnRequest(it); }),
      ideal_(options),
      start_(queue_.now()) {}

void DayPlayer::Every(absl::Duration interval,
                      const std::function<void()>& callback) {
  queue_.After(interval, [this, interval, callback] {
    callback();
    if (queue_.now() < start_ + options_.length + kTail) {
      Every(interval, callback);
    }
  });
}

size_t DayPlayer::Second() const {
  return static_cast<size_t>(absl::ToDoubleSeconds(queue_.now() - start_));
}

void DayPlayer::StartFronts() {
  for (uint32_t n = 0; n < options_.fronts; ++n) {
    FrontModelOptions options = options_.front;
    options.fronts = options_.fronts;
    options.seed = random_();
    fronts_.push_back(MakeFront(queue_, engines_.models(),
                                absl::StrCat("front-", n), options));
  }
  std::vector<FrontModel*> all;
  for (const auto& it : fronts_) all.push_back(it.get());
  Every(options_.exchange_interval, [all] {
    for (FrontModel* it : all) it->Exchange(all);
  });
}

void DayPlayer::OnRequest(const EmulatedRequest& request) {
  Client& client = clients_[request.number];
  client.request = request;
  client.second = Second();
  client.returns_left = options_.returns;
  arrived_in_tick_ += 1;
  ++report_.counts.asked;
  report_.samples[client.second].asked += 1;
  Ask(request.number);
}

void DayPlayer::Ask(uint64_t number) {
  tries_.push_back(queue_.now());
  size_t front = random_() % fronts_.size();
  fronts_[front]->Submit(
      clients_[number].request,
      [this, number](const EmulatedOutcome& it) { OnOutcome(number, it); });
}

void DayPlayer::OnOutcome(uint64_t number, const EmulatedOutcome& outcome) {
  Client& client = clients_[number];
  if (client.has_ended) {
    Violate(absl::StrCat("request ", number, " ended twice"));
    return;
  }
  DayCounts& counts = report_.counts;
  bool came_back = client.returns_left != options_.returns;
  bool began_late = outcome.first_event > client.request.objective;
  bool paused = outcome.longest_pause > client.request.pause_objective;
  bool in_time = !came_back && !began_late && !paused;
  switch (outcome.kind) {
    case EmulatedOutcome::Kind::kWhole:
      first_events_.push_back(outcome.first_event);
      (in_time ? counts.on_time : counts.late) += 1;
      if (came_back) ++counts.late_came_back;
      if (!came_back && began_late) ++counts.late_began;
      if (in_time) report_.samples[client.second].on_time += 1;
      break;
    case EmulatedOutcome::Kind::kRefused:
      CheckNeverRan(number);
      if (client.returns_left > 0) {
        --client.returns_left;
        queue_.After(outcome.retry_after, [this, number] { Ask(number); });
        return;
      }
      client.was_refused = true;
      ++counts.refused;
      break;
    case EmulatedOutcome::Kind::kFailed:
    case EmulatedOutcome::Kind::kCut:
      ++counts.failed;
      break;
    case EmulatedOutcome::Kind::kLeft:
      ++counts.left;
      break;
  }
  client.has_ended = true;
}

void DayPlayer::Sample() {
  size_t second = Second();
  if (second >= report_.samples.size()) return;
  DaySample& sample = report_.samples[second];
  ++samples_taken_[second];
  for (const auto& it : fronts_) {
    sample.waiting += static_cast<double>(it->waiting());
  }
  sample.memory += engines_.MemoryShare();
}

void DayPlayer::TickIdeal() {
  ideal_.SetEngines(engines_.EnginesUp());
  ideal_.Tick(queue_.now(), kIdealTick, std::exchange(arrived_in_tick_, 0));
}

void DayPlayer::CheckNeverRan(uint64_t number) {
  if (engines_.Runs(number) == 0) return;
  Violate(absl::StrCat("request ", number, " was refused as not run, but ran"));
}

void DayPlayer::CheckInvariants() {
  if (report_.counts.Ended() != report_.counts.asked) {
    Violate(absl::StrCat(report_.counts.asked, " requests, but ",
                         report_.counts.Ended(), " ends"));
  }
  for (const auto& it : fronts_) {
    if (!it->IsIdle()) Violate("a front holds places after the day");
  }
  for (const auto& it : engines_.models()) {
    if (it.second->running() != 0 || it.second->memory_used() != 0) {
      Violate(absl::StrCat(it.first.value(), " still runs something"));
    }
  }
  // Not later either.
  for (const auto& it : clients_) {
    if (it.second.was_refused) CheckNeverRan(it.first);
  }
  CheckBudget();
}

void DayPlayer::CheckBudget() {
  std::vector<absl::Time> repeats;
  for (const auto& it : fronts_) {
    repeats.insert(repeats.end(), it->repeats().begin(), it->repeats().end());
  }
  std::sort(repeats.begin(), repeats.end());
  report_.repeats = repeats.size();
  for (size_t last = 0; last < repeats.size(); ++last) {
    absl::Time from = repeats[last] - kBudgetWindow;
    auto count = [&](const std::vector<absl::Time>& times) {
      auto begin = std::upper_bound(times.begin(), times.end(), from);
      auto end = std::upper_bound(times.begin(), times.end(), repeats[last]);
      return static_cast<double>(end - begin);
    };
    double allowed =
        options_.front.retry_ratio * count(tries_) + options_.front.retry_slack;
    if (count(repeats) <= allowed) continue;
    Violate(absl::StrCat(count(repeats), " repeated sends in a window, ",
                         allowed, " allowed"));
    return;
  }
}

void DayPlayer::FinishReport() {
  for (size_t it = 0; it < report_.samples.size(); ++it) {
    DaySample& sample = report_.samples[it];
    double taken = std::max(1, samples_taken_[it]);
    sample.waiting /= taken;
    sample.memory /= taken;
    if (it < ideal_.on_time().size()) sample.ideal = ideal_.on_time()[it];
    report_.ideal += sample.ideal;
  }
  report_.tries = tries_.size();
  uint64_t taken = 0;
  for (const auto& it : engines_.models()) {
    report_.preemptions += it.second->preemptions();
    report_.prompts_wasted += it.second->prompts_read();
    taken += it.second->prompts_taken();
  }
  report_.prompts_wasted -= std::min(taken, report_.prompts_wasted);
  if (first_events_.empty()) return;
  std::sort(first_events_.begin(), first_events_.end());
  report_.first_event_p50 = first_events_[first_events_.size() / 2];
  report_.first_event_p99 = first_events_[first_events_.size() * 99 / 100];
}

DayReport DayPlayer::Play() {
  // A batch may come a little after the end.
  auto seconds = static_cast<size_t>(absl::ToInt64Seconds(options_.length)) + 2;
  report_.samples.resize(seconds);
  samples_taken_.resize(seconds);
  StartFronts();
  engines_.Start(random_);
  queue_.RunUntil(queue_.now() + kWarmUp);
  start_ = queue_.now();
  engines_.StartFaults();
  Every(kSampleInterval, [this] { Sample(); });
  Every(kIdealTick, [this] { TickIdeal(); });
  demand_.Start();
  queue_.RunUntil(start_ + options_.length + kTail);
  FinishReport();
  CheckInvariants();
  return report_;
}

}  // namespace

DayReport PlayDay(const DayOptions& options) {
  return DayPlayer(options).Play();
}

}  // namespace chervilwick
