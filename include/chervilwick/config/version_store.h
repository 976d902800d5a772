// Configuration versions in the platform's key-value service: reading them,
// submitting patches, retreating to a known-good version, and resolving the
// outcome of a write whose reply was lost.

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

// Operation on the versions in the store.
enum class VersionRequestKind { kPoll, kPatch, kRetreat, kShow, kMarkGood };

struct VersionRequest {
  uint64_t id = 0;  // chosen by the caller, copied to the result
  VersionRequestKind kind = VersionRequestKind::kPoll;
  PatchId patch_id;
  VersionNumber base;       // version that the operator's patch is based on
  VersionNumber target;     // for retreat, show and mark: a number, or
  std::string target_name;  // the name of a known-good version
  std::string patch;
  std::string author;
  std::string reason;
  bool force = false;  // accept routes without a live server
};

enum class VersionOutcome { kAccepted, kNotAccepted, kUnknown };

// Result of a request.
struct VersionResult {
  uint64_t id = 0;
  VersionRequestKind kind = VersionRequestKind::kPoll;
  VersionOutcome outcome = VersionOutcome::kNotAccepted;
  VersionNumber number;  // accepted or shown; else the current one
  std::string code;      // stable machine-readable reason
  std::string message;   // for the operator, with the next step
  std::vector<std::string> conflicts;  // JSON pointers
  std::string content;                 // of a shown version
};

// Storage of versions and limits of requests.
struct VersionStoreOptions {
  std::string prefix = "chervilwick/config/";
  uint64_t snapshot_interval = 64;    // versions between full records
  uint64_t retained_versions = 4096;  // a multiple of snapshot_interval
  size_t max_queued = 64;
  size_t max_content_bytes = size_t{1} << 20;
  absl::Duration retry_interval = absl::Milliseconds(250);
  absl::Duration deadline = absl::Seconds(5);
};

// Processes requests one at a time. Uses no clock or socket: the caller sends
// the calls from TakeCalls to the store and passes replies to OnReply.
class VersionStore {
 public:
  using LiveServers = std::function<std::set<BackendName>()>;

  VersionStore(VersionStoreOptions options, ConfigReplica& replica,
               LiveServers live_servers);

  // Queues a request. If the queue is full, the request is rejected at once.
  void Submit(VersionRequest request, absl::Time now);
  void OnReply(const KvReply& reply, absl::Time now);
  // Repeats unanswered calls and ends the request at its deadline.
  void Tick(absl::Time now);

  std::vector<KvCall> TakeCalls();
  std::vector<VersionResult> TakeVersionResults();
  // False from a failed call or an expired deadline until the store answers.
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
  void ProcessRequest(absl::Time now);
  void ProcessPatch(absl::Time now);
  void ReadTarget(absl::Time now);
  void OnTarget(const KvReply& reply, absl::Time now);
  void Swap(const std::string& patch, absl::Time now);
  void SwapRecord(VersionRecord record, absl::Time now);
  void MarkGood(const std::string& content, absl::Time now);
  void OnSwap(const KvReply& reply, absl::Time now);
  void OnFailure(const KvReply& reply);
  void CheckSuccessor(const VersionRecord& record);
  void OnSuccessor(const KvReply& reply);
  void RejectStaleBase();
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
  std::vector<VersionResult> results_;

  Step step_ = Step::kIdle;
  VersionRequest request_;
  VersionResult result_;
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
