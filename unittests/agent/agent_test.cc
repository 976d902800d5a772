// Unit tests of AgentCore, EngineReconciler and the place calendar.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "chervilwick/agent/agent_core.h"
#include "chervilwick/agent/place_calendar.h"
#include "chervilwick/config/merge_patch.h"
#include "chervilwick/support/hash.h"
#include "chervilwick/testbed/world.h"
#include "test_worlds.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// An agent of one decode or plain server with configuration version 1 in force.
class Fixture {
 public:
  explicit Fixture(const std::string& role, uint32_t places = 2)
      : core_(Options(places)) {
    std::string model = role == "plain" ? "" : R"("model":"m","weights":"w",)";
    content_ = R"({"pools":{"x":{"role":")" + role + R"(",)" + model +
               R"("servers":{"s":{}}}}})";
    Push(1, content_);
    EngineStatus status;
    status.up = true;
    status.weights = role == "plain" ? "" : "w";
    status.role = role == "decode" ? PoolRole::kDecode : PoolRole::kPlain;
    Handle(EngineStatusChanged{status});
  }

  static AgentOptions Options(uint32_t places) {
    AgentOptions options;
    options.name = NodeName("agent");
    options.incarnation = Incarnation(7);
    options.backend = BackendName("s");
    options.decode_places = places;
    options.plain_places = places;
    return options;
  }

  void Push(uint64_t number, const std::string& content) {
    ConfigPush push;
    VersionRecord record;
    record.number = VersionNumber(number);
    record.content = *ApplyMergePatch("{}", content);
    record.content_hash = StableHash(record.content);
    push.records.items.push_back(record);
    Receive(push);
  }

  std::vector<AgentAction> Handle(const AgentEvent& event) {
    last_ = core_.Handle(event, now_);
    return last_;
  }

  std::vector<AgentAction> Receive(chervilwick::Message message,
                                   uint64_t version = 1) {
    Envelope envelope{NodeName("entry"), Incarnation(1), VersionNumber(version),
                      std::move(message)};
    return Handle(AgentMessageReceived{std::move(envelope)});
  }

  void Advance(absl::Duration duration) {
    now_ += duration;
    Handle(AgentTick{});
  }

  // The last message of type T in the actions of the last event, if any.
  template <typename T>
  std::optional<T> Sent() const {
    std::optional<T> found;
    for (const AgentAction& it : last_) {
      const auto* sent = std::get_if<SendMessage>(&it);
      if (sent == nullptr) continue;
      if (const T* message = std::get_if<T>(&sent->message)) found = *message;
    }
    return found;
  }

  bool Ran() const {
    for (const AgentAction& it : last_) {
      if (std::holds_alternative<RunWork>(it)) return true;
    }
    return false;
  }

  bool Drained() const {
    for (const AgentAction& it : last_) {
      if (std::holds_alternative<AgentDrained>(it)) return true;
    }
    return false;
  }

  static AttemptId Id(uint64_t sequence) { return {Incarnation(1), sequence}; }

  static StartWork MakeCall(uint64_t sequence) {
    StartWork start;
    start.attempt = Id(sequence);
    start.kind = WorkKind::kPlain;
    start.target = Incarnation(7);
    start.idempotent = false;
    start.deadline_ms = 5000;
    return start;
  }

  static Reserve MakeReserve(uint64_t sequence) {
    Reserve reserve;
    reserve.attempt = Id(sequence);
    reserve.target = Incarnation(7);
    reserve.pieces = 1;
    reserve.hold_ms = 1000;
    reserve.output_tokens = 100;
    return reserve;
  }

  AgentCore& core() { return core_; }
  const std::string& content() const { return content_; }

 private:
  AgentCore core_;
  absl::Time now_ = kStart;
  std::string content_;
  std::vector<AgentAction> last_;
};

TEST_CASE("a place is reserved only for a time when it is free", "[agent]") {
  PlaceCapacity capacity{2, 10};
  std::vector<PlaceUse> uses = {{kStart + absl::Seconds(1), 4},
                                {kStart + absl::Seconds(3), 4}};
  CHECK(CheckAvailability(capacity, uses, kStart, 1) ==
        PlaceAvailability::kNoPlace);
  CHECK(CheckAvailability(capacity, uses, kStart + absl::Seconds(1), 7) ==
        PlaceAvailability::kNoMemory);
  CHECK(*EarliestPlace(capacity, uses, kStart, kStart + absl::Seconds(9), 7) ==
        kStart + absl::Seconds(3));
  CHECK_FALSE(
      EarliestPlace(capacity, uses, kStart, kStart + absl::Milliseconds(500), 1)
          .has_value());
}

