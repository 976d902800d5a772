// One emulated day.

#include "chervilwick/emulator/day.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"
#include "ideal_server.h"

namespace chervilwick {
namespace {

// Discovery's word reaches fronts after that time.
constexpr absl::Duration kDiscoveryDelay = absl::Milliseconds(150);
// The entry of an engine that crashed lapses after that time.
constexpr absl::Duration kLapse = absl::Milliseconds(1500);
constexpr absl::Duration kSampleInterval = absl::Milliseconds(100);
constexpr absl::Duration kIdealTick = absl::Milliseconds(10);
constexpr absl::Duration kDrainPoll = absl::Milliseconds(100);
// After the last arrival everything has ended within that time.
constexpr absl::Duration kTail = absl::Seconds(60);
constexpr absl::Duration kBudgetWindow = absl::Seconds(10);
// Highest multiple of the mean demand that is drawn from.
constexpr double kMaxFactor = 8;
// Mean of 2^x for x uniform over [-1, 1], by which sizes vary.
constexpr double kMeanOfPower = 1.082;

class DayPlayer {
 public:
  explicit DayPlayer(const DayOptions& options)
      : options_(options),
        demand_random_(options.seed),
        random_(options.seed + 1),
        ideal_(options) {}

  DayReport Play();

 private:
  struct Client {
    EmulatedRequest request;
    size_t second = 0;  // of its arrival
    uint32_t returns_left = 0;
    bool was_refused = false;
    bool has_ended = false;
  };

  void StartEngines();
  void StartFronts();
  void StartFaults();
  void Tell(const BackendRecord& record);
  void TellRemoved(const BackendName& id);
  // Calls back at an interval until the day's end.
  void Every(absl::Duration interval, const std::function<void()>& callback);

  double FactorAt(absl::Duration at) const;
  void NextArrival();
  absl::Duration ToNextBatch(absl::Duration at) const;
  void Arrive();
  int64_t DrawSize(int64_t mean);
  void Ask(uint64_t number);
  void OnOutcome(uint64_t number, const EmulatedOutcome& outcome);

  void Play(const EngineCrash& fault);
  void Play(const EngineSlow& fault);
  void Play(const EngineDrain& fault);
  void Play(const LostAnswers& fault);
  void AwaitEmpty(const BackendName& id);
  double EnginesUp() const;

  void Sample();
  void CheckInvariants();
  void CheckBudget();
  void CheckRefusedNeverRan();

