// Choice of backend servers for plain calls, retry budgets and stage planning.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/call_balancer.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/stage_plan.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const ServiceName kService("desk");

BackendRecord Record(const std::string& id, const std::string& zone = "a",
                     int64_t born = 1) {
  BackendRecord record;
  record.id = BackendName(id);
  record.service = kService;
  record.endpoint = {0x7f000001, 80};
  record.zone = ZoneName(zone);
  record.slots = 6;
  record.born_unix_ms = born;
  return record;
}

BackendRecord Engine(const std::string& id, EngineStage stage,
                     const std::string& zone = "a") {
  BackendRecord record = Record(id, zone);
  record.stage = stage;
  return record;
}

std::string Chosen(BackendTable& table, absl::Time now = kStart) {
  BackendState* it = ChooseForCall(table, kService, ZoneName("a"), {}, now);
  return it == nullptr ? "" : it->record.id.value();
}

TEST_CASE("a draining or removed server gets no new requests", "[dispatch]") {
  BackendTable table;
  BackendRecord record = Record("s1");
  table.Upsert(record);
  CHECK(Chosen(table) == "s1");
  record.draining = true;
  CHECK(table.Upsert(record) == BackendChange::kUpdated);
  CHECK(Chosen(table).empty());
  CHECK(table.Remove(BackendName("s1")));
  CHECK(table.Find(BackendName("s1")) == nullptr);
}

TEST_CASE("a later start resets a server's state, an older one is ignored",
          "[dispatch]") {
  BackendTable table;
  table.Upsert(Record("s1", "a", 5));
  table.ReportFailure(BackendName("s1"), kStart);
  table.ReportFailure(BackendName("s1"), kStart);
  CHECK(table.Find(BackendName("s1"))->suspect_until > kStart);
  CHECK(table.Upsert(Record("s1", "b", 4)) == BackendChange::kNone);
  CHECK(table.Find(BackendName("s1"))->record.zone == ZoneName("a"));
  CHECK(table.Upsert(Record("s1", "a", 6)) == BackendChange::kRestarted);
  CHECK(table.Find(BackendName("s1"))->suspect_until < kStart);
  CHECK(table.Find(BackendName("s1"))->FailureRate(kStart) == 0);
}

TEST_CASE("entries that expired in an outage are removed unless listed again",
          "[dispatch]") {
  BackendTable table;
  table.Upsert(Record("back"));
  table.Upsert(Record("gone"));
  table.ScheduleRemoval(BackendName("back"), kStart + absl::Seconds(2));
  table.ScheduleRemoval(BackendName("gone"), kStart + absl::Seconds(2));
  CHECK(table.RemoveExpired(kStart + absl::Seconds(1)).empty());
  table.Upsert(Record("back"));
  auto expired = table.RemoveExpired(kStart + absl::Seconds(2));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0] == BackendName("gone"));
  CHECK(Chosen(table) == "back");
}

TEST_CASE("an unreachable server is avoided at once", "[dispatch]") {
  BackendTable table;
  table.Upsert(Record("gone"));
  table.Upsert(Record("good", "b"));
  const BackendState* gone = table.Find(BackendName("gone"));
  // A single broken request may have caused the failure itself.
  table.ReportFailure(BackendName("gone"), kStart);
  CHECK(gone->suspect_until <= kStart);
  table.ReportSuccess(BackendName("gone"), kStart);
  table.ReportUnreachable(BackendName("gone"), kStart);
  CHECK(gone->suspect_until > kStart);
  CHECK(Chosen(table) == "good");
  CHECK(Chosen(table, kStart + absl::Minutes(2)) == "gone");
}

TEST_CASE("a failing server is avoided, then tried again", "[dispatch]") {
  BackendTable table;
  table.Upsert(Record("bad"));
  table.Upsert(Record("good", "b"));
  for (int it = 0; it < 3; ++it) {
    table.ReportFailure(BackendName("bad"), kStart);
  }
  CHECK(Chosen(table) == "good");
  CHECK(Chosen(table, kStart + absl::Minutes(2)) == "bad");
  // A suspect server is used if there is no other.
  table.Remove(BackendName("good"));
  CHECK(Chosen(table) == "bad");
}

TEST_CASE("an idle server that refuses is paused for longer than a full one",
          "[dispatch]") {
  BackendTable table;
  table.Upsert(Record("idle"));
  table.Upsert(Record("full"));
  table.SetPeerUse("f2", {{BackendName("full"), {9, 0, 0}}});
  table.ReportFull(BackendName("idle"), kStart);
  table.ReportFull(BackendName("full"), kStart);
  absl::Time soon = kStart + absl::Milliseconds(200);
  CHECK(table.Find(BackendName("idle"))->full_until > soon);
  CHECK(table.Find(BackendName("full"))->full_until < soon);
  for (int it = 0; it < 9; ++it) table.ReportFull(BackendName("full"), kStart);
  CHECK(table.Find(BackendName("full"))->full_until > soon);
  CHECK(table.Find(BackendName("full"))->full_until <=
        kStart + absl::Seconds(1));
}

TEST_CASE("requests of other fronts count as load", "[dispatch]") {
  BackendTable table;
  table.Upsert(Record("s1"));
  table.Upsert(Record("s2"));
  table.SetPeerUse("f2", {{BackendName("s1"), {4, 0, 0}}});
  CHECK(Chosen(table) == "s2");
  table.SetPeerUse("f2", {{BackendName("s2"), {4, 0, 0}}});
  CHECK(Chosen(table) == "s1");
  table.SetPeerUse("f2", {});
  CHECK(table.Find(BackendName("s2"))->peers == BackendUse());
}

TEST_CASE("peer use reported before a server is discovered is kept",
          "[dispatch]") {
  BackendTable table;
  table.SetPeerUse("f2", {{BackendName("s1"), {4, 7, 0}}});
  table.Upsert(Record("s1"));
  CHECK(table.Find(BackendName("s1"))->peers.memory_tokens == 7);
}

TEST_CASE(
    "surplus prefill engines change stage, from the zone with most of them",
    "[dispatch]") {
  BackendTable table;
  for (int it = 0; it < 8; ++it) {
    table.Upsert(Engine("d" + std::to_string(it), EngineStage::kDecode));
  }
  table.Upsert(Engine("p0", EngineStage::kPrefill, "a"));
  for (const char* id : {"p1", "p2", "p3", "p4"}) {
    table.Upsert(Engine(id, EngineStage::kPrefill, "b"));
  }
  auto change = PlanStage(table, kService, StageDemand());
  REQUIRE(change);
  CHECK(change->backend != BackendName("p0"));
  CHECK(change->stage == EngineStage::kDecode);
  table.Upsert(Engine(change->backend.value(), EngineStage::kDecode, "b"));
  CHECK_FALSE(PlanStage(table, kService, StageDemand()));
}

TEST_CASE("the last prefill engine of a service keeps its stage",
          "[dispatch]") {
  BackendTable table;
  for (const char* id : {"d0", "d1", "d2", "d3"}) {
    table.Upsert(Engine(id, EngineStage::kDecode));
  }
  table.Upsert(Engine("p0", EngineStage::kPrefill));
  StageDemand none;
  none.prompt_time = absl::ZeroDuration();
  CHECK_FALSE(PlanStage(table, kService, none));
}

}  // namespace
}  // namespace chervilwick
