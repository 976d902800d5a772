// Streams that have started and need another engine, next to new ones.

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chervilwick/dispatch/stream_scheduler.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const ServiceName kService("models");

// Engines with memory for one stream each.
class SmallFleet {
 public:
  explicit SmallFleet(int engines)
      : scheduler(table, ZoneName("a"), StreamSchedulerOptions()) {
    for (int n = 0; n < engines; ++n) Add(n);
    ServiceTraits traits;
    traits.engine = EngineTraits{64, 5000, absl::Milliseconds(500)};
    scheduler.SetEngineTraits({{kService, traits}});
  }

  void Add(int n, const std::string& software = "v1") {
    for (EngineStage stage : {EngineStage::kPrefill, EngineStage::kDecode}) {
      BackendRecord record;
      record.id = BackendName(StageName(stage) + std::to_string(n));
      record.service = kService;
      record.zone = ZoneName("a");
      record.slots = 64;
      record.stage = stage;
      record.software = SoftwareVersion(software);
      table.Upsert(record);
    }
  }

  static StreamJob New(uint64_t id, absl::Time now) {
    StreamJob job;
    job.id = ExchangeId(id);
    job.service = kService;
    job.priority = 1;
    job.arrived = now;
    job.first_event_due = now + absl::Milliseconds(900);
    job.client_deadline = now + absl::Seconds(3);
    job.prompt_tokens = 3000;
    job.output_tokens = 900;
    return job;
  }

  // It meets its objective although others wait.
  static StreamJob InTime(uint64_t id, int priority) {
    StreamJob job = New(id, kStart);
    job.priority = priority;
    job.first_event_due = kStart + absl::Seconds(20);
    job.client_deadline = kStart + absl::Seconds(30);
    return job;
  }

  // Its objective, counted from the client's first attempt, has been missed.
  static StreamJob Started(uint64_t id, absl::Time now) {
    StreamJob job = New(id, now);
    job.first_event_due = now - absl::Seconds(1);
    job.is_started = true;
    return job;
  }

  // Ids of the streams that a scheduling pass places.
  std::vector<uint64_t> Place(absl::Time now) {
    std::vector<uint64_t> ids;
    for (const StreamDecision& it : scheduler.Decide(now)) {
      if (const auto* placed = std::get_if<StreamPlacement>(&it)) {
        ids.push_back(placed->id.value());
        placements.push_back(*placed);
      } else {
        refused.push_back(std::get<StreamRefusal>(it).id.value());
      }
    }
    return ids;
  }

  void EndFirst() {
    scheduler.ReleasePrompt(placements.front());
    scheduler.ReleaseDecode(placements.front());
    placements.erase(placements.begin());
  }

  BackendTable table;
  StreamScheduler scheduler;
  std::vector<StreamPlacement> placements;
  std::vector<uint64_t> refused;
};

TEST_CASE("stream that has started waits behind new ones", "[dispatch]") {
  for (const OverloadPolicy& policy :
       {OverloadPolicy(LateService()), OverloadPolicy(PromptRefusal{0})}) {
    SmallFleet fleet(1);
    fleet.scheduler.SetOverloadPolicy(policy);
    CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(1, kStart), kStart));
    CHECK(fleet.Place(kStart) == std::vector<uint64_t>{1});
    CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::InTime(2, 0), kStart));
    CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::InTime(3, 1), kStart));
    CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::Started(4, kStart), kStart));
    CHECK(fleet.Place(kStart).empty());
    for (uint64_t next : {2, 4, 3}) {
      fleet.EndFirst();
      CHECK(fleet.Place(kStart) == std::vector<uint64_t>{next});
    }
  }
}

TEST_CASE("urgent stream waits behind less urgent ones that have started",
          "[dispatch]") {
  SmallFleet fleet(1);
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(1, kStart), kStart));
  CHECK(fleet.Place(kStart).size() == 1);
  for (uint64_t id : {2, 3}) {
    CHECK_FALSE(
        fleet.scheduler.Submit(SmallFleet::Started(id, kStart), kStart));
  }
  CHECK(fleet.Place(kStart).empty());
  // It needs the whole engine, as those before it do.
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::InTime(4, 0), kStart));
  CHECK(fleet.Place(kStart).empty());
  fleet.EndFirst();
  CHECK(fleet.Place(kStart) == std::vector<uint64_t>{4});
  fleet.EndFirst();
  CHECK(fleet.Place(kStart) == std::vector<uint64_t>{2});
}

