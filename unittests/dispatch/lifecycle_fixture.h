// Test fixture: one stream on a small fleet, without a network.

#ifndef CHERVILWICK_UNITTESTS_DISPATCH_LIFECYCLE_FIXTURE_H_
#define CHERVILWICK_UNITTESTS_DISPATCH_LIFECYCLE_FIXTURE_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chervilwick/dispatch/stream_lifecycle.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {

inline const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
inline const ServiceName kService("models");
inline const Fingerprint kFingerprint(7);
inline const Fingerprint kSharedPart(70);
inline constexpr absl::Duration kStep = absl::Milliseconds(20);

// Records the calls of the lifecycle.
class RecordingPort : public StreamPort {
 public:
  absl::Duration EventTimeout() const override { return absl::Seconds(3); }
  absl::Duration HandleLifetime() const override {
    return absl::Milliseconds(500);
  }
  bool TakeRepeat() override {
    if (repeats_left <= 0) return false;
    --repeats_left;
    return true;
  }
  void ReturnRepeat() override { ++repeats_left; }
  bool HasRepeats(uint32_t repeats) override {
    // Negative once requests leave the window.
    return repeats_left >= static_cast<int>(repeats);
  }
  void ReservePlace(const BackendName& engine,
                    int64_t /*memory_tokens*/) override {
    reservations.push_back(engine.value());
  }
  void DropReservation() override { ++dropped_reservations; }
  void SendPrompt(const BackendName& engine) override {
    if (!open_prompt.empty()) ++overlapping_calls;
    prompts.push_back(engine.value());
    open_prompt = engine.value();
  }
  void SendDecode(const BackendName& engine, bool with_handle) override {
    if (!open_decode.empty()) ++overlapping_calls;
    open_decode = engine.value();
    decodes.push_back(engine.value());
    with_handles.push_back(with_handle);
  }
  void AskStart(const BackendName& engine) override {
    start_questions.push_back(engine.value());
  }
  void OnSoftwareKnown() override { ++times_software_known; }
  bool CancelPrompt(absl::string_view /*sign*/) override {
    cancelled.push_back(open_prompt);
    cancelled_prompts.push_back(lifecycle->prompt_engine().value());
    open_prompt.clear();
    return prompt_was_sent;
  }
  bool CancelDecode(absl::string_view /*sign*/) override {
    cancelled.push_back(open_decode);
    open_decode.clear();
    return true;
  }
  void ArmTimer(absl::Duration delay) override { timer_delay = delay; }
  void FreeHandle() override { ++freed; }
  void OnSilent(StreamStage /*stage*/, const BackendName& engine) override {
    silent.push_back(engine.value());
  }
  void OnReplacement(ReplacementStep step, absl::string_view reason) override {
    replacement_steps.push_back(step);
    replacement_engines.push_back(lifecycle->phase() ==
                                          StreamLifecycle::Phase::kPrompt
                                      ? lifecycle->prompt_engine().value()
                                      : lifecycle->decode_engine().value());
    last_reason = reason;
  }
  void OnResumed() override { ++resumed; }
  void End(const StreamEnding& it) override {
    ending = it;
    ++endings;
  }
  void WakeScheduler() override {}

  int repeats_left = 100;
  std::vector<std::string> prompts;
  std::vector<std::string> decodes;
  std::vector<bool> with_handles;
  int freed = 0;
  int resumed = 0;
  std::optional<StreamEnding> ending;
  int endings = 0;
  // Engines of the open calls, for tests that clear them when a call ends.
  std::string open_prompt;
  std::string open_decode;
  int overlapping_calls = 0;    // of one stage
  bool prompt_was_sent = true;  // when it is cancelled
  std::vector<std::string> cancelled;
  // Engines of cancelled prompt calls, by the lifecycle's account.
  std::vector<std::string> cancelled_prompts;
  const StreamLifecycle* lifecycle = nullptr;
  std::vector<std::string> silent;
  std::vector<ReplacementStep> replacement_steps;
  // Silent engines at these steps, by the lifecycle's account.
  std::vector<std::string> replacement_engines;
  absl::string_view last_reason;
  std::vector<std::string> start_questions;
  int times_software_known = 0;
  std::vector<std::string> reservations;
  int dropped_reservations = 0;
  absl::Duration timer_delay = absl::InfiniteDuration();
};

