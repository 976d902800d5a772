// Fake key-value service.

#include "chervilwick/testbed/fake_store.h"

#include <algorithm>

#include "chervilwick/support/overloaded.h"

namespace chervilwick {

KvReply FakeStore::Perform(const KvCall& call) {
  KvReply reply;
  reply.call_id = call.call_id;
  reply.outcome = KvOutcome::kOk;
  std::visit(Overloaded{
                 [&](const KvRange& it) { Read(it, reply); },
                 [&](const KvTxn& it) { Swap(it, reply); },
                 [&](const KvLeaseGrant&) {
                   ++writes_;
                   reply.lease = ++revision_;
                 },
             },
             call.body);
  reply.revision = revision_;
  return reply;
}

void FakeStore::Read(const KvRange& range, KvReply& reply) {
  ++reads_;
  auto last = range.range_end.empty() ? data_.upper_bound(range.key)
                                      : data_.lower_bound(range.range_end);
  for (auto it = data_.lower_bound(range.key); it != last; ++it) {
    reply.values.push_back(it->second);
  }
}

void FakeStore::Swap(const KvTxn& txn, KvReply& reply) {
  ++writes_;
  bool holds = std::all_of(
      txn.compares.begin(), txn.compares.end(), [&](const KvCompare& it) {
        auto found = data_.find(it.key);
        int64_t actual = found == data_.end() ? 0 : found->second.mod_revision;
        return actual == it.mod_revision;
      });
  if (!holds) {
    reply.outcome = KvOutcome::kCompareFailed;
    for (const KvCompare& it : txn.compares) {
      auto found = data_.find(it.key);
      if (found != data_.end()) reply.values.push_back(found->second);
    }
    return;
  }
  ++revision_;
  for (const KvPut& it : txn.puts) {
    data_[it.key] = {it.key, it.value, revision_};
  }
  for (const KvDelete& it : txn.deletes) {
    data_.erase(data_.lower_bound(it.key), data_.lower_bound(it.range_end));
  }
}

}  // namespace chervilwick
