// What backend servers say of themselves in their answers.

#include <catch2/catch.hpp>
#include <string>

#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/call_balancer.h"
#include "chervilwick/dispatch/stage_plan.h"
#include "chervilwick/dispatch/stream_scheduler.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const ServiceName kService("models");
const BackendName kLeaver("s1");

BackendRecord Record(const std::string& id, int64_t born = 1) {
  BackendRecord record;
  record.id = BackendName(id);
  record.service = kService;
  record.endpoint = {0x7f000001, 80};
  record.zone = ZoneName("a");
  record.slots = 12;
  record.born_unix_ms = born;
  return record;
}

BackendRecord Engine(const std::string& id, EngineStage stage) {
  BackendRecord record = Record(id);
  record.stage = stage;
  return record;
}

std::string Chosen(BackendTable& table, absl::Time now = kStart) {
  BackendState* it = ChooseForCall(table, kService, ZoneName("a"), {}, now);
  return it == nullptr ? "" : it->record.id.value();
}

BackendNotice Leaving(const BackendName& id, int64_t born) {
  return {id, born, BackendNotice::Kind::kLeaving, absl::ZeroDuration()};
}

TEST_CASE("a server that says that it leaves gets nothing new",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  CHECK(table.ReportLeaving(kLeaver, kStart));
  CHECK_FALSE(table.ReportLeaving(kLeaver, kStart));
  CHECK(Chosen(table).empty());
  // Its entry still says that it is ready, again and again.
  BackendRecord entry = Record("s1");
  entry.slots = 13;
  table.Upsert(entry);
  CHECK(Chosen(table).empty());
}

TEST_CASE("leaving outlives a lapse of the entry, but not a restart",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1", 5));
  table.ReportLeaving(kLeaver, kStart);
  table.Remove(kLeaver);
  table.Upsert(Record("s1", 5));
  CHECK(Chosen(table).empty());
  CHECK(table.Upsert(Record("s1", 6)) == BackendChange::kRestarted);
  CHECK(Chosen(table) == "s1");
  table.Remove(kLeaver);
  table.Upsert(Record("s1", 6));
  CHECK(Chosen(table) == "s1");
}

TEST_CASE("fronts believe each other that a server leaves",
          "[dispatch][leaving]") {
  BackendTable here;
  BackendTable there;
  here.Upsert(Record("s1", 5));
  there.Upsert(Record("s1", 5));
  here.ReportLeaving(kLeaver, kStart);
  for (const BackendNotice& it : here.Notices(kStart)) {
    there.TakeNotice(it, kStart);
  }
  CHECK(Chosen(there).empty());
  // Hearsay isn't passed on, or it would never end.
  CHECK(there.Notices(kStart).empty());
  CHECK(here.Notices(kStart + absl::Minutes(1)).empty());
}

TEST_CASE("word of an earlier start says nothing of a later one",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1", 6));
  table.TakeNotice(Leaving(kLeaver, 5), kStart);
  CHECK(Chosen(table) == "s1");
  // Of a later one: it is out as soon as it is discovered, not before.
  table.TakeNotice(Leaving(kLeaver, 7), kStart);
  CHECK(Chosen(table) == "s1");
  table.TakeNotice(Leaving(kLeaver, 6), kStart);
  table.Upsert(Record("s1", 7));
  CHECK(Chosen(table).empty());
}

TEST_CASE("word of unknown servers takes bounded memory",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  for (int it = 0; it < 5000; ++it) {
    table.TakeNotice(Leaving(BackendName("x" + std::to_string(it)), 1), kStart);
  }
  // The last of them is not remembered, what is known still is.
  table.Upsert(Record("x4999"));
  CHECK(Chosen(table) == "s1");
  table.TakeNotice(Leaving(kLeaver, 1), kStart);
  CHECK(Chosen(table) == "x4999");
}

TEST_CASE("a server that asked for quiet gets nothing until its end",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  absl::Time end = kStart + absl::Seconds(3);
  CHECK(table.ReportQuiet(kLeaver, end, kStart));
  CHECK_FALSE(table.ReportQuiet(kLeaver, end, kStart));
  CHECK(Chosen(table).empty());
  // Neither success of what was under way nor a lapse of the entry ends it.
  table.ReportSuccess(kLeaver, kStart);
  table.Remove(kLeaver);
  table.Upsert(Record("s1"));
  CHECK(Chosen(table, end - absl::Milliseconds(1)).empty());
  CHECK(Chosen(table, end) == "s1");
}

TEST_CASE("quiet ends with the start that asked for it", "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Record("s1", 1));
  table.ReportQuiet(kLeaver, kStart + absl::Hours(1), kStart);
  table.Upsert(Record("s1", 2));
  CHECK(Chosen(table) == "s1");
}

TEST_CASE("another front's pause is a hint", "[dispatch][quiet]") {
  BackendTable here;
  BackendTable there;
  for (BackendTable* it : {&here, &there}) {
    it->Upsert(Record("s1"));
    it->Upsert(Record("s2"));
  }
  here.ReportQuiet(kLeaver, kStart + absl::Hours(1), kStart);
  for (const BackendNotice& it : here.Notices(kStart)) {
    there.TakeNotice(it, kStart);
  }
  CHECK(Chosen(there) == "s2");
  there.Remove(BackendName("s2"));
  CHECK(Chosen(there) == "s1");
}

TEST_CASE("when the first of quiet servers wants requests again",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  table.Upsert(Record("s2"));
  auto any = [](const BackendState& /*backend*/) { return true; };
  table.ReportQuiet(BackendName("s1"), kStart + absl::Seconds(5), kStart);
  CHECK_FALSE(table.QuietEnd(kService, any, kStart));
  table.ReportQuiet(BackendName("s2"), kStart + absl::Seconds(2), kStart);
  CHECK(table.QuietEnd(kService, any, kStart) == kStart + absl::Seconds(2));
}

