// Batching, retries and conflict resolution of claims.

#include "chervilwick/ledger/claim_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilwick {
namespace {

using nlohmann::json;

// Claims are written under a lease with a TTL of two retention periods. The
// lease is replaced after one, so that each claim is kept for at least one.
constexpr int kLeaseTtlInRetentions = 2;

}  // namespace

std::string ClaimToJson(const Claim& claim) {
  json out = {{"entry", claim.attempt.entry.value()},
              {"sequence", claim.attempt.sequence},
              {"agent", claim.agent.value()},
              {"address", claim.agent_address},
              {"incarnation", claim.agent_incarnation.value()},
              {"body_hash", claim.body_hash},
              {"claimed_unix_ms", claim.claimed_unix_ms},
              {"done", claim.done}};
  if (claim.done) {
    out["http_status"] = claim.http_status;
    out["content_type"] = claim.content_type;
    out["body"] = claim.body;
    out["body_omitted"] = claim.body_omitted;
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Claim> ClaimFromJson(const std::string& text) {
  json in = json::parse(text, nullptr, false);
  if (!in.is_object()) return std::nullopt;
  try {
    Claim claim;
    claim.attempt.entry = Incarnation(in.at("entry").get<uint64_t>());
    claim.attempt.sequence = in.at("sequence").get<uint64_t>();
    claim.agent = NodeName(in.at("agent").get<std::string>());
    claim.agent_address = in.at("address").get<std::string>();
    claim.agent_incarnation = Incarnation(in.at("incarnation").get<uint64_t>());
    claim.body_hash = in.at("body_hash").get<uint64_t>();
    claim.claimed_unix_ms = in.at("claimed_unix_ms").get<int64_t>();
    claim.done = in.at("done").get<bool>();
    claim.http_status = in.value("http_status", 0U);
    claim.content_type = in.value("content_type", "");
    claim.body = in.value("body", "");
    claim.body_omitted = in.value("body_omitted", false);
    return claim;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::vector<KvCall> ClaimLog::TakeCalls() { return std::exchange(calls_, {}); }

std::vector<ClaimResult> ClaimLog::TakeResults() {
  return std::exchange(results_, {});
}

void ClaimLog::Put(uint64_t op_id, const std::string& key, Claim claim,
                   int64_t revision, absl::Time now) {
  claim.claimed_unix_ms = absl::ToUnixMillis(now);
  Enqueue({op_id, key, std::move(claim), revision, now + options_.deadline});
  SendNext(now);
}

void ClaimLog::Record(const std::string& key, Claim claim, int64_t revision,
                      absl::Time now) {
  if (claim.body.size() > options_.max_body_bytes) {
    claim.body.clear();
    claim.body_omitted = true;
  }
  Enqueue({0, key, std::move(claim), revision, now + options_.record_deadline});
  SendNext(now);
}

void ClaimLog::Enqueue(Op op) {
  if (pending() >= options_.max_pending) {
    Finish(op, ClaimOutcome::kUnavailable, {}, 0);
    return;
  }
  waiting_.push_back(std::move(op));
}

void ClaimLog::Finish(const Op& op, ClaimOutcome outcome, Claim current,
                      int64_t revision) {
  if (op.op_id == 0) return;
  results_.push_back({op.op_id, outcome, std::move(current), revision});
}

void ClaimLog::SendNext(absl::Time now) {
  if (call_in_flight_ || now < next_retry_) return;
  if (waiting_.empty() && batch_.empty()) return;
  if (lease_ == 0 || now >= lease_renewal_) {
    SendLeaseGrant(now);
    return;
  }
  SendBatch(now);
}

void ClaimLog::SendLeaseGrant(absl::Time now) {
  requesting_lease_ = true;
  call_ = KvCall{next_call_id_++,
                 KvLeaseGrant{kLeaseTtlInRetentions * options_.retention}};
  call_in_flight_ = true;
  next_retry_ = now + options_.retry_interval;
  calls_.push_back(call_);
}

void ClaimLog::SendBatch(absl::Time now) {
  requesting_lease_ = false;
  // A batch that may have taken effect is resent instead of composing a new
  // one. A batch holds at most one operation per key.
  if (batch_.empty()) {
    std::deque<Op> later;
    while (!waiting_.empty() && batch_.size() < options_.max_batch) {
      Op op = std::move(waiting_.front());
      waiting_.pop_front();
      bool same_key =
          std::any_of(batch_.begin(), batch_.end(),
                      [&](const Op& it) { return it.key == op.key; });
      if (same_key) {
        later.push_back(std::move(op));
      } else {
        batch_.push_back(std::move(op));
      }
    }
    std::move(later.rbegin(), later.rend(), std::front_inserter(waiting_));
  }
  KvTxn txn;
  for (const Op& it : batch_) {
    std::string key = options_.prefix + it.key;
    txn.compares.push_back({key, it.revision});
    txn.puts.push_back({key, ClaimToJson(it.claim), lease_});
  }
  call_ = KvCall{next_call_id_++, std::move(txn)};
  call_in_flight_ = true;
  next_retry_ = now + options_.retry_interval;
  calls_.push_back(call_);
}

void ClaimLog::OnReply(const KvReply& reply, absl::Time now) {
  if (!call_in_flight_ || reply.call_id != call_.call_id) return;
  call_in_flight_ = false;
  switch (reply.outcome) {
    case KvOutcome::kOk:
      next_retry_ = now;
      if (requesting_lease_) {
        lease_ = reply.lease;
        lease_renewal_ = now + options_.retention;
      } else {
        OnCommitted(reply);
      }
      break;
    case KvOutcome::kCompareFailed:
      next_retry_ = now;
      OnCompareFailed(reply);
      break;
    case KvOutcome::kUnavailable:
    case KvOutcome::kUnknown:
      break;
  }
  SendNext(now);
}

void ClaimLog::OnCommitted(const KvReply& reply) {
  for (const Op& it : std::exchange(batch_, {})) {
    Finish(it, ClaimOutcome::kGranted, it.claim, reply.revision);
  }
}

// Finishes `op` if its own compare failed. Returns false if the transaction
// failed because of another operation, so that `op` has to be retried.
bool ClaimLog::ResolveFailedCompare(const Op& op, const KvReply& reply) {
  std::string key = options_.prefix + op.key;
  auto it = std::find_if(reply.values.begin(), reply.values.end(),
                         [&](const KvValue& v) { return v.key == key; });
  if (it == reply.values.end()) {
    if (op.revision == 0) return false;
    // The claim has expired in the store.
    Finish(op, ClaimOutcome::kUnavailable, {}, 0);
    return true;
  }
  if (it->mod_revision == op.revision) return false;
  std::optional<Claim> current = ClaimFromJson(it->value);
  bool own = current && current->attempt == op.claim.attempt &&
             current->done == op.claim.done;
  if (own) {
    Finish(op, ClaimOutcome::kGranted, op.claim, it->mod_revision);
  } else if (current) {
    Finish(op, ClaimOutcome::kExists, *current, it->mod_revision);
  } else {
    Finish(op, ClaimOutcome::kUnavailable, {}, 0);
  }
  return true;
}

void ClaimLog::OnCompareFailed(const KvReply& reply) {
  std::vector<Op> batch = std::exchange(batch_, {});
  for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
    if (!ResolveFailedCompare(*it, reply)) waiting_.push_front(std::move(*it));
  }
}

void ClaimLog::Tick(absl::Time now) {
  if (call_in_flight_ && now >= next_retry_) call_in_flight_ = false;
  auto expire = [&](auto& ops) {
    for (auto it = ops.begin(); it != ops.end();) {
      if (now < it->deadline) {
        ++it;
        continue;
      }
      Finish(*it, ClaimOutcome::kUnavailable, {}, 0);
      it = ops.erase(it);
    }
  };
  expire(waiting_);
  // A batch in flight may still take effect. A later reader of such a claim
  // learns the outcome from the attempt that the claim names.
  expire(batch_);
  SendNext(now);
}

}  // namespace chervilwick
