// Broken runs in the store, for the case that all fronts restart together.

#ifndef CHERVILWICK_FRONT_CRASH_RECORDS_H_
#define CHERVILWICK_FRONT_CRASH_RECORDS_H_

#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"

namespace chervilwick {

// Writes the runs that this front lost of requests with several breaks, one key
// each, so that fronts never write the same one. The keys lapse with a lease.
// Reading them is up to StoreSync.
class CrashRecords {
 public:
  explicit CrashRecords(FrontContext& context) : context_(context) {}

  // Called from a timer while the store answers.
  void Tick();

 private:
  void Lease();
  void Write();
  void OnWritten(int status, const std::vector<BrokenRun>& runs);
  void RetryLater();

  FrontContext& context_;
  absl::BitGen random_;
  bool is_calling_ = false;
  std::string lease_;
  absl::Time lease_sent_ = absl::InfinitePast();
  absl::Time next_try_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_CRASH_RECORDS_H_
