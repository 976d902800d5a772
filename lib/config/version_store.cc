// Configuration versions in the platform's key-value service.

#include "chervilwick/config/version_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "chervilwick/config/merge_patch.h"
#include "chervilwick/config/version_json.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr char kEmptyContent[] = "{}";

KvCall RangeCall(std::string key, std::string range_end = "") {
  KvRange range;
  range.key = std::move(key);
  range.range_end = std::move(range_end);
  return KvCall{0, std::move(range)};
}

// Returns the content of version `number`, replayed from consecutive records
// that start with a full one, or nothing if a record is missing.
std::optional<std::string> ReplayRecords(const std::vector<KvValue>& values,
                                         uint64_t number) {
  std::optional<std::string> content;
  uint64_t at = 0;
  for (const KvValue& it : values) {
    std::optional<VersionRecord> record = VersionRecordFromJson(it.value);
    if (!record || record->number.value() > number) continue;
    if (!record->content.empty()) {
      content = record->content;
    } else if (content && record->number.value() == at + 1) {
      content = ApplyMergePatch(*content, record->patch);
    } else {
      return std::nullopt;
    }
    at = record->number.value();
  }
  if (at != number) return std::nullopt;
  return content;
}

}  // namespace

VersionStore::VersionStore(VersionStoreOptions options, ConfigReplica& replica,
                           LiveServers live_servers)
    : options_(std::move(options)),
      replica_(replica),
      live_servers_(std::move(live_servers)) {}

std::vector<KvCall> VersionStore::TakeCalls() {
  return std::exchange(calls_, {});
}

std::vector<VersionResult> VersionStore::TakeVersionResults() {
  return std::exchange(results_, {});
}

std::string VersionStore::VersionKey(uint64_t number) const {
  // Zero-padded so that keys sort by number.
  return absl::StrFormat("%sversions/%016d", options_.prefix, number);
}

uint64_t VersionStore::SnapshotAtOrBefore(uint64_t number) const {
  uint64_t interval = options_.snapshot_interval;
  // Version 1 is the first full record.
  return std::max<uint64_t>(number - number % interval, 1);
}

KvCall VersionStore::VersionRange(uint64_t first, uint64_t last) const {
  return RangeCall(VersionKey(first), VersionKey(last + 1));
}

void VersionStore::Submit(VersionRequest request, absl::Time now) {
  bool poll_is_waiting = request.kind == VersionRequestKind::kPoll &&
                         (step_ != Step::kIdle || !queue_.empty());
  // The poll is redundant: every request reads the head first.
  if (poll_is_waiting) return;
  if (queue_.size() >= options_.max_queued) {
    VersionResult result;
    result.id = request.id;
    result.kind = request.kind;
    result.number = replica_.number();
    result.code = "busy";
    result.message =
        "not accepted: too many configuration requests are waiting at this "
        "entry; try again or ask another entry";
    results_.push_back(std::move(result));
    return;
  }
  queue_.push_back(std::move(request));
  if (step_ == Step::kIdle) StartNext(now);
}

void VersionStore::StartNext(absl::Time now) {
  if (queue_.empty()) return;
  request_ = std::move(queue_.front());
  queue_.pop_front();
  result_ = VersionResult{};
  result_.id = request_.id;
  result_.kind = request_.kind;
  maybe_applied_ = false;
  deadline_ = now + options_.deadline;
  ReadHead(now);
}

void VersionStore::Call(KvCall call, Step step, absl::Time now) {
  call.call_id = next_call_id_++;
  call_ = call;
  step_ = step;
  next_retry_ = now + options_.retry_interval;
  calls_.push_back(std::move(call));
}

void VersionStore::Finish(VersionOutcome outcome, std::string code,
                          std::string message) {
  result_.outcome = outcome;
  result_.code = std::move(code);
  result_.message = std::move(message);
  if (result_.number.value() == 0) result_.number = replica_.number();
  results_.push_back(result_);
  step_ = Step::kIdle;
}

