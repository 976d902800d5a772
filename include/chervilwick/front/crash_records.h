// Records of broken runs in the store, which survive a restart of all fronts.

#ifndef CHERVILWICK_FRONT_CRASH_RECORDS_H_
#define CHERVILWICK_FRONT_CRASH_RECORDS_H_

#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/front/store_call.h"

namespace chervilwick {

// Writes the broken runs that this front saw of requests with several breaks.
// Each run has its own key, so that two fronts never write the same key. The
// keys expire with their lease. StoreSync reads them.
class CrashRecords {
 public:
  explicit CrashRecords(FrontContext& context) : context_(context) {}

  // The store has returned from an older copy: records are written again.
  void OnStoreReturned(StoreEra era);
  // Called from a timer while the store is reachable.
  void Tick();

 private:
  void RequestLease();
  void WriteRecords();
  void OnWritten(const StoreAnswer& answer,
                 const std::vector<CrashedRun>& runs);
  void RetryLater();

  FrontContext& context_;
  absl::BitGen random_;
  bool is_calling_ = false;
  StoreEra era_;
  std::string lease_;
  absl::Time lease_sent_ = absl::InfinitePast();
  absl::Time next_attempt_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_CRASH_RECORDS_H_
