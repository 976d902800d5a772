// Broken runs in the store.

#include "chervilwick/front/crash_records.h"

#include <optional>

#include "chervilwick/front/store_call.h"

namespace chervilwick {
namespace {

// The store's longest lease.
constexpr absl::Duration kLeaseTime = absl::Minutes(10);
// What is written under a lease is kept for the rest of it: several times as
// long as a first quarantine.
constexpr absl::Duration kLeaseUse = absl::Minutes(4);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kRetryTime = absl::Seconds(1);
// The store's limit of one call.
constexpr size_t kMaxKeys = 32;
constexpr int kOk = 200;

}  // namespace

void CrashRecords::Tick() {
  absl::Time now = context_.loop.Now();
  if (is_calling_ || now < next_try_) return;
  if (context_.suspects.Unrecorded(now).empty()) return;
  is_calling_ = true;
  if (now - lease_sent_ < kLeaseUse) {
    Write();
  } else {
    Lease();
  }
}

void CrashRecords::Lease() {
  absl::Time sent = context_.loop.Now();
  CallStore(context_, context_.protocol.GrantLease(kLeaseTime), kCallTimeout,
            [this, sent](int status, const std::string& body) {
              std::optional<std::string> lease =
                  context_.protocol.ReadLease(body);
              if (status != kOk || !lease) {
                RetryLater();
                return;
              }
              lease_ = *lease;
              lease_sent_ = sent;
              Write();
            });
}

void CrashRecords::Write() {
  std::vector<BrokenRun> runs =
      context_.suspects.Unrecorded(context_.loop.Now());
  if (runs.size() > kMaxKeys) runs.resize(kMaxKeys);
  CallStore(context_, context_.protocol.RecordBrokenRuns(runs, lease_),
            kCallTimeout,
            [this, runs](int status, const std::string& /*body*/) {
              OnWritten(status, runs);
            });
}

void CrashRecords::OnWritten(int status, const std::vector<BrokenRun>& runs) {
  if (status != kOk) {
    // The lease may have ended; writing the same keys again changes nothing.
    lease_sent_ = absl::InfinitePast();
    RetryLater();
    return;
  }
  is_calling_ = false;
  context_.suspects.MarkRecorded(runs);
  for (const BrokenRun& it : runs) {
    context_.log.Write(context_.loop.Now(), "break_recorded",
                       {{"fingerprint", FingerprintText(it.fingerprint)}});
  }
}

void CrashRecords::RetryLater() {
  is_calling_ = false;
  next_try_ =
      context_.loop.Now() + kRetryTime * absl::Uniform(random_, 1.0, 2.0);
}

}  // namespace chervilwick