TEST_CASE("stream that has started waits for an urgent one of another service",
          "[dispatch]") {
  SmallFleet fleet(1);
  BackendRecord engine;
  engine.id = BackendName("other");
  engine.service = ServiceName("others");
  engine.stage = EngineStage::kDecode;
  fleet.table.Upsert(engine);
  for (uint64_t id : {1, 2}) {
    StreamJob urgent = SmallFleet::InTime(id, 0);
    urgent.service = engine.service;
    CHECK_FALSE(fleet.scheduler.Submit(urgent, kStart));
  }
  CHECK(fleet.Place(kStart) == std::vector<uint64_t>{1});
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::Started(3, kStart), kStart));
  CHECK(fleet.Place(kStart) == std::vector<uint64_t>{3});
}

TEST_CASE("stream that has started is refused as late", "[dispatch]") {
  SmallFleet fleet(1);
  fleet.scheduler.SetOverloadPolicy(PromptRefusal());
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(1, kStart), kStart));
  CHECK(fleet.Place(kStart).size() == 1);
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::Started(2, kStart), kStart));
  absl::Time later = kStart + absl::Seconds(2);
  CHECK(fleet.Place(later).empty());
  CHECK(fleet.refused.empty());
  fleet.EndFirst();
  CHECK(fleet.Place(later) == std::vector<uint64_t>{2});
}

TEST_CASE("stream that has started waits beyond its client's patience",
          "[dispatch]") {
  SmallFleet fleet(1);
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(1, kStart), kStart));
  CHECK(fleet.Place(kStart).size() == 1);
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::Started(2, kStart), kStart));
  CHECK(fleet.Place(kStart + absl::Seconds(3)).empty());
  CHECK(fleet.refused == std::vector<uint64_t>{2});
  // No engine would ever take it.
  SmallFleet none(0);
  CHECK(none.scheduler.Submit(SmallFleet::Started(1, kStart), kStart));
}

TEST_CASE("new streams take the room that a started one waits for",
          "[dispatch]") {
  SmallFleet fleet(1);
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(1, kStart), kStart));
  CHECK(fleet.Place(kStart).size() == 1);
  StreamJob large = SmallFleet::Started(2, kStart);
  large.prompt_tokens = 4000;
  CHECK_FALSE(fleet.scheduler.Submit(large, kStart));
  StreamJob small = SmallFleet::New(3, kStart);
  small.prompt_tokens = 100;
  small.output_tokens = 100;
  small.client_deadline = kStart + absl::Seconds(20);
  CHECK_FALSE(fleet.scheduler.Submit(small, kStart));
  CHECK(fleet.Place(kStart).empty());
  fleet.EndFirst();
  CHECK(fleet.Place(kStart).front() == 2);
}

TEST_CASE("stream that has started goes to an engine of another version",
          "[dispatch]") {
  SmallFleet fleet(1);
  fleet.Add(1, "v2");
  for (const char* version : {"v2", "v1"}) {
    StreamJob job = SmallFleet::Started(1, kStart);
    job.software = SoftwareVersion(version);
    CHECK_FALSE(fleet.scheduler.Submit(job, kStart));
    CHECK(fleet.Place(kStart).size() == 1);
    const BackendName& engine = fleet.placements.back().decode;
    CHECK(fleet.table.Find(engine)->record.software.value() == version);
  }
  StreamJob job = SmallFleet::Started(2, kStart);
  job.software = SoftwareVersion("v3");
  std::optional<StreamRefusal> refusal = fleet.scheduler.Submit(job, kStart);
  REQUIRE(refusal);
  CHECK(refusal->reason == StreamRefusalReason::kVersionGone);
}

TEST_CASE("stream waits on after the last engine of its version has left",
          "[dispatch]") {
  SmallFleet fleet(1);
  fleet.Add(1, "v2");
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(1, kStart), kStart));
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(2, kStart), kStart));
  CHECK(fleet.Place(kStart).size() == 2);
  StreamJob job = SmallFleet::Started(3, kStart);
  job.software = SoftwareVersion("v2");
  CHECK_FALSE(fleet.scheduler.Submit(job, kStart));
  CHECK(fleet.Place(kStart).empty());
  fleet.table.ReportLeaving(BackendName("decode1"), kStart);
  CHECK(fleet.Place(kStart).empty());
  CHECK(fleet.refused == std::vector<uint64_t>{3});
}

StreamJob StartedAt(const std::string& software, uint64_t id) {
  StreamJob job = SmallFleet::Started(id, kStart);
  job.software = SoftwareVersion(software);
  return job;
}

