// Unit tests of AttemptLedger, CrashLedger and ClaimLog.

#include <catch2/catch.hpp>
#include <utility>

#include "chervilwick/ledger/attempt_ledger.h"
#include "chervilwick/ledger/claim_log.h"
#include "chervilwick/ledger/crash_ledger.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

AttemptRecord Record(uint64_t sequence, bool idempotent) {
  AttemptRecord record;
  record.id = {Incarnation(1), sequence};
  record.start.idempotent = idempotent;
  return record;
}

TEST_CASE("a pruned non-idempotent attempt counts as one that may have run",
          "[ledger]") {
  AttemptLedgerOptions options;
  options.retention = absl::Minutes(10);
  AttemptLedger ledger(options);
  ledger.End(ledger.Insert(Record(5, false)), AttemptState::kDone, kStart);
  ledger.Prune(kStart + absl::Minutes(9));
  CHECK(ledger.Find({Incarnation(1), 5}) != nullptr);
  CHECK_FALSE(ledger.MayHaveRun({Incarnation(1), 4}));
  ledger.Prune(kStart + absl::Minutes(11));
  CHECK(ledger.Find({Incarnation(1), 5}) == nullptr);
  CHECK(ledger.MayHaveRun({Incarnation(1), 4}));
  CHECK_FALSE(ledger.MayHaveRun({Incarnation(1), 6}));
  CHECK_FALSE(ledger.MayHaveRun({Incarnation(2), 4}));
}

TEST_CASE("the number of ended records is bounded", "[ledger]") {
  AttemptLedgerOptions options;
  options.max_ended = 10;
  AttemptLedger ledger(options);
  for (uint64_t it = 1; it <= 30; ++it) {
    ledger.End(ledger.Insert(Record(it, false)), AttemptState::kDone, kStart);
  }
  ledger.Prune(kStart);
  CHECK(ledger.ended_count() == 10);
  CHECK(ledger.MayHaveRun({Incarnation(1), 20}));
}

CrashReport Crash(uint64_t id, const std::vector<uint64_t>& running) {
  CrashReport report;
  report.crash_id = id;
  for (uint64_t it : running) {
    report.running.items.push_back(Fingerprint(it));
  }
  return report;
}

TEST_CASE("only the request common to two crashes is quarantined", "[ledger]") {
  CrashLedger ledger;
  CHECK(ledger.Add(Crash(1, {10, 11, 12}), kStart));
  CHECK_FALSE(ledger.Add(Crash(1, {10, 11, 12}), kStart));
  CHECK(ledger.IsSuspect(Fingerprint(11)));
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(10)));
  ledger.Add(Crash(2, {10, 20}), kStart);
  CHECK(ledger.IsQuarantined(Fingerprint(10)));
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(11)));
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(20)));
}

TEST_CASE("two requests running at the same crashes are not quarantined",
          "[ledger]") {
  CrashLedger ledger;
  ledger.Add(Crash(1, {10, 11}), kStart);
  ledger.Add(Crash(2, {10, 11}), kStart);
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(10)));
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(11)));
  ledger.Add(Crash(3, {11}), kStart);
  CHECK(ledger.IsQuarantined(Fingerprint(11)));
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(10)));
  ledger.Prune(kStart + absl::Minutes(11));
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(11)));
}

TEST_CASE("a request that completes is no longer a suspect", "[ledger]") {
  CrashLedger ledger;
  ledger.Add(Crash(1, {10, 11}), kStart);
  ledger.ClearSuspect(Fingerprint(11));
  CHECK_FALSE(ledger.IsSuspect(Fingerprint(11)));
  ledger.Add(Crash(1, {10, 11}), kStart);
  CHECK_FALSE(ledger.IsSuspect(Fingerprint(11)));
  ledger.Add(Crash(2, {10, 11}), kStart);
  CHECK(ledger.IsQuarantined(Fingerprint(10)));
  CHECK_FALSE(ledger.IsQuarantined(Fingerprint(11)));
}

