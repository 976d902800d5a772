// Copy of the configuration and the list of backend servers in the store.

#ifndef CHERVILWICK_FRONT_STORE_SYNC_H_
#define CHERVILWICK_FRONT_STORE_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "absl/random/random.h"
#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"

namespace chervilwick {

// Reads both once, then follows changes with one waiting call at a time. While
// the store can't be reached the last copy stands, and other fronts' copies are
// taken in.
class StoreSync {
 public:
  struct Listener {
    std::function<void(const RouteTable&)> on_table;
    std::function<void(const BackendRecord&)> on_backend;
    // Gone at once, or at `at` unless the entry comes back.
    std::function<void(const BackendName&, absl::Time at)> on_removed;
    std::function<void(bool reachable, absl::string_view why)> on_reachable;
    std::function<void(const std::string& holder)> on_duty_holder;
    std::function<void(const BrokenRun&)> on_broken_run;
  };

  StoreSync(FrontContext& context, Listener listener);

  void Start();
  bool has_table() const { return version_ != 0; }
  bool has_backends() const { return has_backends_; }
  bool is_reachable() const { return failures_ < kOutageFailures; }
  uint64_t revision() const { return revision_; }
  absl::Time last_answer() const { return last_answer_; }

  // Items by key, as they were read; for another front.
  std::string Snapshot() const;
  // Takes another front's copy if it is newer. Returns false on bad bytes.
  bool TakeSnapshot(const std::string& snapshot);

 private:
  enum class Step { kConfiguration, kBackends, kBrokenRuns, kWatch };

  // A waiting call may be cut; a second failure in a row, or a call without an
  // answer, is an outage.
  static constexpr int kOutageFailures = 2;

  // The section that is read in a step before the watch.
  static StoreSection SectionOf(Step step);
  void Call();
  void OnEvent(CallEvent event);
  void OnAnswer();
  void OnPage();
  void OnWatch();
  void OnFailure(absl::string_view why);
  void OnTimeout();
  void Regained();
  void Apply(const StoreItem& item);
  void ApplyRemoval(const BackendName& id);
  void RemoveMissing();
  absl::Duration Backoff();

  FrontContext& context_;
  Listener listener_;
  Timer retry_;
  Timer timeout_;
  absl::BitGen random_;
  Step step_ = Step::kConfiguration;
  CallId call_;
  int status_ = 0;
  std::string body_;
  std::string after_key_;
  uint64_t load_revision_ = 0;
  uint64_t revision_ = 0;
  uint64_t version_ = 0;
  bool has_backends_ = false;
  int failures_ = 0;
  bool had_outage_ = false;
  absl::Time last_answer_ = absl::InfinitePast();
  // Removals until then may be lapses of the outage and are believed later.
  absl::Time settled_at_ = absl::InfinitePast();
  std::set<std::string> loaded_keys_;
  std::map<std::string, StoreItem> items_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STORE_SYNC_H_
