// One front's part in holding client accounts to their caps over all fronts.

#include "chervilwick/dispatch/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <vector>

#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

// Fractions of the tolerance: in a bucket, and for use that fronts have not
// told each other yet.
constexpr double kBucketShare = 0.4;
constexpr double kUntoldShare = 0.25;
// Time for a datagram to reach the peers and to be handled by them.
constexpr absl::Duration kTransitTime = absl::Milliseconds(30);
// Peers send more often than this. A front that does not hear most of them may
// be cut off, and what it took since is not known to them.
constexpr absl::Duration kLongestSilence = absl::Milliseconds(500);
// Time in which refused demand counts for the Retry-After of later refusals.
constexpr absl::Duration kRefusedMemory = absl::Seconds(2);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(200);
// Peers that are remembered, lost ones included.
constexpr size_t kMaxPeers = 1000;
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(4);

}  // namespace

AccountId IdOfAccount(const AccountName& name) {
  return AccountId(StableHash(name.value()));
}

double AccountLimiter::Tolerance(const AccountCap& cap) const {
  double window = absl::ToDoubleSeconds(tolerance_.window);
  return tolerance_.excess * (cap.rate_per_s * window + cap.burst) +
         tolerance_.slack;
}

double AccountLimiter::FleetShare() const {
  // The parts of a divided fleet add up to the whole of it.
  return static_cast<double>(heard_) / known_;
}

absl::Time AccountLimiter::HeardSince() const {
  std::vector<absl::Time> heard;
  heard.reserve(peers_.size());
  for (const auto& it : peers_) {
    if (!it.second.is_lost) heard.push_back(it.second.heard);
  }
  if (heard.empty()) return absl::InfiniteFuture();
  auto middle = heard.begin() + static_cast<std::ptrdiff_t>(heard.size() / 2);
  std::nth_element(heard.begin(), middle, heard.end());
  return *middle;
}

double AccountLimiter::Capacity(const AccountCap& cap) const {
  return std::max(cap.burst, kBucketShare * Tolerance(cap)) * FleetShare();
}

double AccountLimiter::Rate(const AccountCap& cap) const {
  // Capacity and refill of a window add up to the cap and the bucket's share of
  // the tolerance: what the capacity leaves of the burst is refilled evenly.
  double window = absl::ToDoubleSeconds(tolerance_.window);
  double share = FleetShare();
  double allowed = cap.burst + kBucketShare * Tolerance(cap);
  return cap.rate_per_s * share + (allowed * share - Capacity(cap)) / window;
}

void AccountLimiter::SetFleet(uint32_t heard, uint32_t known) {
  heard_ = std::max<uint32_t>(1, heard);
  known_ = std::max(known, heard_);
}

double AccountLimiter::LevelAt(const Bucket& bucket, absl::Time now) const {
  double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - bucket.updated));
  return std::min(Capacity(bucket.cap),
                  bucket.level + Rate(bucket.cap) * elapsed);
}

void AccountLimiter::Refill(Bucket& bucket, absl::Time now) {
  bucket.level = LevelAt(bucket, now);
  bucket.updated = std::max(bucket.updated, now);
}

void AccountLimiter::Charge(Bucket& bucket, int64_t cost, absl::Time now) {
  Refill(bucket, now);
  bucket.level =
      std::min(Capacity(bucket.cap), bucket.level - static_cast<double>(cost));
}

bool AccountLimiter::IsIdle(const Bucket& bucket, absl::Time now) const {
  return now - bucket.last_own_use >= 2 * tolerance_.window;
}

