// Claims on idempotency keys in the platform's key-value service. A claim says
// which attempt may run a non-idempotent request, and later how it ended.

#ifndef CHERVILWICK_LEDGER_CLAIM_LOG_H_
#define CHERVILWICK_LEDGER_CLAIM_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/store/kv.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// What the store keeps for one idempotency key.
struct Claim {
  AttemptId attempt;  // that may run, or has run
  NodeName agent;
  std::string agent_address;
  Incarnation agent_incarnation;
  uint64_t body_hash = 0;  // of the request
  int64_t claimed_unix_ms = 0;
  bool done = false;
  uint32_t http_status = 0;
  std::string content_type;
  std::string body;           // of the answer
  bool body_omitted = false;  // the answer was too long to be kept
};

std::string ClaimToJson(const Claim& claim);
std::optional<Claim> ClaimFromJson(const std::string& text);

enum class ClaimOutcome {
  kGranted,      // the store holds this claim
  kExists,       // the store holds another one
  kUnavailable,  // the store did not answer in time
};

struct ClaimResult {
  uint64_t op_id = 0;
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  Claim current;         // when kExists
  int64_t revision = 0;  // of the claim in the store
};

struct ClaimLogOptions {
  std::string prefix = "chervilwick/claims/";
  size_t max_batch = 48;
  size_t max_pending = 4096;
  size_t max_body_bytes = size_t{16} << 10;
  absl::Duration retention = absl::Hours(1);
  absl::Duration retry_interval = absl::Milliseconds(250);
  absl::Duration deadline = absl::Seconds(2);
  absl::Duration record_deadline = absl::Minutes(5);
};

// Writes claims by compare-and-swap, many in one transaction. A transaction
// whose answer was lost is sent again unchanged: it can take effect only once.
class ClaimLog {
 public:
  explicit ClaimLog(ClaimLogOptions options) : options_(std::move(options)) {}

  // Asks that the store hold `claim` under `key`, which is now at `revision`
  // (zero: absent). The result comes through TakeResults.
  void Put(uint64_t op_id, const std::string& key, Claim claim,
           int64_t revision, absl::Time now);
  // Records the end of a claimed attempt. Kept trying for long: it has no
  // caller that waits.
  void Record(const std::string& key, Claim claim, int64_t revision,
              absl::Time now);

  void OnReply(const KvReply& reply, absl::Time now);
  void Tick(absl::Time now);
  std::vector<KvCall> TakeCalls();
  std::vector<ClaimResult> TakeResults();
  size_t pending() const { return waiting_.size() + batch_.size(); }

 private:
  struct Op {
    uint64_t op_id = 0;  // zero: a record without a caller
    std::string key;
    Claim claim;
    int64_t revision = 0;
    absl::Time deadline;
  };

  void Enqueue(Op op);
  void SendNext(absl::Time now);
  void SendLeaseGrant(absl::Time now);
  void SendBatch(absl::Time now);
  void OnSwapped(const KvReply& reply);
  void OnCompareFailed(const KvReply& reply);
  bool Settle(const Op& op, const KvReply& reply);
  void Finish(const Op& op, ClaimOutcome outcome, Claim current,
              int64_t revision);

  const ClaimLogOptions options_;
  std::deque<Op> waiting_;
  std::vector<Op> batch_;  // in the transaction under way
  std::vector<KvCall> calls_;
  std::vector<ClaimResult> results_;
  KvCall call_;  // under way
  bool call_in_flight_ = false;
  bool asks_lease_ = false;
  int64_t lease_ = 0;
  absl::Time lease_renewal_ = absl::InfinitePast();
  absl::Time next_retry_ = absl::InfinitePast();
  uint64_t next_call_id_ = 1;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LEDGER_CLAIM_LOG_H_
