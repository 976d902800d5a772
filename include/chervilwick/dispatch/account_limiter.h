// One front's part in holding client accounts to their caps over all fronts.

#ifndef CHERVILWICK_DISPATCH_ACCOUNT_LIMITER_H_
#define CHERVILWICK_DISPATCH_ACCOUNT_LIMITER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "absl/time/time.h"
#include "chervilwick/dispatch/client_accounts.h"
#include "chervilwick/support/strong_type.h"

namespace chervilwick {

// Stable hash of an account's name, as sent between fronts.
using AccountId = StrongType<struct AccountIdTag, uint64_t>;

AccountId IdOfAccount(const AccountName& name);

// In any window, an account may exceed its cap (rate times window plus burst)
// by `excess` times the cap plus `slack`, in the cap's units.
struct AccountTolerance {
  absl::Duration window = absl::Seconds(8);
  double excess = 0;
  double slack = 0;
};

// Net use of an account by one front, in the cap's units.
struct AccountTotal {
  // A total begins anew at zero, with another number, after a long idle time
  // and with each new bucket.
  uint32_t series = 0;
  // Decreases when a request that was charged has not run.
  int64_t total = 0;

  friend bool operator==(const AccountTotal& a, const AccountTotal& b) {
    return a.series == b.series && a.total == b.total;
  }
};
using AccountUse = std::map<AccountId, AccountTotal>;

// Distinguishes the bucket of an account from those that it had in earlier
// configurations, or with another unit. 0 stands for none.
using BucketNumber = StrongType<struct BucketNumberTag, uint32_t>;

// What a request took from an account's cap.
struct CapCharge {
  AccountName account;
  int64_t cost = 0;     // in the cap's units
  BucketNumber bucket;  // none if the account had no cap
};

struct AccountVerdict {
  enum class Outcome {
    kAdmitted,
    kWait,  // ask again once the peers know what this front took just before
    kRefused,
  };

  Outcome outcome = Outcome::kAdmitted;
  CapCharge charge;  // if admitted
  int64_t left = 0;  // that the fleet may still take, before this request
  absl::Duration retry_after = absl::ZeroDuration();  // unless admitted

  bool IsAdmitted() const { return outcome == Outcome::kAdmitted; }
};

struct AccountLevel {
  int64_t left = 0;  // that the fleet may still take
  int64_t capacity = 0;
  double rate_per_s = 0;
};

// Keeps a bucket for each account with what the whole fleet may still take, and
// subtracts what the other fronts tell. Decides when one account asks for many
// times its cap at all fronts at once while they know each other's use 50 ms
// late, and fronts are cut off, killed and restarted.
class AccountLimiter {
 public:
  explicit AccountLimiter(const AccountTolerance& tolerance)
      : tolerance_(tolerance) {}

  void SetTolerance(const AccountTolerance& tolerance) {
    tolerance_ = tolerance;
  }
  // Applies the accounts of the configuration in force. Accounts without a cap
  // are not counted.
  void SetAccounts(const AccountTable& accounts, absl::Time now);
  // Sets the number of fronts that are heard, this one included, and the
  // largest number known lately.
  void SetFleet(uint32_t heard, uint32_t known);

  // Charges the account with `cost` if its cap allows it.
  AccountVerdict TryTake(const AccountName& account, int64_t cost,
                         absl::Time now);
  // Takes back the charge of a request that has not run. Does nothing if the
  // account has another bucket by now: nothing was taken from that one.
  void Return(const CapCharge& charge, absl::Time now);

  // Applies a report of a peer's process `incarnation` that lists all accounts
  // that the peer used lately.
  void OnPeerReport(const std::string& peer, uint64_t incarnation,
                    const AccountUse& totals, absl::Time now);
  // Applies totals that have changed since the last report.
  // Applies totals that have changed since the last report; none if only the
  // peer was heard.
  void OnPeerUpdate(const std::string& peer, const AccountUse& totals,
                    absl::Time now);
  // The peer is no longer heard.
  void OnPeerLost(const std::string& peer);

  // Totals of the accounts that this front used within two windows.
  AccountUse OwnTotals(absl::Time now) const;
  // The totals were sent to the peers.
  void MarkTold(absl::Time now);
  // State of a capped account; nullopt for others.
  std::optional<AccountLevel> LevelOf(const AccountName& account,
                                      absl::Time now) const;

 private:
  struct Bucket {
    BucketNumber number;
    AccountCap cap;
    double level = 0;
    absl::Time updated;
    AccountTotal own;
    absl::Time last_own_use = absl::InfinitePast();
    int64_t untold = 0;  // own use since the last message
    // Own use that peers may not have received yet, and when it was sent.
    std::deque<std::pair<absl::Time, int64_t>> in_transit;
    // What was refused lately and is expected to be asked for again.
    double refused = 0;
    absl::Time refused_at = absl::InfinitePast();
  };
  struct Peer {
    uint64_t incarnation = 0;
    absl::Time heard;
    bool is_lost = false;
    AccountUse totals;
  };

  // Share of the caps that the fronts which this one hears may use.
  double FleetShare() const;
  // Since when most peers have been heard: they are not cut off from this
  // front, and know what it told before.
  absl::Time HeardSince() const;
  double Tolerance(const AccountCap& cap) const;
  double Capacity(const AccountCap& cap) const;
  // Refill rate for the fronts that this one hears.
  double Rate(const AccountCap& cap) const;
  double LevelAt(const Bucket& bucket, absl::Time now) const;
  void Refill(Bucket& bucket, absl::Time now);
  // Subtracts `cost` from what is left, or adds it if it is negative.
  void Charge(Bucket& bucket, int64_t cost, absl::Time now);
  bool IsIdle(const Bucket& bucket, absl::Time now) const;
  // Charges what a peer used while it was not heard, beyond its own share.
  void ChargeUnheardUse(Peer& peer, const AccountUse& totals, absl::Time now);
  // Use that `total` shows since the last one.
  static int64_t UseSince(const AccountTotal& last, const AccountTotal& total);
  // Whether the front may take `cost` more before its peers know its use.
  bool IsWithinShare(Bucket& bucket, int64_t cost, absl::Time now) const;
  absl::Duration RetryAfter(Bucket& bucket, int64_t cost, absl::Time now);

  AccountTolerance tolerance_;
  uint32_t heard_ = 1;
  uint32_t known_ = 1;
  // Of totals and buckets of this process: none is used again.
  uint32_t last_number_ = 0;
  std::map<AccountId, Bucket> buckets_;
  std::map<std::string, Peer> peers_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_ACCOUNT_LIMITER_H_
