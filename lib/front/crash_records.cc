// Records of broken runs in the store.

#include "chervilwick/front/crash_records.h"

#include <optional>

#include "chervilwick/front/store_call.h"

namespace chervilwick {
namespace {

// Longest lease that the store grants.
constexpr absl::Duration kLeaseTtl = absl::Minutes(10);
// How long a lease is used for new records. Records last for the rest of the
// lease, which is several times as long as a first quarantine.
constexpr absl::Duration kLeaseReuseTime = absl::Minutes(4);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kMinRetryDelay = absl::Seconds(1);
// Limit of the store for one call.
constexpr size_t kMaxKeysPerCall = 32;
constexpr int kOk = 200;

}  // namespace

void CrashRecords::OnStoreReturned(StoreEra era) {
  era_ = era;
  lease_sent_ = absl::InfinitePast();
  context_.suspects.ForgetRecorded();
}

void CrashRecords::Tick() {
  absl::Time now = context_.loop.Now();
  if (is_calling_ || now < next_attempt_) return;
  if (context_.suspects.Unrecorded(now).empty()) return;
  is_calling_ = true;
  if (now - lease_sent_ < kLeaseReuseTime) {
    WriteRecords();
  } else {
    RequestLease();
  }
}

void CrashRecords::RequestLease() {
  absl::Time sent = context_.loop.Now();
  CallStore(context_, context_.protocol.GrantLease(kLeaseTtl), kCallTimeout,
            [this, sent](const StoreAnswer& answer) {
              std::optional<std::string> lease =
                  context_.protocol.ParseLease(answer.body);
              if (answer.status != kOk || !lease || answer.era < era_) {
                RetryLater();
                return;
              }
              lease_ = *lease;
              lease_sent_ = sent;
              WriteRecords();
            });
}

void CrashRecords::WriteRecords() {
  std::vector<CrashedRun> runs =
      context_.suspects.Unrecorded(context_.loop.Now());
  if (runs.size() > kMaxKeysPerCall) runs.resize(kMaxKeysPerCall);
  CallStore(
      context_, context_.protocol.RecordBrokenRuns(runs, lease_), kCallTimeout,
      [this, runs](const StoreAnswer& answer) { OnWritten(answer, runs); });
}

void CrashRecords::OnWritten(const StoreAnswer& answer,
                             const std::vector<CrashedRun>& runs) {
  if (answer.status != kOk || answer.era < era_) {
    // The lease may have expired. Writing the same keys again is idempotent.
    lease_sent_ = absl::InfinitePast();
    RetryLater();
    return;
  }
  is_calling_ = false;
  context_.suspects.MarkRecorded(runs);
  for (const CrashedRun& it : runs) {
    context_.log.Write(context_.loop.Now(), "break_recorded",
                       {{"fingerprint", FingerprintText(it.fingerprint)}});
  }
}

void CrashRecords::RetryLater() {
  is_calling_ = false;
  next_attempt_ =
      context_.loop.Now() + kMinRetryDelay * absl::Uniform(random_, 1.0, 2.0);
}

}  // namespace chervilwick
