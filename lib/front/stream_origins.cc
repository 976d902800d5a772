// Where streams began, for clients that take them up.

#include "chervilwick/front/stream_origins.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"

namespace chervilwick {
namespace {

// How long a lease is used for new records; they last for the rest of it, which
// is a stream's lifetime.
constexpr absl::Duration kLeaseReuseTime = absl::Minutes(1);
// Longest lease that the store grants.
constexpr absl::Duration kMaxLeaseTime = absl::Minutes(10);
// Records that come within that time share a call, as calls have a price.
// Streams take seconds, so that a kill of all fronts leaves few unrecorded.
constexpr absl::Duration kBatchTime = absl::Milliseconds(120);
// Another front has to have written a record by then.
constexpr absl::Duration kRecorderTime = absl::Milliseconds(1200);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kMinRetryDelay = absl::Milliseconds(100);
constexpr int kMaxDoublings = 3;
// Limit of the store for one call.
constexpr size_t kMaxKeysPerCall = 32;
// Longest id of an attempt that fits into a key.
constexpr size_t kMaxAttemptBytes = 150;
// A few megabytes. Older records are read from the store.
constexpr size_t kMaxKnown = 20000;
// When peers are told of a record that the store has not acknowledged, and
// again after twice that time each.
constexpr absl::Duration kTellDelay = absl::Milliseconds(800);
constexpr uint32_t kTimesTold = 4;
constexpr size_t kMaxSentAtOnce = 200;
// A client that takes up a stream waits that long for the record.
constexpr absl::Duration kReadTime = absl::Seconds(1);
// A client may be back before the record of a stream that broke off at once.
// The store is asked again when the record has had time to arrive.
constexpr absl::Duration kArrivalTime = absl::Milliseconds(350);
constexpr absl::Duration kReadTimeout = absl::Milliseconds(600);
// A store that works has answered by then.
constexpr absl::Duration kStorePatience = absl::Milliseconds(100);
constexpr absl::Duration kAskPeersInterval = absl::Milliseconds(300);
constexpr uint32_t kTimesPeersAsked = 2;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

// Whether a client can name the attempt in a later request.
bool IsNameable(const std::string& attempt) {
  return attempt.size() <= kMaxAttemptBytes &&
         std::all_of(attempt.begin(), attempt.end(), [](char c) {
           return absl::ascii_isgraph(static_cast<unsigned char>(c));
         });
}

}  // namespace

StreamOrigins::Known& StreamOrigins::Add(const StreamOrigin& origin) {
  auto [it, is_new] = known_.try_emplace(origin.attempt);
  Known& known = it->second;
  if (is_new) {
    known.origin = origin;
    known.until = context_.loop.Now() + lifetime_;
    by_age_.push_back(origin.attempt);
  } else if (!(known.origin == origin)) {
    known.is_ambiguous = true;
  }
  return known;
}

void StreamOrigins::Record(const StreamOrigin& origin) {
  if (!IsNameable(origin.attempt)) return;
  Known& known = Add(origin);
  if (known.is_ambiguous || std::exchange(known.is_own, true)) return;
  AddOwnUnwritten(origin.attempt, context_.loop.Now());
}

void StreamOrigins::AddOwnUnwritten(const std::string& attempt,
                                    absl::Time now) {
  std::optional<Endpoint> recorder = peers_.RecorderOf(attempt);
  Unwritten record;
  record.attempt = attempt;
  record.write_at = now + (recorder ? kRecorderTime : kBatchTime);
  record.tell_at = now + kTellDelay;
  unwritten_.push_back(std::move(record));
  if (recorder) {
    peers_.SendOrigins({OriginNews::Kind::kToWrite, {*Find(attempt)}, era_},
                       *recorder);
  }
  WriteAt(unwritten_.back().write_at);
}

void StreamOrigins::WriteAt(absl::Time time) {
  if (time >= write_at_) return;
  write_at_ = time;
  write_timer_.Arm(std::max(time - context_.loop.Now(), absl::ZeroDuration()));
}

void StreamOrigins::Learn(const StreamOrigin& origin) {
  Add(origin);
  FinishReading(origin.attempt);
}

void StreamOrigins::OnNews(const OriginNews& news, const Endpoint& from) {
  switch (news.kind) {
    case OriginNews::Kind::kBegan:
      for (const StreamOrigin& it : news.origins) Learn(it);
      return;
    case OriginNews::Kind::kToWrite:
      OnToWrite(news, from);
      return;
    case OriginNews::Kind::kWritten:
      // The store may have lost what it acknowledged in an earlier era.
      if (news.era >= era_) MarkWritten(news.origins, news.era);
      return;
    case OriginNews::Kind::kAsked:
      OnAsked(news, from);
      return;
    case OriginNews::Kind::kFound:
      for (const StreamOrigin& it : news.origins) Learn(it);
      return;
    case OriginNews::Kind::kAmbiguous:
      for (const StreamOrigin& it : news.origins) OnAmbiguous(it);
      return;
  }
}

void StreamOrigins::OnAsked(const OriginNews& news, const Endpoint& from) {
  OriginNews found{OriginNews::Kind::kFound, {}, era_};
  OriginNews ambiguous{OriginNews::Kind::kAmbiguous, {}, era_};
  for (const StreamOrigin& it : news.origins) {
    auto known = known_.find(it.attempt);
    if (known == known_.end()) continue;
    (known->second.is_ambiguous ? ambiguous : found)
        .origins.push_back(known->second.origin);
  }
  for (const OriginNews* it : {&found, &ambiguous}) {
    if (!it->origins.empty()) peers_.SendOrigins(*it, from);
  }
}

void StreamOrigins::OnAmbiguous(const StreamOrigin& origin) {
  Add(origin).is_ambiguous = true;
  FinishReading(origin.attempt);
}

void StreamOrigins::OnToWrite(const OriginNews& news, const Endpoint& from) {
  absl::Time due = context_.loop.Now() + kBatchTime;
  for (const StreamOrigin& it : news.origins) {
    if (!IsNameable(it.attempt)) continue;
    Learn(it);
    if (!Find(it.attempt)) continue;
    Unwritten record;
    record.attempt = it.attempt;
    record.write_at = due;
    record.requester = from;
    unwritten_.push_back(std::move(record));
    WriteAt(due);
  }
}

void StreamOrigins::MarkWritten(const std::vector<StreamOrigin>& origins,
                                StoreEra era) {
  std::set<std::string> written;
  for (const StreamOrigin& it : origins) written.insert(it.attempt);
  std::map<Endpoint, OriginNews> told;
  for (const Unwritten& it : unwritten_) {
    if (!it.requester || written.count(it.attempt) == 0) continue;
    if (!Find(it.attempt)) continue;
    OriginNews& news = told[*it.requester];
    news.kind = OriginNews::Kind::kWritten;
    news.era = era;
    news.origins.push_back(*Find(it.attempt));
  }
  for (const auto& it : told) peers_.SendOrigins(it.second, it.first);
  unwritten_.erase(std::remove_if(unwritten_.begin(), unwritten_.end(),
                                  [&](const Unwritten& it) {
                                    return written.count(it.attempt) != 0;
                                  }),
                   unwritten_.end());
}

std::optional<StreamOrigin> StreamOrigins::Find(
    const std::string& attempt) const {
  auto it = known_.find(attempt);
  if (it == known_.end() || it->second.is_ambiguous) return std::nullopt;
  return it->second.origin;
}

void StreamOrigins::Prune(absl::Time now) {
  while (!by_age_.empty()) {
    auto oldest = known_.find(by_age_.front());
    if (oldest->second.until > now && known_.size() <= kMaxKnown) return;
    known_.erase(oldest);
    by_age_.pop_front();
  }
}

void StreamOrigins::Tick() {
  absl::Time now = context_.loop.Now();
  Prune(now);
  unwritten_.erase(
      std::remove_if(unwritten_.begin(), unwritten_.end(),
                     [&](const Unwritten& it) { return !Find(it.attempt); }),
      unwritten_.end());
  AskDueReadings(now);
  TellPeers(now);
}

void StreamOrigins::AskDueReadings(absl::Time now) {
  std::vector<std::string> due;
  std::vector<std::string> over;
  for (const auto& it : readings_) {
    if (it.second.until <= now) {
      over.push_back(it.first);
    } else if (!it.second.is_calling && it.second.ask_at <= now) {
      due.push_back(it.first);
    }
  }
  for (const std::string& it : due) Ask(it);
  for (const std::string& it : over) FinishReading(it);
  AskPeers(now);
}

void StreamOrigins::AskPeers(absl::Time now) {
  OriginNews news{OriginNews::Kind::kAsked, {}, era_};
  for (auto& it : readings_) {
    if (news.origins.size() == kMaxSentAtOnce) break;
    Reading& reading = it.second;
    bool is_due = reading.ask_peers_at <= now &&
                  reading.times_peers_asked < kTimesPeersAsked;
    if (!is_due) continue;
    ++reading.times_peers_asked;
    reading.ask_peers_at = now + kAskPeersInterval;
    news.origins.push_back({it.first, ServiceName(), SoftwareVersion()});
  }
  if (news.origins.empty()) return;
  context_.stats.origins["peers_asked"] += news.origins.size();
  peers_.SendOriginsToAll(news);
}

void StreamOrigins::TellPeers(absl::Time now) {
  OriginNews news{OriginNews::Kind::kBegan, {}, era_};
  for (Unwritten& it : unwritten_) {
    if (news.origins.size() == kMaxSentAtOnce) break;
    if (it.times_told == kTimesTold || it.tell_at > now) continue;
    ++it.times_told;
    it.tell_at = now + kTellDelay * (1 << it.times_told);
    news.origins.push_back(*Find(it.attempt));
  }
  if (news.origins.empty()) return;
  context_.stats.origins["told"] += news.origins.size();
  peers_.SendOriginsToAll(news);
}

void StreamOrigins::Write() {
  absl::Time now = context_.loop.Now();
  write_at_ = absl::InfiniteFuture();
  if (is_calling_ || unwritten_.empty()) return;
  absl::Time due = absl::InfiniteFuture();
  for (const Unwritten& it : unwritten_) due = std::min(due, it.write_at);
  due = std::max(due, next_attempt_);
  if (due > now) {
    WriteAt(due);
    return;
  }
  is_calling_ = true;
  bool is_lease_usable = context_.boot_time() - lease_sent_ < kLeaseReuseTime &&
                         lease_time_ >= LeaseTime();
  if (is_lease_usable) {
    WriteBatch();
  } else {
    RequestLease();
  }
}

absl::Duration StreamOrigins::LeaseTime() const {
  return std::min(lifetime_ + kLeaseReuseTime, kMaxLeaseTime);
}

void StreamOrigins::RequestLease() {
  absl::Time sent = context_.boot_time();
  absl::Duration asked = LeaseTime();
  CallStore(context_, context_.protocol.GrantLease(asked), kCallTimeout,
            [this, sent, asked](const StoreAnswer& answer) {
              std::optional<std::string> lease =
                  context_.protocol.ParseLease(answer.body);
              if (answer.status != kOk || !lease || answer.era < era_) {
                RetryLater();
                return;
              }
              lease_ = *lease;
              lease_time_ = asked;
              lease_sent_ = sent;
              WriteBatch();
            });
}

void StreamOrigins::WriteBatch() {
  // Those that another front is asked to write wait for it.
  absl::Time soon = context_.loop.Now() + kBatchTime;
  std::vector<StreamOrigin> batch;
  for (const Unwritten& it : unwritten_) {
    if (batch.size() == kMaxKeysPerCall) break;
    std::optional<StreamOrigin> origin = Find(it.attempt);
    if (origin && it.write_at <= soon) batch.push_back(*origin);
  }
  CallStore(context_, context_.protocol.RecordStreamOrigins(batch, lease_),
            kCallTimeout, [this, batch](const StoreAnswer& answer) {
              OnWritten(answer, batch);
            });
}

void StreamOrigins::OnWritten(const StoreAnswer& answer,
                              const std::vector<StreamOrigin>& batch) {
  if (answer.status != kOk || answer.era < era_) {
    // The lease may have expired. Writing the same records again is idempotent.
    if (answer.status == kNotFound) lease_sent_ = absl::InfinitePast();
    RetryLater();
    return;
  }
  is_calling_ = false;
  failures_ = 0;
  context_.stats.origins["recorded"] += batch.size();
  MarkWritten(batch, answer.era);
  Write();
}

void StreamOrigins::RetryLater() {
  is_calling_ = false;
  ++context_.stats.origins["write_failed"];
  absl::Duration delay = kMinRetryDelay * (1 << failures_);
  failures_ = std::min(failures_ + 1, kMaxDoublings);
  next_attempt_ =
      context_.loop.Now() + delay * absl::Uniform(random_, 1.0, 2.0);
  WriteAt(next_attempt_);
}

void StreamOrigins::OnStoreReturned(StoreEra era) {
  era_ = era;
  lease_sent_ = absl::InfinitePast();
  absl::Time now = context_.loop.Now();
  unwritten_.erase(
      std::remove_if(unwritten_.begin(), unwritten_.end(),
                     [](const Unwritten& it) { return !it.requester; }),
      unwritten_.end());
  for (const std::string& it : by_age_) {
    const Known& known = known_.at(it);
    if (known.is_own && !known.is_ambiguous) AddOwnUnwritten(it, now);
  }
}

void StreamOrigins::Read(const std::string& attempt, bool is_store_reachable,
                         std::function<void()> done) {
  auto [it, is_new] = readings_.try_emplace(attempt);
  Reading& reading = it->second;
  reading.done.push_back(std::move(done));
  if (!is_new) return;
  absl::Time now = context_.loop.Now();
  reading.until = now + kReadTime;
  reading.ask_peers_at = now;
  if (!is_store_reachable) {
    reading.ask_at = absl::InfiniteFuture();
    AskPeers(now);
    return;
  }
  reading.ask_peers_at += kStorePatience;
  Ask(attempt);
}

void StreamOrigins::Ask(const std::string& attempt) {
  readings_.at(attempt).is_calling = true;
  CallStore(context_, context_.protocol.ReadStreamOrigin(attempt), kReadTimeout,
            [this, attempt](const StoreAnswer& answer) {
              auto it = readings_.find(attempt);
              if (it == readings_.end()) return;
              it->second.is_calling = false;
              std::optional<StreamOrigin> origin =
                  context_.protocol.ParseStreamOrigin(answer.body);
              if (answer.status == kOk && origin) {
                ++context_.stats.origins["found"];
                Learn(*origin);
              } else if (answer.status == kOk || answer.status == kNotFound) {
                OnMissing(attempt);
              } else {
                ++context_.stats.origins["read_failed"];
              }
            });
}

void StreamOrigins::OnMissing(const std::string& attempt) {
  Reading& reading = readings_.at(attempt);
  if (reading.ask_at == absl::InfinitePast()) {
    reading.ask_at = context_.loop.Now() + kArrivalTime;
    return;
  }
  ++context_.stats.origins["missing"];
  FinishReading(attempt);
}

void StreamOrigins::FinishReading(const std::string& attempt) {
  auto it = readings_.find(attempt);
  if (it == readings_.end()) return;
  std::vector<std::function<void()>> done = std::move(it->second.done);
  readings_.erase(it);
  for (const auto& each : done) each();
}

}  // namespace chervilwick
