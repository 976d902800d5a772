// Records of the attempts that an agent has received.

#ifndef CHERVILWICK_LEDGER_ATTEMPT_LEDGER_H_
#define CHERVILWICK_LEDGER_ATTEMPT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

enum class AttemptState {
  kReserved,  // holds a place; its order has not arrived
  kQueued,    // order received, waiting for a place
  kRunning,
  kDone,
  kFenced,  // has not run and must not run
};

struct AttemptRecord {
  AttemptId id;
  NodeName owner;  // entry that gets the replies
  AttemptState state = AttemptState::kReserved;
  StartWork start;        // for a reservation only the fields of Reserve
  absl::Time place_from;  // when a reserved place becomes available
  absl::Time expires;     // end of a reservation
  absl::Time deadline;
  absl::Time lease_until;
  absl::Time queued_at;
  absl::Time started_at;
  absl::Time last_output_at;
  absl::Time ended_at;
  RefusalReason refusal = RefusalReason::kFenced;  // valid in state kFenced
  std::optional<WorkStatus> stopping;  // status to report once cancelled
  std::vector<std::string> output;     // all tokens so far, from offset 0
  Done done;
};

// Limits on the ended records that are kept.
struct AttemptLedgerOptions {
  absl::Duration retention = absl::Minutes(10);  // non-idempotent attempts
  absl::Duration idempotent_retention = absl::Seconds(10);
  size_t max_ended = 20000;
  size_t max_ended_bytes = size_t{16} << 20;
};

// Records of live and ended attempts. Ended records are kept for a retention
// period, within limits. Once a non-idempotent record is pruned, MayHaveRun is
// true for it and all earlier attempts of the same incarnation of the entry.
class AttemptLedger {
 public:
  explicit AttemptLedger(AttemptLedgerOptions options) : options_(options) {}

  AttemptRecord* Find(const AttemptId& id);
  AttemptRecord& Insert(AttemptRecord record);
  // Marks an attempt as ended (kDone or kFenced) and starts its retention
  // period.
  void End(AttemptRecord& record, AttemptState state, absl::Time now);
  // Removes a record without its being counted as pruned, so the attempt must
  // be live or idempotent.
  void Erase(const AttemptId& id);
  // Whether an attempt that has no record may have run in this incarnation of
  // the agent.
  bool MayHaveRun(const AttemptId& id) const;
  // Removes ended records past their retention period or beyond the limits.
  void Prune(absl::Time now);

  // Visits live records (reserved, queued or running) in order of insertion.
  void ForEachLive(const std::function<void(AttemptRecord&)>& visit);
  size_t live_count() const { return live_.size(); }
  size_t ended_count() const { return ended_.size(); }

 private:
  static size_t Bytes(const AttemptRecord& record);

  const AttemptLedgerOptions options_;
  absl::flat_hash_map<AttemptId, std::unique_ptr<AttemptRecord>> records_;
  std::map<uint64_t, AttemptId> live_;   // by insertion order
  std::map<uint64_t, AttemptId> ended_;  // by order of ending
  absl::flat_hash_map<AttemptId, uint64_t> order_;
  absl::flat_hash_map<Incarnation, uint64_t> pruned_up_to_;
  size_t ended_bytes_ = 0;
  uint64_t next_order_ = 1;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LEDGER_ATTEMPT_LEDGER_H_