TEST_CASE("a full ledger evicts the oldest crash, not the newest", "[ledger]") {
  CrashLedger ledger;
  uint64_t id = 0;
  absl::Time now = kStart;
  while (ledger.size() == id && id < 100000) {
    ++id;
    now += absl::Milliseconds(1);
    ledger.Add(Crash(id, {1000 + id}), now);
  }
  REQUIRE(ledger.size() < id);
  CHECK(ledger.IsSuspect(Fingerprint(1000 + id)));
  CHECK_FALSE(ledger.IsSuspect(Fingerprint(1001)));
}

Claim MakeClaim(uint64_t sequence) {
  Claim claim;
  claim.attempt = {Incarnation(1), sequence};
  claim.agent = NodeName("agent");
  return claim;
}

// Grants the lease that a new log requests and returns the call that follows.
KvCall GrantLease(ClaimLog& log) {
  KvCall grant = log.TakeCalls().at(0);
  REQUIRE(std::holds_alternative<KvLeaseGrant>(grant.body));
  KvReply reply;
  reply.call_id = grant.call_id;
  reply.outcome = KvOutcome::kOk;
  reply.lease = 77;
  log.OnReply(reply, kStart);
  return log.TakeCalls().at(0);
}

TEST_CASE("waiting claims are written in one transaction", "[ledger]") {
  ClaimLog log(ClaimLogOptions{});
  log.Put(1, "a", MakeClaim(1), 0, kStart);
  log.Put(2, "b", MakeClaim(2), 0, kStart);
  KvCall call = GrantLease(log);
  const auto& txn = std::get<KvTxn>(call.body);
  CHECK(txn.puts.size() == 2);
  CHECK(txn.puts[0].lease == 77);
  KvReply reply;
  reply.call_id = call.call_id;
  reply.outcome = KvOutcome::kOk;
  reply.revision = 9;
  log.OnReply(reply, kStart);
  std::vector<ClaimResult> results = log.TakeResults();
  REQUIRE(results.size() == 2);
  CHECK(results[0].outcome == ClaimOutcome::kGranted);
  CHECK(results[1].revision == 9);
}

TEST_CASE("a conflict on one key does not fail the rest of the batch",
          "[ledger]") {
  ClaimLog log(ClaimLogOptions{});
  log.Put(1, "a", MakeClaim(1), 0, kStart);
  log.Put(2, "b", MakeClaim(2), 0, kStart);
  KvCall call = GrantLease(log);
  KvReply reply;
  reply.call_id = call.call_id;
  reply.outcome = KvOutcome::kCompareFailed;
  reply.values = {{"chervilwick/claims/a", ClaimToJson(MakeClaim(50)), 4}};
  log.OnReply(reply, kStart);
  std::vector<ClaimResult> results = log.TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].op_id == 1);
  CHECK(results[0].outcome == ClaimOutcome::kExists);
  CHECK(results[0].current.attempt.sequence == 50);
  CHECK(std::get<KvTxn>(log.TakeCalls().at(0).body).puts.size() == 1);
}

TEST_CASE("a claim whose response was lost is recognized as granted",
          "[ledger]") {
  ClaimLog log(ClaimLogOptions{});
  log.Put(1, "a", MakeClaim(1), 0, kStart);
  KvCall call = GrantLease(log);
  KvReply lost;
  lost.call_id = call.call_id;
  lost.outcome = KvOutcome::kUnknown;
  log.OnReply(lost, kStart);
  log.Tick(kStart + absl::Milliseconds(300));
  KvCall again = log.TakeCalls().at(0);
  KvReply reply;
  reply.call_id = again.call_id;
  reply.outcome = KvOutcome::kCompareFailed;
  reply.values = {{"chervilwick/claims/a", ClaimToJson(MakeClaim(1)), 4}};
  log.OnReply(reply, kStart);
  std::vector<ClaimResult> results = log.TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].outcome == ClaimOutcome::kGranted);
  CHECK(results[0].revision == 4);
}

TEST_CASE("a claim is unavailable after its deadline without the store",
          "[ledger]") {
  ClaimLog log(ClaimLogOptions{});
  log.Put(1, "a", MakeClaim(1), 0, kStart);
  log.Tick(kStart + absl::Seconds(3));
  std::vector<ClaimResult> results = log.TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].outcome == ClaimOutcome::kUnavailable);
}

}  // namespace
}  // namespace chervilwick
