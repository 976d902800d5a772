// Announcements of backend servers, and notices between fronts.

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
const BackendName kServer("s1");

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

TEST_CASE("a server that announced that it is leaving gets no new requests",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  CHECK(table.ReportLeaving(kServer, kStart));
  CHECK_FALSE(table.ReportLeaving(kServer, kStart));
  CHECK(Chosen(table).empty());
  // An update of its discovery record, still ready, does not undo this.
  BackendRecord entry = Record("s1");
  entry.slots = 13;
  table.Upsert(entry);
  CHECK(Chosen(table).empty());
}

TEST_CASE("a leaving server stays so when its entry expires, until a restart",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1", 5));
  table.ReportLeaving(kServer, kStart);
  table.Remove(kServer);
  table.Upsert(Record("s1", 5));
  CHECK(Chosen(table).empty());
  CHECK(table.Upsert(Record("s1", 6)) == BackendChange::kRestarted);
  CHECK(Chosen(table) == "s1");
  table.Remove(kServer);
  table.Upsert(Record("s1", 6));
  CHECK(Chosen(table) == "s1");
}

TEST_CASE("a front tells the others that a server is leaving",
          "[dispatch][leaving]") {
  BackendTable here;
  BackendTable there;
  here.Upsert(Record("s1", 5));
  there.Upsert(Record("s1", 5));
  here.ReportLeaving(kServer, kStart);
  for (const BackendNotice& it : here.Notices(kStart)) {
    there.ApplyNotice(it, kStart);
  }
  CHECK(Chosen(there).empty());
  // Received notices are not forwarded, or they would circulate for ever.
  CHECK(there.Notices(kStart).empty());
  CHECK(here.Notices(kStart + absl::Minutes(1)).empty());
}

TEST_CASE("a notice about one start of a server does not affect another",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1", 6));
  table.ApplyNotice(Leaving(kServer, 5), kStart);
  CHECK(Chosen(table) == "s1");
  // A notice about a later start applies once that start is discovered.
  table.ApplyNotice(Leaving(kServer, 7), kStart);
  CHECK(Chosen(table) == "s1");
  table.ApplyNotice(Leaving(kServer, 6), kStart);
  table.Upsert(Record("s1", 7));
  CHECK(Chosen(table).empty());
}

TEST_CASE("notices about unknown servers take bounded memory",
          "[dispatch][leaving]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  for (int it = 0; it < 5000; ++it) {
    table.ApplyNotice(Leaving(BackendName("x" + std::to_string(it)), 1),
                      kStart);
  }
  // The last of them was dropped; known servers are still updated.
  table.Upsert(Record("x4999"));
  CHECK(Chosen(table) == "s1");
  table.ApplyNotice(Leaving(kServer, 1), kStart);
  CHECK(Chosen(table) == "x4999");
}

TEST_CASE("a server that asked for a pause gets no requests until its end",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  absl::Time end = kStart + absl::Seconds(3);
  CHECK(table.ReportPauseRequest(kServer, end, kStart));
  CHECK_FALSE(table.ReportPauseRequest(kServer, end, kStart));
  CHECK(Chosen(table).empty());
  // Neither a completed request nor the expiry of its entry ends the pause.
  table.ReportSuccess(kServer, kStart);
  table.Remove(kServer);
  table.Upsert(Record("s1"));
  CHECK(Chosen(table, end - absl::Milliseconds(1)).empty());
  CHECK(Chosen(table, end) == "s1");
}

TEST_CASE("a restart ends the pause that the earlier start asked for",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Record("s1", 1));
  table.ReportPauseRequest(kServer, kStart + absl::Hours(1), kStart);
  table.Upsert(Record("s1", 2));
  CHECK(Chosen(table) == "s1");
}

TEST_CASE("a pause asked of another front makes a server the last choice",
          "[dispatch][quiet]") {
  BackendTable here;
  BackendTable there;
  for (BackendTable* it : {&here, &there}) {
    it->Upsert(Record("s1"));
    it->Upsert(Record("s2"));
  }
  here.ReportPauseRequest(kServer, kStart + absl::Hours(1), kStart);
  for (const BackendNotice& it : here.Notices(kStart)) {
    there.ApplyNotice(it, kStart);
  }
  CHECK(Chosen(there) == "s2");
  there.Remove(BackendName("s2"));
  CHECK(Chosen(there) == "s1");
}

TEST_CASE("the pause of a service ends with the first pause of its servers",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  table.Upsert(Record("s2"));
  auto any = [](const BackendState& /*backend*/) { return true; };
  table.ReportPauseRequest(BackendName("s1"), kStart + absl::Seconds(5),
                           kStart);
  CHECK_FALSE(table.FirstPauseEnd(kService, any, kStart));
  table.ReportPauseRequest(BackendName("s2"), kStart + absl::Seconds(2),
                           kStart);
  CHECK(table.FirstPauseEnd(kService, any, kStart) ==
        kStart + absl::Seconds(2));
}

