// Claims on idempotency keys in the platform's key-value service. A claim
// states which attempt may run a non-idempotent request and, once done, its
// outcome.

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

// The value stored for one idempotency key.
struct Claim {
  AttemptId attempt;  // attempt that may run or has run
  NodeName agent;
  std::string agent_address;
  Incarnation agent_incarnation;
  uint64_t body_hash = 0;  // request body
  int64_t claimed_unix_ms = 0;
  bool done = false;
  uint32_t http_status = 0;
  std::string content_type;
  std::string body;           // response body
  bool body_omitted = false;  // response body over max_body_bytes
};

std::string ClaimToJson(const Claim& claim);
std::optional<Claim> ClaimFromJson(const std::string& text);

enum class ClaimOutcome {
  kGranted,  // the store holds this claim now
  kExists,   // the store holds another claim
  // No usable answer by the deadline, too many pending claims, or the claim to
  // replace has expired in the store.
  kUnavailable,
};

struct ClaimResult {
  uint64_t op_id = 0;
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  Claim current;         // the other claim, if kExists
  int64_t revision = 0;  // revision of the claim in the store
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

// Writes claims by compare-and-swap, several in one transaction. A transaction
// whose response was lost is resent; its compares let it take effect only once.
class ClaimLog {
 public:
  explicit ClaimLog(ClaimLogOptions options) : options_(std::move(options)) {}

  // Stores `claim` under `key` if the key is still at `revision` (zero:
  // absent). TakeResults returns the result.
  void Put(uint64_t op_id, const std::string& key, Claim claim,
           int64_t revision, absl::Time now);
  // Records the outcome of a claimed attempt. No caller waits for it, so it is
  // retried until the longer record_deadline and yields no result.
  void Record(const std::string& key, Claim claim, int64_t revision,
              absl::Time now);

  void OnReply(const KvReply& reply, absl::Time now);
  void Tick(absl::Time now);
  std::vector<KvCall> TakeCalls();
  std::vector<ClaimResult> TakeResults();
  size_t pending() const { return waiting_.size() + batch_.size(); }

 private:
  struct Op {
    uint64_t op_id = 0;  // zero: from Record, yields no result
    std::string key;
    Claim claim;
    int64_t revision = 0;
    absl::Time deadline;
  };

  void Enqueue(Op op);
  void SendNext(absl::Time now);
  void SendLeaseGrant(absl::Time now);
  void SendBatch(absl::Time now);
  void OnCommitted(const KvReply& reply);
  void OnCompareFailed(const KvReply& reply);
  bool ResolveFailedCompare(const Op& op, const KvReply& reply);
  void Finish(const Op& op, ClaimOutcome outcome, Claim current,
              int64_t revision);

  const ClaimLogOptions options_;
  std::deque<Op> waiting_;
  std::vector<Op> batch_;  // operations of the current transaction
  std::vector<KvCall> calls_;
  std::vector<ClaimResult> results_;
  KvCall call_;  // the latest call
  bool call_in_flight_ = false;
  bool requesting_lease_ = false;
  int64_t lease_ = 0;
  absl::Time lease_renewal_ = absl::InfinitePast();
  absl::Time next_retry_ = absl::InfinitePast();
  uint64_t next_call_id_ = 1;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LEDGER_CLAIM_LOG_H_