TEST_CASE("stream that goes on is sent to engines that can't be reached",
          "[dispatch]") {
  SmallFleet fleet(2);
  fleet.Add(2, "v2");
  std::vector<BackendName> old = {BackendName("decode0"),
                                  BackendName("decode1")};
  for (const BackendName& it : old) fleet.table.ReportUnreachable(it, kStart);
  CHECK(fleet.scheduler.EnginesToAsk(kStart).empty());
  CHECK_FALSE(fleet.scheduler.Submit(StartedAt("v1", 1), kStart));
  CHECK(fleet.Place(kStart).empty());
  CHECK(fleet.scheduler.EnginesToAsk(kStart) == old);
  CHECK(fleet.scheduler.EnginesToAsk(kStart).empty());
  // New streams of the other version don't wait with it.
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(2, kStart), kStart));
  CHECK(fleet.Place(kStart) == std::vector<uint64_t>{2});
  // The end of an avoidance is no sign of life.
  absl::Time later = kStart + absl::Milliseconds(1400);
  CHECK(fleet.Place(later).empty());
  CHECK(fleet.scheduler.EnginesToAsk(later) == old);
  fleet.table.ReportAlive(old[1], later);
  CHECK(fleet.Place(later) == std::vector<uint64_t>{1});
  CHECK(fleet.placements.back().decode == old[1]);
  CHECK(fleet.refused.empty());
}

TEST_CASE("stream waits long for engines that stay unreachable", "[dispatch]") {
  SmallFleet fleet(1);
  fleet.table.ReportUnreachable(BackendName("decode0"), kStart);
  CHECK_FALSE(fleet.scheduler.Submit(StartedAt("v1", 1), kStart));
  absl::Time later = kStart + absl::Milliseconds(1500);
  CHECK(fleet.Place(later).empty());
  CHECK(fleet.refused == std::vector<uint64_t>{1});
  // The next one waits for an answer only.
  StreamJob next = StartedAt("v1", 2);
  next.client_deadline = later + absl::Seconds(3);
  CHECK_FALSE(fleet.scheduler.Submit(next, later));
  CHECK(fleet.Place(later + absl::Milliseconds(200)).empty());
  CHECK(fleet.refused.size() == 1);
  CHECK(fleet.Place(later + absl::Milliseconds(250)).empty());
  CHECK(fleet.refused.size() == 2);
}

TEST_CASE("stream is refused while the records of its engines are missing",
          "[dispatch]") {
  SmallFleet fleet(1);
  fleet.Add(1, "v2");
  BackendName engine("decode1");
  bool is_back = GENERATE(true, false);
  BackendState removed = *fleet.table.Find(engine);
  fleet.scheduler.OnEngineRemoved(removed, kStart);
  fleet.table.Remove(engine);
  CHECK_FALSE(fleet.scheduler.Submit(StartedAt("v2", 1), kStart));
  CHECK(fleet.Place(kStart).empty());
  CHECK(fleet.refused.empty());
  absl::Time later = kStart + absl::Milliseconds(1500);
  if (is_back) fleet.table.Upsert(removed.record);
  CHECK(fleet.Place(later).size() == (is_back ? 1 : 0));
  CHECK(fleet.refused.size() == (is_back ? 0 : 1));
}

TEST_CASE("stream waits for engines that are gone for good", "[dispatch]") {
  SmallFleet fleet(1);
  fleet.Add(1, "v2");
  BackendName engine("decode1");
  if (GENERATE(true, false)) {
    fleet.table.ReportUnreachable(engine, kStart);
  } else {
    fleet.table.ReportLeaving(engine, kStart);
  }
  fleet.scheduler.OnEngineRemoved(*fleet.table.Find(engine), kStart);
  fleet.table.Remove(engine);
  std::optional<StreamRefusal> refusal =
      fleet.scheduler.Submit(StartedAt("v2", 1), kStart);
  REQUIRE(refusal);
  CHECK(refusal->reason == StreamRefusalReason::kVersionGone);
}

TEST_CASE("new streams wait for a started one of another version",
          "[dispatch]") {
  SmallFleet fleet(1);
  fleet.Add(1, "v2");
  StreamJob first = SmallFleet::Started(1, kStart);
  first.software = SoftwareVersion("v2");
  CHECK_FALSE(fleet.scheduler.Submit(first, kStart));
  CHECK(fleet.Place(kStart).size() == 1);
  StreamJob second = SmallFleet::Started(2, kStart);
  second.software = SoftwareVersion("v2");
  CHECK_FALSE(fleet.scheduler.Submit(second, kStart));
  CHECK_FALSE(fleet.scheduler.Submit(SmallFleet::New(3, kStart), kStart));
  CHECK(fleet.Place(kStart) == std::vector<uint64_t>{3});
  CHECK(fleet.placements.back().decode == BackendName("decode0"));
}

}  // namespace
}  // namespace chervilwick