TEST_CASE("stage planning does not count engines that are leaving",
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

// Guards against each front (33 under load) detecting a crashed engine on its
// own, which wastes the prefill of a prompt for each attempt.
TEST_CASE("a server that one front can't reach is avoided by all fronts",
          "[dispatch][unreachable]") {
  BackendTable here;
  BackendTable there;
  for (BackendTable* it : {&here, &there}) {
    for (const char* id : {"s1", "s2", "s3"}) it->Upsert(Record(id));
  }
  here.ReportUnreachable(kServer, kStart);
  std::vector<BackendNotice> notices = here.Notices(kStart);
  REQUIRE(notices.size() == 1);
  there.ApplyNotice(notices[0], kStart);
  for (const char* used : {"s2", "s3"}) {
    there.Find(BackendName(used))->own.requests = 5;
  }
  CHECK(Chosen(there) != "s1");
  // Received notices are not forwarded, and expire.
  CHECK(there.Notices(kStart).empty());
  CHECK(Chosen(there, kStart + absl::Seconds(5)) == "s1");
  // A restart ends the avoidance.
  there.ApplyNotice(notices[0], kStart);
  there.Upsert(Record("s1", 2));
  CHECK(Chosen(there) == "s1");
}

TEST_CASE("a notice does not make a server suspect that this front reaches",
          "[dispatch][unreachable]") {
  BackendTable table;
  for (const char* id : {"s1", "s2", "s3"}) table.Upsert(Record(id));
  for (const char* used : {"s2", "s3"}) {
    table.Find(BackendName(used))->own.requests = 5;
  }
  table.ReportAlive(kServer, kStart - absl::Milliseconds(50));
  table.ApplyNotice(Unreachable("s1", absl::Seconds(4)), kStart);
  CHECK(Chosen(table) == "s1");
  // Bytes that arrive after the notice end the suspicion.
  table.ApplyNotice(Unreachable("s1", absl::Seconds(4)),
                    kStart + absl::Seconds(1));
  CHECK(Chosen(table, kStart + absl::Seconds(1)) != "s1");
  table.ReportAlive(kServer, kStart + absl::Seconds(1));
  CHECK(Chosen(table, kStart + absl::Seconds(1)) == "s1");
}

TEST_CASE("a partitioned front makes at most half of a service suspect",
          "[dispatch][unreachable]") {
  BackendTable table;
  for (int it = 0; it < 10; ++it) {
    table.Upsert(Record("s" + std::to_string(it)));
  }
  for (int it = 0; it < 10; ++it) {
    table.ApplyNotice(Unreachable("s" + std::to_string(it), absl::Seconds(4)),
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
  job.client_deadline = kStart + absl::Seconds(3);
  job.prompt_tokens = 3000;
  job.output_tokens = 70;
  return job;
}

// Under load, every engine asks for a longer pause than clients wait.
TEST_CASE("streams are refused at once if all engines pause for too long",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Engine("d1", EngineStage::kDecode));
  StreamScheduler scheduler(table, ZoneName("a"), StreamSchedulerOptions());
  table.ReportPauseRequest(BackendName("d1"), kStart + absl::Milliseconds(3500),
                           kStart);
  std::optional<StreamRefusal> refusal = scheduler.Submit(Job(1), kStart);
  REQUIRE(refusal.has_value());
  // Clients retry after the pause, spread over time.
  CHECK(refusal->retry_after >= absl::Milliseconds(3500));
  std::optional<StreamRefusal> other = scheduler.Submit(Job(2), kStart);
  REQUIRE(other.has_value());
  CHECK(other->retry_after != refusal->retry_after);
}

// The same, with a pause shorter than clients wait.
TEST_CASE("streams wait for engines whose pause ends in time",
          "[dispatch][quiet]") {
  BackendTable table;
  table.Upsert(Engine("d1", EngineStage::kDecode));
  StreamScheduler scheduler(table, ZoneName("a"), StreamSchedulerOptions());
  absl::Time end = kStart + absl::Milliseconds(400);
  table.ReportPauseRequest(BackendName("d1"), end, kStart);
  REQUIRE_FALSE(scheduler.Submit(Job(1), kStart).has_value());
  CHECK(scheduler.Decide(end - absl::Milliseconds(1)).empty());
  std::vector<StreamDecision> decisions = scheduler.Decide(end);
  REQUIRE(decisions.size() == 1);
  CHECK(std::holds_alternative<StreamPlacement>(decisions[0]));
}

}  // namespace
}  // namespace chervilwick
