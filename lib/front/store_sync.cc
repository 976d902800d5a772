// Local copy of the configuration and the list of backend servers.

#include "chervilwick/front/store_sync.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/hash.h"
#include "chervilwick/support/overloaded.h"
#include "chervilwick/wire/archive.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);
// Fraction of the drain limit for which entries that expired in an outage still
// count. Live servers write theirs again within it, and drained servers must be
// out of use by the drain limit.
constexpr double kLapseGraceShare = 0.9;
// Fraction of the drain limit for which changes are batched before the next
// call. Each call has a price, and the rest of the limit is left to act on
// them.
constexpr double kBatchingShare = 0.1;
// The same after changes that are not urgent, which end the call of each front
// at any time.
constexpr double kIdleBatchingShare = 0.3;
// How long a removal is known; longer than the age of the copies that the store
// returns from.
constexpr absl::Duration kRemovalRetention = absl::Minutes(5);
// Longer than the store keeps the entry of a server that writes nothing.
constexpr absl::Duration kExpiryTime = absl::Seconds(5);
// Malformed items whose revisions are remembered, and records of crashes.
constexpr size_t kMaxRemembered = 10000;
constexpr size_t kMaxBodyBytes = size_t{8} << 20;
constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

absl::string_view FailureText(StoreCallFailure failure) {
  switch (failure) {
    case StoreCallFailure::kDropped:
      return "connection failed";
    case StoreCallFailure::kTimeout:
      return "timeout";
    case StoreCallFailure::kRefused:
      return "refused";
    case StoreCallFailure::kMalformed:
      return "malformed response";
  }
  return "unknown";
}

struct SnapshotItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(key, value, revision);
  }
};

}  // namespace

StoreSync::StoreSync(FrontContext& context, Listener listener)
    : context_(context),
      listener_(std::move(listener)),
      plan_(context.settings.contact_limit),
      retry_(context.loop, [this] { Call(); }),
      timeout_(context.loop, [this] { OnTimeout(); }),
      passed_over_check_(context.loop, [this] { ApplyPassedOver(); }) {}

void StoreSync::Start() { Call(); }

absl::string_view StoreSync::StepName(Step step) {
  switch (step) {
    case Step::kConfiguration:
      return "read configuration";
    case Step::kBackends:
      return "read backends";
    case Step::kBrokenRuns:
      return "read broken runs";
    case Step::kWatch:
      return "watch";
  }
  return "unknown";
}

StoreSection StoreSync::SectionOf(Step step) {
  switch (step) {
    case Step::kConfiguration:
      return StoreSection::kConfiguration;
    case Step::kBrokenRuns:
      return StoreSection::kBrokenRuns;
    default:
      return StoreSection::kBackends;
  }
}

void StoreSync::Call() {
  is_idle_pause_ = false;
  auto server = Endpoint::Parse(context_.settings.store);
  HttpRequest request;
  absl::Duration timeout = plan_.ReadTimeout();
  if (step_ == Step::kWatch) {
    StoreWatchTimes times = plan_.Watch(random_);
    request = context_.protocol.WatchStore(revision_, times.wait);
    timeout = times.timeout;
  } else {
    request = context_.protocol.ReadStore(SectionOf(step_), after_key_);
  }
  status_ = 0;
  is_answer_outdated_ = false;
  body_.clear();
  call_began_ = context_.loop.Now();
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.max_body_bytes = kMaxBodyBytes;
  timeout_.Arm(timeout);
  call_ = context_.client.Start(
      *server, request, options,
      [this](CallEvent event) { OnEvent(std::move(event)); });
}

void StoreSync::OnEvent(CallEvent event) {
  std::visit(
      Overloaded{
          [&](HttpHead& head) { OnHead(head); },
          [&](HttpBodyPart& part) { absl::StrAppend(&body_, part.bytes); },
          [&](HttpEnd&) { OnAnswer(); },
          [&](CallFailure&) { OnFailure(StoreCallFailure::kDropped); },
      },
      event);
}

void StoreSync::OnHead(const HttpHead& head) {
  status_ = head.status;
  std::optional<StoreEra> era = context_.protocol.ParseStoreEra(head);
  if (!era || (has_era_ && *era == era_)) return;
  is_answer_outdated_ = step_ != Step::kConfiguration || !after_key_.empty();
  BeginEra(*era);
}