// One stream with its scheduler and a small fleet of engines.
class Stream {
 public:
  explicit Stream(bool resumable = false, int decode_engines = 5)
      : Stream(Terms(resumable), decode_engines) {}
  explicit Stream(const StreamTerms& terms, int decode_engines = 5)
      : scheduler(table, ZoneName("a"), StreamSchedulerOptions()),
        lifecycle({table, scheduler, suspects}, terms, port) {
    port.lifecycle = &lifecycle;
    for (int n = 0; n < 3; ++n) Add("p", n, EngineStage::kPrefill);
    for (int n = 0; n < decode_engines; ++n) Add("d", n, EngineStage::kDecode);
    ServiceTraits traits;
    traits.engine = EngineTraits();
    traits.engine->memory_tokens = 38000;
    scheduler.SetEngineTraits({{kService, traits}});
  }

  static StreamTerms Terms(bool resumable) {
    StreamTerms terms;
    terms.id = ExchangeId(1);
    terms.service = kService;
    terms.content = {kFingerprint, {kSharedPart}};
    terms.arrived = kStart;
    terms.objective = absl::Milliseconds(900);
    terms.pause_objective = absl::Milliseconds(300);
    terms.stall_limit = absl::Seconds(5);
    terms.attempts = 3;
    terms.resumable = resumable;
    terms.prompt_tokens = 3000;
    terms.max_output_tokens = 2000;
    terms.output_hint = 800;
    return terms;
  }

  void Add(const std::string& kind, int n, EngineStage stage) {
    BackendRecord record;
    record.id = BackendName(kind + std::to_string(n));
    record.service = kService;
    record.zone = ZoneName("a");
    record.slots = 64;
    record.stage = stage;
    table.Upsert(record);
  }

  // Runs a scheduling pass one step later.
  void Schedule() {
    now += kStep;
    if (port.timer_delay != absl::InfiniteDuration()) port.timer_delay -= kStep;
    for (const StreamDecision& it : scheduler.Decide(now)) {
      std::visit(Overloaded{
                     [&](const StreamPlacement& placement) {
                       lifecycle.OnPlaced(placement, now);
                     },
                     [&](const StreamRefusal& refusal) {
                       lifecycle.OnRefused(refusal, now);
                     },
                 },
                 it);
    }
  }

  void StartAndReadPrompt() {
    lifecycle.Start(now);
    Schedule();
    REQUIRE(port.prompts.size() == 1);
    now += kStep;
    lifecycle.OnPromptRead(now);
  }

  // Runs the timer at its time, as long as no engine sends anything.
  void Wait(absl::Duration time) {
    absl::Time end = now + time;
    while (!port.ending && port.timer_delay <= end - now) {
      now += std::max(port.timer_delay, absl::ZeroDuration());
      port.timer_delay = absl::InfiniteDuration();
      lifecycle.OnTimer(now);
    }
    if (port.timer_delay != absl::InfiniteDuration()) {
      port.timer_delay -= end - now;
    }
    now = end;
  }

  // Checks that the stream releases all reserved capacity when it is closed.
  void CheckAllReleased() {
    lifecycle.Close();
    for (const auto& it : table.all()) CHECK(it.second.own == BackendUse());
    CHECK(scheduler.waiting() == 0);
  }

  absl::Time now = kStart;
  BackendTable table;
  StreamScheduler scheduler;
  CrashSuspects suspects;
  RecordingPort port;
  StreamLifecycle lifecycle;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_DISPATCH_LIFECYCLE_FIXTURE_H_
