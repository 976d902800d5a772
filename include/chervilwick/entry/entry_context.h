// State shared by the parts of an entry's core.

#ifndef CHERVILWICK_ENTRY_ENTRY_CONTEXT_H_
#define CHERVILWICK_ENTRY_ENTRY_CONTEXT_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "chervilwick/config/config_replica.h"
#include "chervilwick/entry/entry_types.h"
#include "chervilwick/ledger/crash_ledger.h"
#include "chervilwick/limits/retry_budget.h"
#include "chervilwick/membership/backend_directory.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// Outcomes of the requests to one pool. The health gate of `chervilwick-ctl
// return` compares them between its steps.
struct PoolHealth {
  uint64_t ok = 0;
  uint64_t failed = 0;
  uint64_t late = 0;  // first token later than its target
};

struct EntryContext {
  explicit EntryContext(EntryOptions entry_options)
      : options(std::move(entry_options)),
        random(options.seed),
        policy(options.policy),
        retries(kRetryBurst),
        hedges(kHedgeBurst) {}

  void Act(EntryAction action) { actions.push_back(std::move(action)); }
  void Send(const NodeName& to, Message message) {
    Act(SendToPeer{to, std::move(message)});
  }
  AttemptId NewAttempt() { return {options.incarnation, ++last_attempt}; }

  static constexpr uint32_t kRetryBurst = 128;
  static constexpr uint32_t kHedgeBurst = 16;

  const EntryOptions options;
  std::mt19937_64 random;
  RoutingPolicy policy;
  ConfigReplica config;
  BackendDirectory directory;
  CrashLedger crashes;
  RetryBudget retries;
  RetryBudget hedges;
  EntryStats stats;
  std::map<PoolName, PoolHealth> health;
  std::vector<EntryAction> actions;
  uint64_t last_attempt = 0;
  // Agents outside the subset that are queried about an earlier attempt.
  std::map<std::string, absl::Time> extra_peers;  // address -> expiry
  bool stopping = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_ENTRY_CONTEXT_H_