void StoreSync::BeginEra(StoreEra era) {
  context_.log.Write(context_.loop.Now(), "store_era",
                     {{"before", era_.value()},
                      {"era", era.value()},
                      {"revision", revision_},
                      {"version", version_.value()}});
  bool is_return = has_era_;
  era_ = era;
  has_era_ = true;
  ForgetRevisions();
  if (is_return) listener_.on_returned(era);
  step_ = Step::kConfiguration;
  after_key_.clear();
}

void StoreSync::ForgetRevisions() {
  revision_ = 0;
  load_revision_ = 0;
  table_revision_ = 0;
  for (auto& it : items_) it.second.revision = 0;
  malformed_.clear();
  is_first_load_of_era_ = true;
  if (!has_backends_) return;
  has_returned_ = true;
  lapse_grace_end_ =
      context_.loop.Now() + context_.settings.drain_limit * kLapseGraceShare;
}

void StoreSync::Reload() {
  step_ = Step::kConfiguration;
  after_key_.clear();
  Call();
}

void StoreSync::OnAnswer() {
  timeout_.Cancel();
  ++context_.stats.store_calls[absl::StrCat(status_)];
  bool is_answered = status_ == kOk || status_ == kHistoryGone;
  if (is_answer_outdated_ && is_answered) {
    RecordSuccess(/*has_changes=*/true);
    Reload();
    return;
  }
  if (status_ == kHistoryGone && step_ == Step::kWatch) {
    context_.log.Write(context_.loop.Now(), "store_history_gone",
                       {{"revision", revision_}});
    Reload();
    return;
  }
  if (status_ != kOk) {
    // The store is up but refuses calls, at least those of this front.
    OnFailure(StoreCallFailure::kRefused);
    return;
  }
  if (step_ == Step::kWatch) {
    OnWatch();
  } else {
    OnPage();
  }
}

void StoreSync::RecordSuccess(bool has_changes) {
  last_answer_ = context_.loop.Now();
  plan_.RecordAnswer(has_changes);
  if (is_in_outage_) {
    lapse_grace_end_ =
        last_answer_ + context_.settings.drain_limit * kLapseGraceShare;
    is_in_outage_ = false;
    listener_.on_reachable(true, "store answers again");
  }
}

void StoreSync::OnTimeout() {
  context_.client.Cancel(call_);
  OnFailure(StoreCallFailure::kTimeout);
}

void StoreSync::OnFailure(StoreCallFailure failure) {
  timeout_.Cancel();
  call_ = CallId();
  if (status_ == 0) ++context_.stats.store_calls["none"];
  std::string reason = failure == StoreCallFailure::kRefused
                           ? absl::StrCat("status ", status_)
                           : absl::StrCat(FailureText(failure));
  absl::Duration delay = plan_.RecordFailure(failure, random_);
  context_.log.Write(context_.loop.Now(), "store_call_failed",
                     {{"call", StepName(step_)},
                      {"reason", reason},
                      {"took_ms", context_.loop.Now() - call_began_},
                      {"retry_ms", delay}});
  if (plan_.IsOutage() && !is_in_outage_) {
    is_in_outage_ = true;
    listener_.on_reachable(false, reason);
  }
  retry_.Arm(delay);
}

void StoreSync::OnPage() {
  std::optional<StorePage> page = context_.protocol.ParsePage(body_);
  if (!page) {
    OnFailure(StoreCallFailure::kMalformed);
    return;
  }
  RecordSuccess(!page->items.empty());
  bool is_first = step_ == Step::kConfiguration && after_key_.empty();
  if (is_first) {
    // A store that states no era may have returned from a copy as well.
    if (page->revision < revision_) {
      ForgetRevisions();
      listener_.on_returned(era_);
    }
    load_revision_ = page->revision;
    loaded_keys_.clear();
    passed_over_.clear();
  }
  is_reading_all_ = true;
  for (const StoreItem& it : page->items) {
    loaded_keys_.insert(it.key);
    Apply(it);
  }
  is_reading_all_ = false;
  if (page->has_more && !page->items.empty()) {
    after_key_ = page->items.back().key;
    Call();
    return;
  }
  after_key_.clear();
  if (step_ == Step::kConfiguration) {
    step_ = Step::kBackends;
  } else if (step_ == Step::kBackends) {
    has_backends_ = true;
    RemoveUnlisted();
    step_ = Step::kBrokenRuns;
  } else {
    // Start at the revision of the first page: changes made while the pages
    // were read are delivered again.
    revision_ = load_revision_;
    is_first_load_of_era_ = false;
    step_ = Step::kWatch;
  }
  Call();
}