void VersionStore::OnReply(const KvReply& reply, absl::Time now) {
  if (step_ == Step::kIdle || reply.call_id != call_.call_id) return;
  reachable_ = reply.outcome == KvOutcome::kOk ||
               reply.outcome == KvOutcome::kCompareFailed;
  if (!reachable_) {
    OnFailure(reply);
  } else {
    switch (step_) {
      case Step::kIdle:
        break;
      case Step::kReadHead:
        OnHead(reply, now);
        break;
      case Step::kCatchUp:
        OnCatchUp(reply, now);
        break;
      case Step::kReadTarget:
        OnTarget(reply, now);
        break;
      case Step::kReadSuccessor:
        OnSuccessor(reply);
        break;
      case Step::kSwap:
        OnSwap(reply, now);
        break;
    }
  }
  if (step_ == Step::kIdle) StartNext(now);
}

void VersionStore::OnFailure(const KvReply& reply) {
  if (step_ == Step::kSwap && reply.outcome == KvOutcome::kUnknown) {
    maybe_applied_ = true;
  }
  if (request_.kind == VersionRequestKind::kPoll) {
    Finish(VersionOutcome::kNotAccepted, "store_unreachable", "");
  }
}

void VersionStore::Tick(absl::Time now) {
  if (step_ == Step::kIdle) {
    StartNext(now);
    return;
  }
  if (now >= deadline_) {
    reachable_ = false;
    // A swap without a reply may still take effect.
    bool may_apply = maybe_applied_ || step_ == Step::kSwap;
    if (may_apply) {
      Finish(
          VersionOutcome::kUnknown, "store_unreachable",
          absl::StrCat("unknown: the store did not confirm whether the patch "
                       "took effect; to resolve this, submit it again with "
                       "the same patch id ",
                       request_.patch_id.value()));
    } else {
      Finish(VersionOutcome::kNotAccepted, "store_unreachable",
             "not accepted: the key-value service can't be reached; the "
             "version in force stays; try again later");
    }
    StartNext(now);
    return;
  }
  if (now < next_retry_) return;
  // The compare on the head's revision makes a repeated swap harmless: it can
  // take effect once at most.
  if (step_ == Step::kSwap) maybe_applied_ = true;
  Call(call_, step_, now);
}

void VersionStore::ReadHead(absl::Time now) {
  Call(RangeCall(options_.prefix + "head"), Step::kReadHead, now);
}

void VersionStore::OnHead(const KvReply& reply, absl::Time now) {
  head_number_ = 0;
  head_revision_ = 0;
  if (!reply.values.empty()) {
    head_revision_ = reply.values.front().mod_revision;
    if (!absl::SimpleAtoi(reply.values.front().value, &head_number_)) {
      Finish(VersionOutcome::kNotAccepted, "store_corrupt",
             "not accepted: the head in the store is not a number");
      return;
    }
  }
  if (head_number_ <= replica_.number().value()) {
    ProcessRequest(now);
    return;
  }
  bool far_behind =
      !replica_.IsKnown() ||
      head_number_ - replica_.number().value() > options_.snapshot_interval;
  CatchUp(now, far_behind);
}

void VersionStore::CatchUp(absl::Time now, bool from_snapshot) {
  caught_up_from_snapshot_ = from_snapshot;
  uint64_t first = from_snapshot ? SnapshotAtOrBefore(head_number_)
                                 : replica_.number().value() + 1;
  Call(VersionRange(first, head_number_), Step::kCatchUp, now);
}

void VersionStore::OnCatchUp(const KvReply& reply, absl::Time now) {
  for (const KvValue& it : reply.values) {
    std::optional<VersionRecord> record = VersionRecordFromJson(it.value);
    if (record) replica_.Apply(*record, now);
  }
  if (replica_.number().value() >= head_number_) {
    ProcessRequest(now);
    return;
  }
  if (!caught_up_from_snapshot_) {
    CatchUp(now, true);
    return;
  }
  Finish(
      maybe_applied_ ? VersionOutcome::kUnknown : VersionOutcome::kNotAccepted,
      "store_corrupt",
      absl::StrCat("version ", head_number_, " can't be read from the store"));
}

void VersionStore::ProcessRequest(absl::Time now) {
  switch (request_.kind) {
    case VersionRequestKind::kPoll:
      Finish(VersionOutcome::kAccepted, "current", "");
      return;
    case VersionRequestKind::kPatch:
    case VersionRequestKind::kRetreat:
      ProcessPatch(now);
      return;
    case VersionRequestKind::kShow:
    case VersionRequestKind::kMarkGood:
      ReadTarget(now);
      return;
  }
}