void AccountLimiter::SetAccounts(const AccountTable& accounts, absl::Time now) {
  std::map<AccountId, Bucket> kept;
  for (const ClientAccount& it : accounts.all()) {
    if (!it.cap.IsLimited()) continue;
    AccountId id = IdOfAccount(it.name);
    auto known = buckets_.find(id);
    bool is_comparable =
        known != buckets_.end() && known->second.cap.unit == it.cap.unit;
    if (!is_comparable) {
      Bucket& bucket = kept[id];
      // Empty: a window may span a restart of this front or of all fronts.
      bucket.cap = it.cap;
      bucket.updated = now;
      bucket.number = BucketNumber(++last_number_);
      continue;
    }
    Bucket bucket = std::move(known->second);
    Refill(bucket, now);
    double grown = Capacity(it.cap) - Capacity(bucket.cap);
    bucket.cap = it.cap;
    bucket.level =
        std::min(Capacity(it.cap), bucket.level + std::max(0.0, grown));
    kept[id] = std::move(bucket);
  }
  buckets_ = std::move(kept);
}

bool AccountLimiter::IsWithinShare(Bucket& bucket, int64_t cost,
                                   absl::Time now) const {
  if (!bucket.in_transit.empty()) {
    absl::Time heard_since = HeardSince();
    bool is_cut_off = now - heard_since > kLongestSilence;
    absl::Time known_before = (is_cut_off ? heard_since : now) - kTransitTime;
    while (!bucket.in_transit.empty() &&
           bucket.in_transit.front().first <= known_before) {
      bucket.in_transit.pop_front();
    }
  }
  int64_t unknown = bucket.untold;
  for (const auto& it : bucket.in_transit) unknown += it.second;
  // One request passes at each front: without this, no front of a large fleet
  // could admit any.
  if (heard_ == 1 || unknown <= 0) return true;
  double share = (bucket.level + static_cast<double>(unknown) +
                  kUntoldShare * Tolerance(bucket.cap)) /
                 heard_;
  return static_cast<double>(unknown + cost) <= share;
}

absl::Duration AccountLimiter::RetryAfter(Bucket& bucket, int64_t cost,
                                          absl::Time now) {
  double age = absl::FDivDuration(now - bucket.refused_at, kRefusedMemory);
  bucket.refused *= std::exp2(-std::max(0.0, age));
  bucket.refused_at = now;
  bucket.refused += static_cast<double>(cost);
  // Each front knows only what it refused itself.
  double asked = bucket.refused * heard_;
  double seconds = (asked - bucket.level) / Rate(bucket.cap);
  return std::clamp(absl::Seconds(seconds), kMinRetryAfter, kMaxRetryAfter);
}

AccountVerdict AccountLimiter::TryTake(const AccountName& account, int64_t cost,
                                       absl::Time now) {
  AccountVerdict verdict;
  verdict.charge = {account, cost, BucketNumber()};
  auto it = buckets_.find(IdOfAccount(account));
  if (it == buckets_.end()) return verdict;
  Bucket& bucket = it->second;
  verdict.charge.bucket = bucket.number;
  Refill(bucket, now);
  verdict.left = static_cast<int64_t>(bucket.level);
  // A request larger than the bucket runs when the bucket is full: an account
  // that asked for nothing else is not refused for ever.
  double needed = std::min(static_cast<double>(cost), Capacity(bucket.cap));
  if (bucket.level < needed) {
    verdict.outcome = AccountVerdict::Outcome::kRefused;
    verdict.retry_after = RetryAfter(bucket, cost, now);
    return verdict;
  }
  if (!IsWithinShare(bucket, cost, now)) {
    verdict.outcome = AccountVerdict::Outcome::kWait;
    verdict.retry_after = kTransitTime;
    return verdict;
  }
  Charge(bucket, cost, now);
  // Peers have forgotten the total of an account that was not used for long,
  // and may know one of an earlier bucket.
  if (IsIdle(bucket, now)) bucket.own = {++last_number_, 0};
  bucket.own.total += cost;
  bucket.last_own_use = now;
  bucket.untold += cost;
  return verdict;
}