void StoreSync::RemoveUnlisted() {
  std::vector<std::string> missing;
  for (const auto& it : items_) {
    if (loaded_keys_.count(it.first) == 0) missing.push_back(it.first);
  }
  for (const std::string& it : missing) {
    StoreItem removal;
    removal.key = it;
    removal.removed = true;
    removal.revision = load_revision_;
    Apply(removal);
  }
}

void StoreSync::OnWatch() {
  std::optional<StorePage> page = context_.protocol.ParseWatch(body_);
  if (!page) {
    OnFailure(StoreCallFailure::kMalformed);
    return;
  }
  RecordSuccess(!page->items.empty());
  if (page->revision < revision_) {
    Reload();
    return;
  }
  uint64_t urgent = 0;
  for (const StoreItem& it : page->items) {
    Apply(it);
    if (context_.protocol.IsUrgent(it)) urgent = std::max(urgent, it.revision);
  }
  revision_ = page->revision;
  TellOfChange({era_, urgent});
  if (page->items.empty()) {
    Call();
    return;
  }
  // Changes come in bursts. The next call fetches those of the pause together.
  // Streams wait for the records of servers that have restarted.
  is_idle_pause_ = urgent == 0 && !context_.backends.HasOutdatedRecords();
  retry_.Arm(context_.settings.drain_limit *
             (is_idle_pause_ ? kIdleBatchingShare : kBatchingShare));
}

void StoreSync::TellOfChange(const StoreRevision& revision) {
  if (revision.number == 0 || revision <= urgent_told_) return;
  urgent_told_ = revision;
  listener_.on_urgent_change(revision);
}

void StoreSync::OnPeerChange(const StoreRevision& revision) {
  if (revision <= urgent_told_) return;
  urgent_told_ = revision;
  if (is_idle_pause_ && this->revision() < revision) {
    retry_.Arm(absl::ZeroDuration());
  }
}

void StoreSync::Apply(const StoreItem& item) {
  auto known = items_.find(item.key);
  if (known != items_.end() && known->second.revision > item.revision) {
    ++context_.stats.outdated_items;
    return;
  }
  if (item.removed) malformed_.erase(item.key);
  passed_over_.erase(item.key);
  ParsedStoreItem fact = context_.protocol.ParseItem(item);
  auto* record = std::get_if<BackendRecord>(&fact);
  if (record != nullptr && IsOwnAddress(record->endpoint)) {
    // The front would forward its own requests to itself without end.
    fact = MalformedItem{"address of this front", record->id};
  }
  std::visit(
      Overloaded{
          [](UnrelatedItem&) {},
          [&](MalformedItem& it) { OnMalformed(item, it); },
          [&](BackendRecord& it) {
            if (IsFromEarlierEra(item.key, it)) {
              PassOver(item);
              return;
            }
            items_[item.key] = item;
            latest_records_[item.key] = {it};
            listener_.on_backend(it);
          },
          [&](BackendRemoved& it) {
            items_.erase(item.key);
            RecordRemoval(item.key);
            ApplyRemoval(it.id);
          },
          [&](CrashedRun& it) {
            if (merged_runs_.size() >= kMaxRemembered) merged_runs_.clear();
            if (!merged_runs_.insert(item.key).second) return;
            listener_.on_broken_run(it);
          },
          [&](StreamOrigin& it) { listener_.on_stream_origin(it); },
          [&](StageDutyHolder& it) { listener_.on_duty_holder(it.holder); },
          [&](RouteTable& it) { ApplyTable(item, it); },
      },
      fact);
}

void StoreSync::ApplyTable(const StoreItem& item, RouteTable& table) {
  // A version whose number can't be read is newer if it was written later.
  bool has_number = table.version.value() != 0;
  bool is_newer =
      has_number ? table.version > version_
                 : item.revision > table_revision_ && !IsFromEarlierEra(item);
  if (!is_newer) return;
  if (has_number) version_ = table.version;
  if (!has_number) unnumbered_tables_.insert(StableHash(item.value));
  has_table_ = true;
  table.version = version_;
  table_revision_ = item.revision;
  items_[item.key] = context_.protocol.WithoutSecrets(item);
  listener_.on_table(table);
}

bool StoreSync::IsFromEarlierEra(const std::string& key,
                                 const BackendRecord& record) const {
  if (!has_returned_ || !is_reading_all_) return false;
  auto latest = latest_records_.find(key);
  if (latest == latest_records_.end()) return false;
  // A server that is in use writes its entry again, with a higher number.
  return latest->second.IsRemoved() ? !latest->second.record.IsOlderThan(record)
                                    : record.IsOlderThan(latest->second.record);
}

