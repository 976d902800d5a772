// Versions in the platform's key-value service: reading them, submitting
// patches, retreating, and finding out what became of a lost answer.

#ifndef CHERVILWICK_CONFIG_VERSION_STORE_H_
#define CHERVILWICK_CONFIG_VERSION_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/config/config_replica.h"
#include "chervilwick/store/kv.h"

namespace chervilwick {

// What an operator asks of the store.
enum class VersionRequestKind { kPoll, kPatch, kRetreat, kShow, kMarkGood };

struct VersionRequest {
  uint64_t id = 0;  // chosen by the caller, echoed in the verdict
  VersionRequestKind kind = VersionRequestKind::kPoll;
  PatchId patch_id;
  VersionNumber base;       // stated by the operator
  VersionNumber target;     // retreat, show, mark: a number, or
  std::string target_name;  // the name of a known-good version
  std::string patch;
  std::string author;
  std::string reason;
  bool force = false;  // accept a route without a live pool
};

enum class VersionOutcome { kAccepted, kNotAccepted, kUnknown };

// Final word on a request.
struct VersionVerdict {
  uint64_t id = 0;
  VersionRequestKind kind = VersionRequestKind::kPoll;
  VersionOutcome outcome = VersionOutcome::kNotAccepted;
  VersionNumber number;  // accepted or shown; else the current one
  std::string code;      // stable machine-readable reason
  std::string message;   // for the operator, with what to do
  std::vector<std::string> conflicts;  // JSON pointers
  std::string content;                 // of a shown version
};

// Where and how versions are kept.
struct VersionStoreOptions {
  std::string prefix = "chervilwick/config/";
  uint64_t snapshot_interval = 64;    // versions between full records
  uint64_t retained_versions = 4096;  // a multiple of snapshot_interval
  size_t max_queued = 64;
  size_t max_content_bytes = size_t{1} << 20;
  absl::Duration retry_interval = absl::Milliseconds(250);
  absl::Duration deadline = absl::Seconds(5);
};

// Performs one request after the other. Has no clock or socket: calls on the
// store are collected in TakeCalls and answered through OnReply.
class VersionStore {
 public:
  using LiveServers = std::function<std::set<BackendName>()>;

  VersionStore(VersionStoreOptions options, ConfigReplica& replica,
               LiveServers live_servers);

  // Queues a request. One that finds the queue full gets its verdict at once.
  void Submit(VersionRequest request, absl::Time now);
  void OnReply(const KvReply& reply, absl::Time now);
  // Repeats calls that were not answered and gives up at the deadline.
  void Tick(absl::Time now);

  std::vector<KvCall> TakeCalls();
  std::vector<VersionVerdict> TakeVerdicts();
  // Whether the store answered its last call.
  bool IsReachable() const { return reachable_; }

 private:
  enum class Step {
    kIdle,
    kReadHead,
    kCatchUp,
    kReadTarget,
    kReadSuccessor,
    kSwap
  };

  void StartNext(absl::Time now);
  void ReadHead(absl::Time now);
  void OnHead(const KvReply& reply, absl::Time now);
  void CatchUp(absl::Time now, bool from_snapshot);
  void OnCatchUp(const KvReply& reply, absl::Time now);
  void Decide(absl::Time now);
  void DecidePatch(absl::Time now);
  void ReadTarget(absl::Time now);
  void OnTarget(const KvReply& reply, absl::Time now);
  void Swap(const std::string& patch, absl::Time now);
  void SwapRecord(VersionRecord record, absl::Time now);
  void MarkGood(const std::string& content, absl::Time now);
  void OnSwap(const KvReply& reply, absl::Time now);
  void OnFailure(const KvReply& reply);
  void JudgeSuccessor(const VersionRecord& record);
  void OnSuccessor(const KvReply& reply);
  void RefuseStaleBase();
  void Call(KvCall call, Step step, absl::Time now);
  void Finish(VersionOutcome outcome, std::string code, std::string message);
  KvCall VersionRange(uint64_t first, uint64_t last) const;
  std::string VersionKey(uint64_t number) const;
  uint64_t SnapshotAtOrBefore(uint64_t number) const;

  const VersionStoreOptions options_;
  ConfigReplica& replica_;
  const LiveServers live_servers_;
  std::deque<VersionRequest> queue_;
  std::vector<KvCall> calls_;
  std::vector<VersionVerdict> verdicts_;

  Step step_ = Step::kIdle;
  VersionRequest request_;
  VersionVerdict verdict_;
  KvCall call_;
  VersionRecord swap_record_;
  uint64_t head_number_ = 0;
  int64_t head_revision_ = 0;
  bool caught_up_from_snapshot_ = false;
  bool maybe_applied_ = false;
  bool reachable_ = true;
  uint64_t next_call_id_ = 1;
  absl::Time deadline_;
  absl::Time next_retry_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_CONFIG_VERSION_STORE_H_