  const DayOptions options_;
  // Its own, so that every policy is asked for the same.
  std::mt19937_64 demand_random_;
  std::mt19937_64 random_;
  EventQueue queue_;
  EngineFleet engines_;
  std::vector<BackendName> names_;
  std::map<BackendName, BackendRecord> records_;
  std::map<BackendName, double> slowness_;
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

void DayPlayer::Every(absl::Duration interval,
                      const std::function<void()>& callback) {
  queue_.After(interval, [this, interval, callback] {
    callback();
    if (queue_.now() < start_ + options_.length + kTail) {
      Every(interval, callback);
    }
  });
}

void DayPlayer::StartEngines() {
  auto add = [&](const std::string& name, EngineStage stage) {
    BackendRecord record;
    record.id = BackendName(name);
    record.service = options_.front.service;
    record.zone = ZoneName("a");
    record.slots = options_.front.engine.slots;
    record.stage = stage;
    record.born_unix_ms = 1;
    names_.push_back(record.id);
    records_[record.id] = record;
    engines_[record.id] = std::make_unique<EngineModel>(
        queue_, options_.front.engine, stage, random_());
    Tell(record);
  };
  for (uint32_t n = 0; n < options_.prefill_engines; ++n) {
    add(absl::StrCat("p", n), EngineStage::kPrefill);
  }
  for (uint32_t n = 0; n < options_.decode_engines; ++n) {
    add(absl::StrCat("d", n), EngineStage::kDecode);
  }
}

void DayPlayer::StartFronts() {
  for (uint32_t n = 0; n < options_.fronts; ++n) {
    FrontModelOptions options = options_.front;
    options.fronts = options_.fronts;
    options.seed = random_();
    fronts_.push_back(
        MakeFront(queue_, engines_, absl::StrCat("front-", n), options));
  }
  std::vector<FrontModel*> all;
  for (const auto& it : fronts_) all.push_back(it.get());
  Every(options_.exchange_interval, [all] {
    for (FrontModel* it : all) it->Exchange(all);
  });
}

void DayPlayer::Tell(const BackendRecord& record) {
  records_[record.id] = record;
  queue_.After(kDiscoveryDelay, [this, record] {
    for (const auto& it : fronts_) it->OnRecord(record);
  });
}

void DayPlayer::TellRemoved(const BackendName& id) {
  queue_.After(kDiscoveryDelay, [this, id] {
    for (const auto& it : fronts_) it->OnRemoved(id);
  });
}

void DayPlayer::StartFaults() {
  for (const EngineFault& fault : options_.faults) {
    std::visit(
        [this](const auto& it) {
          queue_.After(it.at, [this, it] { Play(it); });
        },
        fault);
  }
}

void DayPlayer::Play(const EngineCrash& fault) {
  BackendName id = names_[fault.engine % names_.size()];
  if (!engines_[id]->is_up()) return;
  engines_[id]->Crash();
  if (fault.length > kLapse) {
    queue_.After(kLapse, [this, id] { TellRemoved(id); });
  }
  queue_.After(fault.length, [this, id] {
    engines_[id]->Restart();
    ++records_[id].born_unix_ms;
    Tell(records_[id]);
  });
}

void DayPlayer::Play(const EngineSlow& fault) {
  BackendName id = names_[fault.engine % names_.size()];
  slowness_[id] = fault.factor;
  engines_[id]->SetSlowness(fault.factor);
  queue_.After(fault.length, [this, id] {
    slowness_[id] = 1;
    engines_[id]->SetSlowness(1);
  });
}

void DayPlayer::Play(const EngineDrain& fault) {
  BackendName id = names_[fault.engine % names_.size()];
  records_[id].draining = true;
  Tell(records_[id]);
  queue_.After(2 * kDiscoveryDelay, [this, id] { AwaitEmpty(id); });
}

void DayPlayer::AwaitEmpty(const BackendName& id) {
  if (engines_[id]->running() == 0) {
    engines_[id]->Crash();
    TellRemoved(id);
    return;
  }
  queue_.After(kDrainPoll, [this, id] { AwaitEmpty(id); });
}

void DayPlayer::Play(const LostAnswers& fault) {
  for (const auto& it : engines_) it.second->SetLostAnswers(fault.share);
  queue_.After(fault.length, [this] {
    for (const auto& it : engines_) it.second->SetLostAnswers(0);
  });
}

double DayPlayer::EnginesUp() const {
  double up = 0;
  for (const auto& it : engines_) {
    auto record = records_.find(it.first);
    if (!it.second->is_up() || record->second.draining) continue;
    auto slow = slowness_.find(it.first);
    up += slow == slowness_.end() ? 1 : 1 / slow->second;
  }
  return up;
}

double DayPlayer::FactorAt(absl::Duration at) const {
  double factor = 1;
  for (const DemandSurge& it : options_.surges) {
    if (at < it.start || at > it.start + it.length) continue;
    double risen = std::min(1.0, absl::FDivDuration(at - it.start, it.rise));
    factor *= 1 + (it.factor - 1) * risen;
  }
  return std::min(factor, kMaxFactor);
}

void DayPlayer::NextArrival() {
  // Thinning: candidates come at the highest rate, and some are taken.
  std::exponential_distribution<double> wait(options_.requests_per_second *
                                             kMaxFactor);
  queue_.After(absl::Seconds(wait(demand_random_)), [this] {
    absl::Duration at = queue_.now() - start_;
    if (at > options_.length) return;
    double draw = std::uniform_real_distribution<double>()(demand_random_);
    if (draw < FactorAt(at) / kMaxFactor) {
      queue_.After(ToNextBatch(at), [this] { Arrive(); });
    }
    NextArrival();
  });
}

absl::Duration DayPlayer::ToNextBatch(absl::Duration at) const {
  if (options_.arrival_interval == absl::ZeroDuration()) {
    return absl::ZeroDuration();
  }
  return options_.arrival_interval - at % options_.arrival_interval;
}

int64_t DayPlayer::DrawSize(int64_t mean) {
  double exponent =
      std::uniform_real_distribution<double>(-1, 1)(demand_random_);
  return std::max<int64_t>(1, std::llround(static_cast<double>(mean) *
                                           std::exp2(exponent) / kMeanOfPower));
}

void DayPlayer::Arrive() {
  uint64_t number = clients_.size() + 1;
  Client& client = clients_[number];
  EmulatedRequest& request = client.request;
  auto draw = [this] {
    return std::uniform_real_distribution<double>()(demand_random_);
  };
  request.number = number;
  request.priority = draw() < options_.urgent_share ? 0 : 1;
  request.prompt_tokens = DrawSize(options_.prompt_tokens);
  request.output_tokens = DrawSize(options_.output_tokens);
  // Clients guess their answer's length within a fifth.
  request.output_hint = static_cast<uint32_t>(std::max(
      1.0, static_cast<double>(request.output_tokens) * (0.8 + 0.4 * draw())));
  request.objective = options_.objective;
  request.pause_objective = options_.pause_objective;
  request.resumable = draw() < options_.resumable_share;
  client.second =
      static_cast<size_t>(absl::ToDoubleSeconds(queue_.now() - start_));
  client.returns_left = options_.returns;
  arrived_in_tick_ += 1;
  ++report_.counts.asked;
  report_.samples[client.second].asked += 1;
  Ask(number);
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
    report_.violations.push_back(
        absl::StrCat("request ", number, " ended twice"));
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
  auto second =
      static_cast<size_t>(absl::ToDoubleSeconds(queue_.now() - start_));
  if (second >= report_.samples.size()) return;
  DaySample& sample = report_.samples[second];
  ++samples_taken_[second];
  for (const auto& it : fronts_) {
    sample.waiting += static_cast<double>(it->waiting());
  }
  double used = 0;
  double all = 0;
  for (const auto& it : engines_) {
    if (it.second->stage() != EngineStage::kDecode || !it.second->is_up()) {
      continue;
    }
    used += static_cast<double>(it.second->memory_used());
    all += static_cast<double>(options_.front.engine.memory_tokens);
  }
  if (all > 0) sample.memory += used / all;
}

void DayPlayer::CheckInvariants() {
  if (report_.counts.Ended() != report_.counts.asked) {
    report_.violations.push_back(absl::StrCat(report_.counts.asked,
                                              " requests, but ",
                                              report_.counts.Ended(), " ends"));
  }
  for (const auto& it : fronts_) {
    if (!it->IsIdle()) {
      report_.violations.push_back("a front holds places after the day");
    }
  }
  for (const auto& it : engines_) {
    if (it.second->running() != 0 || it.second->memory_used() != 0) {
      report_.violations.push_back(
          absl::StrCat(it.first.value(), " still runs something"));
    }
  }
  CheckRefusedNeverRan();
  CheckBudget();
}

void DayPlayer::CheckRefusedNeverRan() {
  for (const auto& it : clients_) {
    if (!it.second.was_refused) continue;
    for (const auto& engine : engines_) {
      if (engine.second->runs().count(it.first) == 0) continue;
      report_.violations.push_back(absl::StrCat(
          "request ", it.first, " was refused as not run, but ran"));
    }
  }
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
    report_.violations.push_back(absl::StrCat(
        count(repeats), " repeated sends in a window, ", allowed, " allowed"));
    return;
  }
}

DayReport DayPlayer::Play() {
  // A batch may come a little after the end.
  auto seconds = static_cast<size_t>(absl::ToInt64Seconds(options_.length)) + 2;
  report_.samples.resize(seconds);
  samples_taken_.resize(seconds);
  StartFronts();
  StartEngines();
  queue_.RunUntil(queue_.now() + absl::Seconds(1));
  start_ = queue_.now();
  StartFaults();
  Every(kSampleInterval, [this] { Sample(); });
  Every(kIdealTick, [this] {
    ideal_.SetEngines(EnginesUp());
    ideal_.Tick(queue_.now(), kIdealTick, std::exchange(arrived_in_tick_, 0));
  });
  NextArrival();
  queue_.RunUntil(start_ + options_.length + kTail);
  for (size_t it = 0; it < seconds; ++it) {
    double taken = std::max(1, samples_taken_[it]);
    report_.samples[it].waiting /= taken;
    report_.samples[it].memory /= taken;
    if (it < ideal_.on_time().size()) {
      report_.samples[it].ideal = ideal_.on_time()[it];
    }
    report_.ideal += report_.samples[it].ideal;
  }
  report_.tries = tries_.size();
  uint64_t taken = 0;
  for (const auto& it : engines_) {
    report_.preemptions += it.second->preemptions();
    report_.prompts_wasted += it.second->prompts_read();
    taken += it.second->prompts_taken();
  }
  report_.prompts_wasted -= std::min(taken, report_.prompts_wasted);
  if (!first_events_.empty()) {
    std::sort(first_events_.begin(), first_events_.end());
    report_.first_event_p50 = first_events_[first_events_.size() / 2];
    report_.first_event_p99 = first_events_[first_events_.size() * 99 / 100];
  }
  CheckInvariants();
  return report_;
}

}  // namespace

DayReport PlayDay(const DayOptions& options) {
  return DayPlayer(options).Play();
}

const std::vector<std::string>& DayNames() {
  static const auto& names = *new std::vector<std::string>{
      "calm", "surge", "crash", "slow", "lossy", "drain"};
  return names;
}

DayOptions NamedDay(const std::string& name) {
  DayOptions day;
  day.name.clear();
  for (const std::string& it : DayNames()) {
    if (it == name) day.name = name;
  }
  if (name == "calm") return day;
  day.requests_per_second = 14;
  // Twice the demand, and more than the engines' speed for a while.
  day.surges = {{absl::Seconds(14), absl::Seconds(20)},
                {absl::Seconds(20), absl::Seconds(8), absl::Seconds(1), 1.7}};
  if (name == "crash") {
    day.faults = {EngineCrash{3, absl::Seconds(17), absl::Seconds(5)},
                  EngineCrash{7, absl::Seconds(19), absl::Seconds(6)},
                  EngineCrash{0, absl::Seconds(22), absl::Seconds(4)}};
  } else if (name == "slow") {
    day.faults = {EngineSlow{5, absl::Seconds(15), absl::Seconds(12), 3},
                  EngineSlow{1, absl::Seconds(18), absl::Seconds(8), 3}};
  } else if (name == "lossy") {
    day.faults = {LostAnswers{absl::Seconds(12), absl::Seconds(20), 0.15}};
  } else if (name == "drain") {
    day.faults = {EngineDrain{4, absl::Seconds(16)},
                  EngineDrain{8, absl::Seconds(18)}};
  }
  return day;
}

}  // namespace chervilwick