TEST_CASE("a duplicate of an order does not run again", "[agent]") {
  Fixture it("plain");
  it.Receive(Fixture::MakeCall(1));
  CHECK(it.Ran());
  it.Receive(Fixture::MakeCall(1));
  CHECK_FALSE(it.Ran());
}

TEST_CASE("a refused order does not run when it is sent again", "[agent]") {
  Fixture it("plain");
  it.Push(2, it.content());
  it.Advance(absl::Seconds(3));
  it.Receive(Fixture::MakeCall(1), 1);
  REQUIRE(it.Sent<Refused>().has_value());
  CHECK(it.Sent<Refused>()->reason == RefusalReason::kStaleVersion);
  it.Receive(Fixture::MakeCall(1), 2);
  CHECK_FALSE(it.Ran());
  CHECK(it.Sent<Refused>().has_value());
}

TEST_CASE("a version superseded within the grace period is accepted",
          "[agent]") {
  Fixture it("plain");
  it.Push(2, it.content());
  it.Advance(absl::Seconds(1));
  it.Receive(Fixture::MakeCall(1), 1);
  CHECK(it.Ran());
}

TEST_CASE("an order that arrives after its fence does not run", "[agent]") {
  Fixture it("plain");
  it.Receive(Fence{Fixture::Id(1), Incarnation(7)});
  CHECK(it.Sent<FenceResult>()->state == FenceState::kNeverRan);
  it.Receive(Fixture::MakeCall(1));
  CHECK_FALSE(it.Ran());
  it.Receive(Fence{Fixture::Id(2), Incarnation(6)});
  CHECK(it.Sent<FenceResult>()->state == FenceState::kUnknown);
}

TEST_CASE("a release does not cancel a running non-idempotent call",
          "[agent]") {
  Fixture it("plain");
  it.Receive(Fixture::MakeCall(1));
  it.Receive(Release{Fixture::Id(1)});
  it.Advance(absl::Seconds(4));
  EngineFinished finished;
  finished.attempt = Fixture::Id(1);
  finished.body = "booked";
  it.Handle(finished);
  it.Receive(Fence{Fixture::Id(1), Incarnation(7)});
  CHECK(it.Sent<FenceResult>()->state == FenceState::kFinished);
  CHECK(it.Sent<Done>()->body == "booked");
}

TEST_CASE("an order to an earlier incarnation does not run", "[agent]") {
  Fixture it("plain");
  StartWork start = Fixture::MakeCall(1);
  start.target = Incarnation(6);
  it.Receive(start);
  CHECK_FALSE(it.Ran());
  CHECK(it.Sent<UnknownAttempt>().has_value());
}

// Found by fuzzing: a release of an attempt that ran in an earlier incarnation
// left a fenced record, and a later fence was answered with kNeverRan.
TEST_CASE(
    "a late release does not make a fence report that the attempt never ran",
    "[agent]") {
  Fixture it("plain");
  it.Receive(Release{Fixture::Id(1)});
  it.Receive(Fence{Fixture::Id(1), Incarnation(6)});
  CHECK(it.Sent<FenceResult>()->state == FenceState::kUnknown);
  StartWork start = Fixture::MakeCall(1);
  start.target = Incarnation(6);
  it.Receive(start);
  CHECK_FALSE(it.Ran());
  CHECK_FALSE(it.Sent<Refused>().has_value());
  CHECK(it.Sent<UnknownAttempt>().has_value());
}

TEST_CASE("reservations hold places until they expire", "[agent]") {
  Fixture it("decode");
  it.Receive(Fixture::MakeReserve(1));
  CHECK(it.Sent<Reserved>().has_value());
  it.Receive(Fixture::MakeReserve(2));
  CHECK(it.Sent<Reserved>().has_value());
  it.Receive(Fixture::MakeReserve(3));
  CHECK(it.Sent<Refused>()->reason == RefusalReason::kNoPlace);
  CHECK(it.core().pieces_held() == 2);
  it.Advance(absl::Seconds(4));
  CHECK(it.core().pieces_held() == 0);
}