void VersionStore::ProcessPatch(absl::Time now) {
  if (request_.base.value() < head_number_) {
    // A patch on this base can only have been accepted as the next number.
    VersionNumber successor(request_.base.value() + 1);
    if (const VersionRecord* record = replica_.FindRecord(successor)) {
      CheckSuccessor(*record);
    } else {
      Call(VersionRange(successor.value(), successor.value()),
           Step::kReadSuccessor, now);
    }
    return;
  }
  if (request_.base.value() > head_number_) {
    RejectStaleBase();
    return;
  }
  if (request_.kind == VersionRequestKind::kRetreat) {
    ReadTarget(now);
    return;
  }
  Swap(request_.patch, now);
}

void VersionStore::CheckSuccessor(const VersionRecord& record) {
  if (record.patch_id != request_.patch_id) {
    RejectStaleBase();
    return;
  }
  result_.number = record.number;
  Finish(VersionOutcome::kAccepted, "accepted",
         absl::StrCat("accepted as version ", record.number.value()));
}

void VersionStore::OnSuccessor(const KvReply& reply) {
  std::optional<VersionRecord> record;
  if (!reply.values.empty()) {
    record = VersionRecordFromJson(reply.values.front().value);
  }
  if (record) {
    CheckSuccessor(*record);
    return;
  }
  result_.number = VersionNumber(head_number_);
  Finish(VersionOutcome::kUnknown, "history_pruned",
         absl::StrCat("unknown: version ", request_.base.value() + 1,
                      " is no longer kept, so it is not known whether this "
                      "patch id was accepted; the current version is ",
                      head_number_));
}

void VersionStore::RejectStaleBase() {
  bool complete = true;
  for (uint64_t it = request_.base.value() + 1; it <= head_number_; ++it) {
    const VersionRecord* record = replica_.FindRecord(VersionNumber(it));
    if (record == nullptr || record->patch.empty()) {
      complete = false;
      break;
    }
    for (std::string& path : ConflictingPaths(request_.patch, record->patch)) {
      result_.conflicts.push_back(std::move(path));
    }
  }
  std::sort(result_.conflicts.begin(), result_.conflicts.end());
  result_.conflicts.erase(
      std::unique(result_.conflicts.begin(), result_.conflicts.end()),
      result_.conflicts.end());
  result_.number = VersionNumber(head_number_);
  std::string advice =
      !complete ? "the records since that base are not available: review the "
                  "current version and submit again"
      : result_.conflicts.empty()
          ? "no path of the patch has changed since: submit it again"
          : absl::StrCat(
                "changed since: ", absl::StrJoin(result_.conflicts, ", "),
                ": review them and submit again");
  Finish(VersionOutcome::kNotAccepted, "stale_base",
         absl::StrCat("not accepted: base ", request_.base.value(),
                      " is not the current version ", head_number_, "; ",
                      advice, " against base ", head_number_));
}

void VersionStore::ReadTarget(absl::Time now) {
  if (!request_.target_name.empty()) {
    Call(
        RangeCall(absl::StrCat(options_.prefix, "good/", request_.target_name)),
        Step::kReadTarget, now);
    return;
  }
  if (request_.target.value() == 0) request_.target = replica_.number();
  uint64_t target = request_.target.value();
  if (target == 0 || target > head_number_) {
    Finish(VersionOutcome::kNotAccepted, "no_such_version",
           absl::StrCat("not accepted: there is no version ", target,
                        "; the current one is ", head_number_));
    return;
  }
  Call(VersionRange(SnapshotAtOrBefore(target), target), Step::kReadTarget,
       now);
}

void VersionStore::OnTarget(const KvReply& reply, absl::Time now) {
  std::optional<std::string> content;
  if (!request_.target_name.empty()) {
    if (!reply.values.empty()) content = reply.values.front().value;
  } else {
    content = ReplayRecords(reply.values, request_.target.value());
  }
  if (!content) {
    Finish(VersionOutcome::kNotAccepted, "no_such_version",
           absl::StrCat("not accepted: version ",
                        request_.target_name.empty()
                            ? absl::StrCat(request_.target.value())
                            : request_.target_name,
                        " is not kept in the store"));
    return;
  }
  switch (request_.kind) {
    case VersionRequestKind::kRetreat:
      Swap(MakeMergePatch(replica_.content(), *content), now);
      return;
    case VersionRequestKind::kMarkGood:
      MarkGood(*content, now);
      return;
    default:
      result_.number = request_.target;
      result_.content = *std::move(content);
      Finish(VersionOutcome::kAccepted, "shown", "");
  }
}