void StoreSync::PassOver(const StoreItem& item) {
  ++context_.stats.outdated_items;
  if (!latest_records_.at(item.key).IsRemoved()) return;
  if (passed_over_.empty()) passed_over_check_.Arm(kExpiryTime);
  passed_over_[item.key] = item;
}

void StoreSync::ApplyPassedOver() {
  std::map<std::string, StoreItem> items = std::move(passed_over_);
  passed_over_.clear();
  for (const auto& it : items) Apply(it.second);
}

void StoreSync::RecordRemoval(const std::string& key) {
  absl::Time now = context_.loop.Now();
  auto latest = latest_records_.find(key);
  if (latest != latest_records_.end()) latest->second.removed = now;
  for (auto it = latest_records_.begin(); it != latest_records_.end();) {
    bool is_over = it->second.removed + kRemovalRetention < now;
    it = is_over ? latest_records_.erase(it) : std::next(it);
  }
}

bool StoreSync::IsFromEarlierEra(const StoreItem& item) const {
  return is_first_load_of_era_ &&
         unnumbered_tables_.count(StableHash(item.value)) != 0;
}

void StoreSync::OnMalformed(const StoreItem& item,
                            const MalformedItem& problem) {
  if (malformed_.size() >= kMaxRemembered) malformed_.clear();
  auto [known, is_new] = malformed_.try_emplace(item.key, item.revision);
  if (!is_new && known->second == item.revision) return;
  known->second = item.revision;
  ++context_.stats.malformed_items;
  context_.log.Write(context_.loop.Now(), "store_item_malformed",
                     {{"key", item.key},
                      {"revision", item.revision},
                      {"reason", problem.reason}});
  // It can't be told whether the copy's entry or the known one is later.
  if (has_returned_ && is_first_load_of_era_) return;
  if (problem.backend && items_.erase(item.key) > 0) {
    listener_.on_removed(*problem.backend, context_.loop.Now());
  }
}

bool StoreSync::IsOwnAddress(const Endpoint& endpoint) const {
  const FrontSettings& own = context_.settings;
  std::string text = endpoint.ToString();
  return text == own.clients || text == own.ready || text == own.control ||
         text == own.metrics || text == own.peers;
}

void StoreSync::ApplyRemoval(const BackendName& id) {
  absl::Time now = context_.loop.Now();
  listener_.on_removed(id, std::max(now, lapse_grace_end_));
}

std::string StoreSync::Snapshot() const {
  List<SnapshotItem> items;
  for (const auto& it : items_) {
    items.items.push_back({it.first, it.second.value, it.second.revision});
  }
  std::string bytes;
  BinaryWriter writer(bytes);
  // Older versions of the front read no further than the items.
  writer(revision_, items, era_);
  return bytes;
}

bool StoreSync::ApplySnapshot(const std::string& snapshot) {
  StoreRevision revision;
  List<SnapshotItem> items;
  try {
    BinaryReader reader(snapshot);
    reader(revision.number, items);
    if (reader.Remaining() != 0) reader(revision.era);
  } catch (const cereal::Exception& error) {
    context_.log.Write(context_.loop.Now(), "peer_copy_malformed",
                       {{"reason", error.what()}});
    return false;
  }
  bool is_whole = revision.number != 0;
  if (!is_whole || revision <= this->revision()) return true;
  if (revision.era != era_) {
    BeginEra(revision.era);
    // The call that is open asks for changes since a revision of before.
    context_.client.Cancel(call_);
    timeout_.Cancel();
    retry_.Arm(absl::ZeroDuration());
  }
  loaded_keys_.clear();
  passed_over_.clear();
  is_reading_all_ = true;
  for (const SnapshotItem& it : items.items) {
    loaded_keys_.insert(it.key);
    Apply({it.key, it.value, it.revision, false});
  }
  is_reading_all_ = false;
  load_revision_ = revision.number;
  has_backends_ = has_backends_ || !items.items.empty();
  RemoveUnlisted();
  revision_ = revision.number;
  is_first_load_of_era_ = false;
  if (step_ != Step::kWatch && has_table()) {
    // Only later changes are left to read from the store.
    step_ = Step::kWatch;
    after_key_.clear();
  }
  return true;
}

}  // namespace chervilwick