TEST_CASE("work is cancelled when its lease is not renewed", "[agent]") {
  Fixture it("decode");
  it.Receive(Fixture::MakeReserve(1));
  StartWork start;
  start.attempt = Fixture::Id(1);
  start.kind = WorkKind::kDecode;
  start.target = Incarnation(7);
  start.output_tokens = 100;
  start.pieces = 1;
  start.deadline_ms = 60000;
  it.Receive(start);
  CHECK(it.Ran());
  Heartbeat renewal;
  renewal.active.items.push_back(Fixture::Id(1));
  it.Advance(absl::Seconds(2));
  it.Receive(renewal);
  it.Advance(absl::Seconds(2));
  CHECK(it.core().stats().lease_expired == 0);
  it.Advance(absl::Seconds(2));
  CHECK(it.core().stats().lease_expired == 1);
}

TEST_CASE("an urgent request preempts a batch request", "[agent]") {
  Fixture it("decode", 1);
  Reserve batch = Fixture::MakeReserve(1);
  batch.priority = Priority::kBatch;
  it.Receive(batch);
  StartWork start;
  start.attempt = Fixture::Id(1);
  start.kind = WorkKind::kDecode;
  start.priority = Priority::kBatch;
  start.target = Incarnation(7);
  start.output_tokens = 1000;
  start.pieces = 1;
  start.deadline_ms = 60000;
  it.Receive(start);
  Reserve urgent = Fixture::MakeReserve(2);
  urgent.priority = Priority::kUrgent;
  it.Receive(urgent);
  CHECK(it.Sent<Refused>().has_value());
  urgent.attempt = Fixture::Id(3);
  urgent.may_preempt = true;
  it.Receive(urgent);
  CHECK(it.Sent<Reserved>().has_value());
  EngineFinished cancelled;
  cancelled.attempt = Fixture::Id(1);
  cancelled.status = WorkStatus::kCancelled;
  it.Handle(cancelled);
  CHECK(it.Sent<Done>()->status == WorkStatus::kPreempted);
}

TEST_CASE("a stopping agent finishes accepted work and refuses new work",
          "[agent]") {
  Fixture it("plain");
  it.Receive(Fixture::MakeCall(1));
  it.Handle(AgentStopRequested{});
  it.Receive(Fixture::MakeCall(2));
  CHECK(it.Sent<Refused>()->reason == RefusalReason::kDraining);
  it.Advance(absl::Seconds(2));
  EngineFinished finished;
  finished.attempt = Fixture::Id(1);
  it.Handle(finished);
  CHECK(it.Sent<Done>().has_value());
  bool drained = false;
  for (int n = 0; n < 3; ++n) {
    it.Advance(absl::Seconds(1));
    drained |= it.Drained();
  }
  CHECK(drained);
  CHECK_FALSE(it.Ran());
  CHECK(it.core().live_attempts() == 0);
}

TEST_CASE("an engine order waits for an empty engine and a confirmed version",
          "[agent]") {
  EngineReconciler reconciler{BackendName("s0")};
  ConfigReplica config;
  VersionRecord record;
  record.number = VersionNumber(4);
  record.content =
      *ApplyMergePatch("{}",
                       R"({"pools":{"p":{"role":"decode","model":"m",
                          "weights":"new","servers":{"s0":{}}}}})");
  record.content_hash = StableHash(record.content);
  REQUIRE(config.Apply(record, kStart));
  EngineStatus status;
  status.up = true;
  status.weights = "old";
  status.role = PoolRole::kDecode;
  reconciler.OnStatus(status);
  CHECK(reconciler.NeedsEmptyEngine(config));
  CHECK_FALSE(reconciler.Next(config, false, true, kStart).has_value());
  CHECK_FALSE(reconciler.Next(config, true, false, kStart).has_value());
  std::optional<EngineOrder> order =
      reconciler.Next(config, true, true, kStart);
  REQUIRE(order.has_value());
  CHECK(order->weights == "new");
  CHECK(order->fence == 4);
  status.weights = "new";
  reconciler.OnStatus(status);
  CHECK(reconciler.IsReconciled(config));
}

}  // namespace
}  // namespace chervilwick
