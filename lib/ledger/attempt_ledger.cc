// Storage and pruning of an agent's attempt records.

#include "chervilwick/ledger/attempt_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chervilwick {

AttemptRecord* AttemptLedger::Find(const AttemptId& id) {
  auto it = records_.find(id);
  return it == records_.end() ? nullptr : it->second.get();
}

AttemptRecord& AttemptLedger::Insert(AttemptRecord record) {
  assert(Find(record.id) == nullptr && "an attempt has one record");
  uint64_t order = next_order_++;
  live_[order] = record.id;
  order_[record.id] = order;
  auto& slot = records_[record.id];
  slot = std::make_unique<AttemptRecord>(std::move(record));
  return *slot;
}

size_t AttemptLedger::Bytes(const AttemptRecord& record) {
  return sizeof(AttemptRecord) + record.done.body.size();
}

void AttemptLedger::End(AttemptRecord& record, AttemptState state,
                        absl::Time now) {
  assert(state == AttemptState::kDone || state == AttemptState::kFenced);
  live_.erase(order_[record.id]);
  uint64_t order = next_order_++;
  order_[record.id] = order;
  ended_[order] = record.id;
  record.state = state;
  record.ended_at = now;
  record.start.prompt.clear();
  record.start.prompt.shrink_to_fit();
  ended_bytes_ += Bytes(record);
}

void AttemptLedger::Erase(const AttemptId& id) {
  AttemptRecord* record = Find(id);
  if (record == nullptr) return;
  uint64_t order = order_[id];
  if (ended_.erase(order) > 0) ended_bytes_ -= Bytes(*record);
  live_.erase(order);
  order_.erase(id);
  records_.erase(id);
}

bool AttemptLedger::MayHaveRun(const AttemptId& id) const {
  auto it = pruned_up_to_.find(id.entry);
  return it != pruned_up_to_.end() && id.sequence <= it->second;
}

void AttemptLedger::Prune(absl::Time now) {
  std::vector<AttemptId> expired;
  size_t excess = ended_.size() > options_.max_ended
                      ? ended_.size() - options_.max_ended
                      : 0;
  size_t bytes = ended_bytes_;
  for (const auto& [order, id] : ended_) {
    const AttemptRecord& record = *records_.at(id);
    absl::Duration retention = record.start.idempotent
                                   ? options_.idempotent_retention
                                   : options_.retention;
    bool over = expired.size() < excess || bytes > options_.max_ended_bytes;
    if (!over && now - record.ended_at < retention) continue;
    bytes -= Bytes(record);
    expired.push_back(id);
  }
  for (const AttemptId& id : expired) {
    if (!records_.at(id)->start.idempotent) {
      uint64_t& pruned = pruned_up_to_[id.entry];
      pruned = std::max(pruned, id.sequence);
    }
    Erase(id);
  }
}

void AttemptLedger::ForEachLive(
    const std::function<void(AttemptRecord&)>& visit) {
  // Iterates over a copy because `visit` may end or erase the record it is
  // given.
  std::vector<AttemptId> ids;
  ids.reserve(live_.size());
  for (const auto& [order, id] : live_) ids.push_back(id);
  for (const AttemptId& id : ids) {
    if (AttemptRecord* record = Find(id)) visit(*record);
  }
}

}  // namespace chervilwick
