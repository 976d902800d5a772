// A process's replica of the configuration.

#include "chervilwick/config/config_replica.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr size_t kMaxRecentRecords = 256;
constexpr absl::Duration kPullInterval = absl::Milliseconds(200);

using nlohmann::json;

}  // namespace

ConfigReplica::ConfigReplica()
    : tree_(std::make_unique<json>(json::object())) {}

ConfigReplica::~ConfigReplica() = default;

const VersionRecord* ConfigReplica::FindRecord(VersionNumber number) const {
  for (const VersionRecord& it : recent_) {
    if (it.number == number) return &it;
  }
  return nullptr;
}

const VersionRecord* ConfigReplica::FindPatch(const PatchId& patch_id) const {
  for (const VersionRecord& it : recent_) {
    if (it.patch_id == patch_id) return &it;
  }
  return nullptr;
}

absl::Time ConfigReplica::SupersededAt(VersionNumber number) const {
  auto it =
      std::upper_bound(version_times_.begin(), version_times_.end(), number,
                       [](VersionNumber value, const VersionTime& entry) {
                         return value < entry.number;
                       });
  return it == version_times_.end() ? absl::InfiniteFuture() : it->at;
}

std::optional<ConfigPull> ConfigReplica::OnPeerVersion(
    VersionNumber peer_version, absl::Time now) {
  if (peer_version <= number_ || now < next_pull_) return std::nullopt;
  next_pull_ = now + kPullInterval;
  return ConfigPull{needs_full_ ? VersionNumber(0) : number_};
}

bool ConfigReplica::HasDeltasAfter(VersionNumber have) const {
  if (recent_.empty()) return false;
  // The oldest record may have arrived as a full record, without a patch.
  const VersionRecord& oldest = recent_.front();
  uint64_t first_delta = oldest.number.value() + (oldest.patch.empty() ? 1 : 0);
  return first_delta <= have.value() + 1;
}

std::optional<ConfigPush> ConfigReplica::OnPull(const ConfigPull& pull) const {
  if (pull.have >= number_) return std::nullopt;
  ConfigPush push;
  if (pull.have.value() == 0 || !HasDeltasAfter(pull.have)) {
    VersionRecord full = recent_.empty() ? VersionRecord{} : recent_.back();
    full.number = number_;
    full.patch.clear();
    full.content = content_;
    push.records.items.push_back(std::move(full));
    return push;
  }
  push.base = pull.have;
  for (const VersionRecord& it : recent_) {
    if (it.number > pull.have) push.records.items.push_back(it);
  }
  return push;
}

bool ConfigReplica::OnPush(const ConfigPush& push, absl::Time now) {
  bool changed = false;
  for (const VersionRecord& it : push.records.items) changed |= Apply(it, now);
  // After an answered pull, the next one need not wait for the interval.
  if (changed) next_pull_ = absl::InfinitePast();
  return changed;
}

bool ConfigReplica::UpdateTree(const VersionRecord& record) {
  if (!record.content.empty()) {
    json full_content = json::parse(record.content, nullptr, false);
    if (!full_content.is_object()) return false;
    *tree_ = std::move(full_content);
    return true;
  }
  bool is_next = record.number.value() == number_.value() + 1;
  json patch = json::parse(record.patch, nullptr, false);
  if (!is_next || !patch.is_object()) return false;
  tree_->merge_patch(patch);
  return true;
}

bool ConfigReplica::Apply(const VersionRecord& record, absl::Time now) {
  if (record.number <= number_) return false;
  if (!UpdateTree(record)) return false;
  std::string content = tree_->dump();
  SetupError error;
  std::optional<RoutingSetup> setup;
  if (StableHash(content) == record.content_hash) {
    setup = ReadRoutingSetup(*tree_, error);
  }
  if (!setup) {
    // Restores the tree to the version in force.
    *tree_ = json::parse(content_);
    needs_full_ = true;
    return false;
  }
  needs_full_ = false;
  number_ = record.number;
  content_ = std::move(content);
  setup_ = std::make_unique<const RoutingSetup>(*std::move(setup));
  in_force_since_ = now;
  version_times_.push_back({number_, now});
  if (version_times_.size() > kMaxRecentRecords) version_times_.pop_front();
  AppendRecent(record);
  return true;
}

void ConfigReplica::AppendRecent(VersionRecord record) {
  bool follows = !recent_.empty() &&
                 recent_.back().number.value() + 1 == record.number.value();
  if (!follows || record.patch.empty()) recent_.clear();
  record.content.clear();
  recent_.push_back(std::move(record));
  if (recent_.size() > kMaxRecentRecords) recent_.pop_front();
}

}  // namespace chervilwick