void AccountLimiter::Return(const CapCharge& charge, absl::Time now) {
  auto it = buckets_.find(IdOfAccount(charge.account));
  if (it == buckets_.end() || it->second.number != charge.bucket) return;
  Bucket& bucket = it->second;
  Charge(bucket, -charge.cost, now);
  bucket.own.total -= charge.cost;
  bucket.untold = std::max<int64_t>(0, bucket.untold - charge.cost);
}

void AccountLimiter::MarkTold(absl::Time now) {
  for (auto& [id, bucket] : buckets_) {
    if (bucket.untold == 0) continue;
    bucket.in_transit.emplace_back(now, bucket.untold);
    bucket.untold = 0;
  }
}

void AccountLimiter::OnPeerReport(const std::string& peer, uint64_t incarnation,
                                  const AccountUse& totals, absl::Time now) {
  auto [it, is_new] = peers_.try_emplace(peer);
  Peer& known = it->second;
  if (known.incarnation != incarnation) {
    known.totals.clear();
    known.is_lost = false;
  }
  known.incarnation = incarnation;
  // The totals of a peer that was not heard before include use of long ago.
  if (is_new) known.totals = totals;
  if (known.is_lost) ChargeUnheardUse(known, totals, now);
  known.is_lost = false;
  OnPeerUpdate(peer, totals, now);
  for (auto total = known.totals.begin(); total != known.totals.end();) {
    bool is_idle = totals.count(total->first) == 0;
    total = is_idle ? known.totals.erase(total) : std::next(total);
  }
}

void AccountLimiter::OnPeerLost(const std::string& peer) {
  auto it = peers_.find(peer);
  if (it != peers_.end()) it->second.is_lost = true;
  while (peers_.size() > kMaxPeers) {
    auto lost =
        std::find_if(peers_.begin(), peers_.end(),
                     [](const auto& entry) { return entry.second.is_lost; });
    if (lost == peers_.end()) return;
    peers_.erase(lost);
  }
}

int64_t AccountLimiter::UseSince(const AccountTotal& last,
                                 const AccountTotal& total) {
  return total.total - (last.series == total.series ? last.total : 0);
}

void AccountLimiter::ChargeUnheardUse(Peer& peer, const AccountUse& totals,
                                      absl::Time now) {
  double unheard = absl::ToDoubleSeconds(now - peer.heard);
  for (const auto& [id, total] : totals) {
    auto bucket = buckets_.find(id);
    if (bucket == buckets_.end()) continue;
    // Meanwhile this front's bucket was refilled without the peer's share.
    double share = bucket->second.cap.rate_per_s * unheard / known_;
    int64_t used = UseSince(peer.totals[id], total);
    auto excess = used - static_cast<int64_t>(share);
    if (excess > 0) Charge(bucket->second, excess, now);
  }
  peer.totals = totals;
}

void AccountLimiter::OnPeerUpdate(const std::string& peer,
                                  const AccountUse& totals, absl::Time now) {
  auto known = peers_.find(peer);
  if (known == peers_.end()) return;
  known->second.heard = now;
  for (const auto& [id, total] : totals) {
    AccountTotal& last = known->second.totals[id];
    int64_t used = UseSince(last, total);
    last = total;
    auto bucket = buckets_.find(id);
    if (bucket != buckets_.end()) Charge(bucket->second, used, now);
  }
}

AccountUse AccountLimiter::OwnTotals(absl::Time now) const {
  AccountUse use;
  for (const auto& [id, bucket] : buckets_) {
    if (!IsIdle(bucket, now)) use[id] = bucket.own;
  }
  return use;
}

std::optional<AccountLevel> AccountLimiter::LevelOf(const AccountName& account,
                                                    absl::Time now) const {
  auto it = buckets_.find(IdOfAccount(account));
  if (it == buckets_.end()) return std::nullopt;
  const Bucket& bucket = it->second;
  return AccountLevel{static_cast<int64_t>(LevelAt(bucket, now)),
                      static_cast<int64_t>(Capacity(bucket.cap)),
                      bucket.cap.rate_per_s};
}

}  // namespace chervilwick