TEST_CASE("engines that leave are no part of the plan of stages",
          "[dispatch][leaving]") {
  BackendTable table;
  for (int it = 0; it < 8; ++it) {
    table.Upsert(Engine("d" + std::to_string(it), EngineStage::kDecode));
  }
  for (const char* id : {"p0", "p1", "p2", "p3", "p4", "p5"}) {
    table.Upsert(Engine(id, EngineStage::kPrefill));
  }
  while (auto change = PlanStage(table, kService, StageDemand())) {
    REQUIRE(table.ReportLeaving(change->backend, kStart));
  }
  size_t leaving = 0;
  for (const auto& it : table.all()) leaving += it.second.IsLeaving() ? 1 : 0;
  CHECK(leaving > 0);
}

BackendNotice Unreachable(const std::string& id, absl::Duration left) {
  return {BackendName(id), 1, BackendNotice::Kind::kUnreachable, left};
}

// Load: an engine falls over before 33 fronts, each of which would find out by
// itself, with a prompt read in vain for each try.
TEST_CASE("a server that one front can't reach is avoided by all",
          "[dispatch][unreachable]") {
  BackendTable here;
  BackendTable there;
  for (BackendTable* it : {&here, &there}) {
    for (const char* id : {"s1", "s2", "s3"}) it->Upsert(Record(id));
  }
  here.ReportUnreachable(kLeaver, kStart);
  std::vector<BackendNotice> notices = here.Notices(kStart);
  REQUIRE(notices.size() == 1);
  there.TakeNotice(notices[0], kStart);
  for (const char* used : {"s2", "s3"}) {
    there.Find(BackendName(used))->own.requests = 5;
  }
  CHECK(Chosen(there) != "s1");
  // Hearsay isn't passed on, and fades.
  CHECK(there.Notices(kStart).empty());
  CHECK(Chosen(there, kStart + absl::Seconds(5)) == "s1");
  // It may have started anew meanwhile.
  there.TakeNotice(notices[0], kStart);
  there.Upsert(Record("s1", 2));
  CHECK(Chosen(there) == "s1");
}

TEST_CASE("nobody is argued out of a server that it hears itself",
          "[dispatch][unreachable]") {
  BackendTable table;
  for (const char* id : {"s1", "s2", "s3"}) table.Upsert(Record(id));
  for (const char* used : {"s2", "s3"}) {
    table.Find(BackendName(used))->own.requests = 5;
  }
  table.ReportAlive(kLeaver, kStart - absl::Milliseconds(50));
  table.TakeNotice(Unreachable("s1", absl::Seconds(4)), kStart);
  CHECK(Chosen(table) == "s1");
  // Nor out of one that it hears after it was told.
  table.TakeNotice(Unreachable("s1", absl::Seconds(4)),
                   kStart + absl::Seconds(1));
  CHECK(Chosen(table, kStart + absl::Seconds(1)) != "s1");
  table.ReportAlive(kLeaver, kStart + absl::Seconds(1));
  CHECK(Chosen(table, kStart + absl::Seconds(1)) == "s1");
}

TEST_CASE("a front that is cut off does not set a whole service aside",
          "[dispatch][unreachable]") {
  BackendTable table;
  for (int it = 0; it < 10; ++it) {
    table.Upsert(Record("s" + std::to_string(it)));
  }
  for (int it = 0; it < 10; ++it) {
    table.TakeNotice(Unreachable("s" + std::to_string(it), absl::Seconds(4)),
                     kStart);
  }
  int trusted = 0;
  for (const auto& it : table.all()) {
    trusted += it.second.IsSuspect(kStart) ? 0 : 1;
  }
  CHECK(trusted == 5);
}

StreamJob Job(uint64_t id) {
  StreamJob job;
  job.id = ExchangeId(id);
  job.service = kService;
  job.arrived = kStart;
  job.first_event_due = kStart + absl::Milliseconds(900);
  job.give_up_at = kStart + absl::Seconds(3);
  job.prompt_tokens = 3000;
  job.output_tokens = 70;
  return job;
}

// Load: every engine turns streams away for longer than a client waits.
TEST_CASE("streams that quiet engines can't serve are told so at once",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Engine("d1", EngineStage::kDecode));
  StreamScheduler scheduler(table, ZoneName("a"), StreamSchedulerOptions());
  table.ReportQuiet(BackendName("d1"), kStart + absl::Milliseconds(3500),
                    kStart);
  std::optional<StreamRefusal> refusal = scheduler.Submit(Job(1), kStart);
  REQUIRE(refusal.has_value());
  // Whoever comes back then is served.
  CHECK(refusal->retry_after >= absl::Milliseconds(3500));
  std::optional<StreamRefusal> other = scheduler.Submit(Job(2), kStart);
  REQUIRE(other.has_value());
  CHECK(other->retry_after != refusal->retry_after);
}

// Load: the same, for a time that clients do wait.
TEST_CASE("streams wait for engines whose quiet ends in time",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Engine("d1", EngineStage::kDecode));
  StreamScheduler scheduler(table, ZoneName("a"), StreamSchedulerOptions());
  absl::Time end = kStart + absl::Milliseconds(400);
  table.ReportQuiet(BackendName("d1"), end, kStart);
  REQUIRE_FALSE(scheduler.Submit(Job(1), kStart).has_value());
  CHECK(scheduler.Decide(end - absl::Milliseconds(1)).empty());
  std::vector<StreamDecision> decisions = scheduler.Decide(end);
  REQUIRE(decisions.size() == 1);
  CHECK(std::holds_alternative<StreamPlacement>(decisions[0]));
}

}  // namespace
}  // namespace chervilwick