void VersionStore::MarkGood(const std::string& content, absl::Time now) {
  if (request_.patch_id.value().empty()) {
    Finish(VersionOutcome::kNotAccepted, "bad_name",
           "not accepted: a known-good version needs a name");
    return;
  }
  KvTxn txn;
  txn.puts.push_back(
      {absl::StrCat(options_.prefix, "good/", request_.patch_id.value()),
       content});
  Call(KvCall{0, std::move(txn)}, Step::kSwap, now);
}

void VersionStore::Swap(const std::string& patch, absl::Time now) {
  std::optional<std::string> content = ApplyMergePatch(
      head_number_ == 0 ? kEmptyContent : replica_.content(), patch);
  SetupError error;
  std::optional<RoutingSetup> setup;
  if (!content) {
    error = {"", "the patch is not a JSON object"};
  } else if (content->size() > options_.max_content_bytes) {
    error = {"",
             absl::StrCat("the content would be ", content->size(),
                          " bytes; the limit is ", options_.max_content_bytes)};
  } else {
    setup = ParseRoutingSetup(*content, error);
  }
  if (!setup) {
    result_.conflicts = {error.path};
    Finish(VersionOutcome::kNotAccepted, "invalid",
           "not accepted: " + error.ToString());
    return;
  }
  std::optional<SetupError> unserved =
      request_.force ? std::nullopt
                     : FindUnservedRoute(*setup, live_servers_());
  if (unserved) {
    result_.conflicts = {unserved->path};
    Finish(VersionOutcome::kNotAccepted, "dead_route",
           absl::StrCat("not accepted: ", unserved->ToString(),
                        "; add a live server or submit with force"));
    return;
  }
  VersionRecord record;
  record.number = VersionNumber(head_number_ + 1);
  record.patch_id = request_.patch_id;
  record.author = request_.author;
  record.reason = request_.reason;
  record.accepted_unix_ms = absl::ToUnixMillis(now);
  record.patch = patch;
  record.content_hash = StableHash(*content);
  bool full =
      SnapshotAtOrBefore(record.number.value()) == record.number.value();
  if (full) record.content = *std::move(content);
  SwapRecord(std::move(record), now);
}

void VersionStore::SwapRecord(VersionRecord record, absl::Time now) {
  uint64_t number = record.number.value();
  KvTxn txn;
  txn.compares.push_back({options_.prefix + "head", head_revision_});
  txn.puts.push_back({options_.prefix + "head", absl::StrCat(number)});
  txn.puts.push_back({VersionKey(number), VersionRecordToJson(record)});
  bool prune = number % options_.snapshot_interval == 0 &&
               number > options_.retained_versions;
  if (prune) {
    txn.deletes.push_back(
        {VersionKey(0), VersionKey(number - options_.retained_versions)});
  }
  swap_record_ = std::move(record);
  Call(KvCall{0, std::move(txn)}, Step::kSwap, now);
}

void VersionStore::OnSwap(const KvReply& reply, absl::Time now) {
  if (reply.outcome == KvOutcome::kCompareFailed) {
    // The head has moved: by another patch, or by an earlier attempt of this
    // one whose reply was lost. Reading the head again tells which.
    ReadHead(now);
    return;
  }
  if (request_.kind == VersionRequestKind::kMarkGood) {
    result_.number = request_.target;
    Finish(VersionOutcome::kAccepted, "marked",
           absl::StrCat("version ", request_.target.value(),
                        " is kept as known-good \"", request_.patch_id.value(),
                        "\""));
    return;
  }
  replica_.Apply(swap_record_, now);
  result_.number = swap_record_.number;
  Finish(VersionOutcome::kAccepted, "accepted",
         absl::StrCat("accepted as version ", swap_record_.number.value()));
}

}  // namespace chervilwick
