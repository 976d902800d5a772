// Local copy of the configuration and the list of backend servers in the store.

#ifndef CHERVILWICK_FRONT_STORE_SYNC_H_
#define CHERVILWICK_FRONT_STORE_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "absl/random/random.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/store_call_plan.h"
#include "chervilwick/front/front_context.h"

namespace chervilwick {

// Reads both once, then follows changes with one long-poll call at a time.
// While the store is unreachable, the last copy stays in use and newer copies
// of other fronts are applied.
class StoreSync {
 public:
  struct Listener {
    std::function<void(const RouteTable&)> on_table;
    std::function<void(const BackendRecord&)> on_backend;
    // The entry was removed. If `at` is later than now, the server stays in use
    // until then, and longer if the entry returns.
    std::function<void(const BackendName&, absl::Time at)> on_removed;
    std::function<void(bool reachable, absl::string_view reason)> on_reachable;
    std::function<void(const std::string& holder)> on_duty_holder;
    // The store has returned from an older copy, without the leases and keys
    // that fronts wrote since. Called after each change of `era`.
    std::function<void(StoreEra era)> on_returned;
    std::function<void(const CrashedRun&)> on_broken_run;
    std::function<void(const StreamOrigin&)> on_stream_origin;
    // A change that each front has to act on was read, unless a peer has told
    // of it before.
    std::function<void(const StoreRevision&)> on_urgent_change =
        [](const StoreRevision&) {};
  };

  StoreSync(FrontContext& context, Listener listener);

  void Start();
  bool has_table() const { return has_table_; }
  bool has_backends() const { return has_backends_; }
  bool is_reachable() const { return !plan_.IsOutage(); }
  // Up to which changes of the store are known. The number is zero while
  // everything is read for the first time in an era.
  StoreRevision revision() const { return {era_, revision_}; }
  absl::Time last_answer() const { return last_answer_; }

  // A peer has read an urgent change. Ends the pause after changes that are not
  // urgent.
  void OnPeerChange(const StoreRevision& revision);
  // Encodes the stored items by key, for another front.
  std::string Snapshot() const;
  // Applies another front's copy if it is newer. Returns false if it is
  // malformed.
  bool ApplySnapshot(const std::string& snapshot);

 private:
  enum class Step { kConfiguration, kBackends, kBrokenRuns, kWatch };

  // Name of a step's call in the log.
  static absl::string_view StepName(Step step);
  // Section to read in a step before kWatch.
  static StoreSection SectionOf(Step step);
  void Call();
  void OnEvent(CallEvent event);
  void OnHead(const HttpHead& head);
  // The store has returned from a copy: everything is read again, and what is
  // known stands until then.
  void BeginEra(StoreEra era);
  void ForgetRevisions();
  void Reload();
  void OnAnswer();
  void OnPage();
  void OnWatch();
  void TellOfChange(const StoreRevision& revision);
  void OnFailure(StoreCallFailure failure);
  void OnTimeout();
  void RecordSuccess(bool has_changes);
  void Apply(const StoreItem& item);
  void ApplyRemoval(const BackendName& id);
  void ApplyTable(const StoreItem& item, RouteTable& table);
  // Logs one line for each version of an item, and drops the server that an
  // earlier version named.
  void OnMalformed(const StoreItem& item, const MalformedItem& problem);
  // Whether a version without a readable number was known before the store
  // returned from a copy.
  bool IsFromEarlierEra(const StoreItem& item) const;
  // Whether the record comes from the copy that the store returned from, and a
  // later one, or its removal, is known.
  bool IsFromEarlierEra(const std::string& key,
                        const BackendRecord& record) const;
  void RecordRemoval(const std::string& key);
  void PassOver(const StoreItem& item);
  // Takes the entries that the store still has: their servers write them.
  void ApplyPassedOver();
  bool IsOwnAddress(const Endpoint& endpoint) const;
  void RemoveUnlisted();

  FrontContext& context_;
  Listener listener_;
  StoreCallPlan plan_;
  Timer retry_;
  Timer timeout_;
  absl::BitGen random_;
  Step step_ = Step::kConfiguration;
  CallId call_;
  absl::Time call_began_ = absl::InfinitePast();
  int status_ = 0;
  std::string body_;
  std::string after_key_;
  StoreEra era_;
  bool has_era_ = false;
  uint64_t load_revision_ = 0;
  uint64_t revision_ = 0;
  VersionNumber version_;        // newest number that was read
  uint64_t table_revision_ = 0;  // at which the table in force was written
  bool has_table_ = false;
  // The load in progress is the first since the store returned from a copy.
  bool is_first_load_of_era_ = false;
  // The store has returned from a copy in the lifetime of this front.
  bool has_returned_ = false;
  // Items are from a read of everything or a peer's copy, not from a watch.
  bool is_reading_all_ = false;
  // Hashes of the versions without a number that were in force.
  std::set<uint64_t> unnumbered_tables_;
  // The answer that arrives was asked for in an earlier era.
  bool is_answer_outdated_ = false;
  bool has_backends_ = false;
  // In the pause after changes that are not urgent.
  bool is_idle_pause_ = false;
  // Up to which urgent changes this front has told its peers of, or they it.
  StoreRevision urgent_told_;
  bool is_in_outage_ = false;
  absl::Time last_answer_ = absl::InfinitePast();
  // Entries removed before this time may have expired because of the outage, or
  // be missing from the copy that the store returned from.
  // Their removal takes effect at this time.
  absl::Time lapse_grace_end_ = absl::InfinitePast();
  std::set<std::string> loaded_keys_;
  std::map<std::string, StoreItem> items_;
  // Latest record of each server and, for a while, of each removed one.
  struct LatestRecord {
    BackendRecord record;
    absl::Time removed = absl::InfiniteFuture();

    bool IsRemoved() const { return removed != absl::InfiniteFuture(); }
  };
  std::map<std::string, LatestRecord> latest_records_;
  // Entries that were passed over because their removal is known.
  std::map<std::string, StoreItem> passed_over_;
  Timer passed_over_check_;
  // Records of crashes that were passed on. They have no age: passing them on
  // again would make them crashes of now.
  std::set<std::string> merged_runs_;
  std::map<std::string, uint64_t> malformed_;  // revisions that were logged
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STORE_SYNC_H_
