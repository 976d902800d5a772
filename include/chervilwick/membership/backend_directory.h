// Directory of the backend servers in an entry's subset, with their liveness,
// load and observed speed.

#ifndef CHERVILWICK_MEMBERSHIP_BACKEND_DIRECTORY_H_
#define CHERVILWICK_MEMBERSHIP_BACKEND_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "chervilwick/config/routing_setup.h"
#include "chervilwick/store/host_list.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

enum class Liveness {
  kLive,
  kLeaving,  // reported by the agent itself or by the platform's list
  kSilent,   // no message within the silence limit: paused, dead or partitioned
  kUnheard,  // listed, but no message since this entry started
};

const char* LivenessName(Liveness liveness);

// One backend server with its agent.
struct Backend {
  BackendName name;
  NodeName agent;
  ZoneName zone;
  std::string address;
  Incarnation incarnation;
  bool listed = false;  // in the platform's list
  bool listed_leaving = false;
  bool leaving = false;  // reported by the agent
  VersionNumber version;
  absl::Time last_heard = absl::InfinitePast();
  LoadReport load;
  absl::Time load_at = absl::InfinitePast();
  // Work dispatched by this entry since the last load report.
  uint32_t unreported_places = 0;
  double unreported_queue_us = 0;
  // Observed by this entry.
  double token_us = 0;  // moving average of the time per token, 0: no sample
  absl::Time ejected_until = absl::InfinitePast();
  absl::Duration ejection = absl::ZeroDuration();
  absl::Time avoid_until = absl::InfinitePast();  // after a recent refusal
};

// Backend servers, indexed by name and by agent.
class BackendDirectory {
 public:
  // Applies the platform's list, reduced to this entry's subset.
  void Update(const std::vector<HostRecord>& agents);
  // Applies an agent's announcement. Returns the backend, or null if the sender
  // is not an agent with a backend server.
  Backend* OnHello(const Envelope& envelope, const Hello& hello,
                   absl::Time now);
  Backend* OnHeard(const Envelope& envelope, absl::Time now);
  void OnLoad(Backend& backend, const LoadReport& load, absl::Time now);
  // Looks up the backend by name. Returns null if it is unknown.
  Backend* OnLoad(const BackendName& name, const LoadReport& load,
                  absl::Time now);

  Backend* Find(const BackendName& name);
  Backend* FindByAgent(const NodeName& agent);
  const std::map<BackendName, Backend>& all() const { return backends_; }

  Liveness LivenessOf(const Backend& backend, absl::Time now) const;
  // Live, ready and not ejected.
  bool IsUsable(const Backend& backend, absl::Time now) const;
  // Returns the usable backend servers of a pool that are not drained.
  std::vector<Backend*> Usable(const Pool& pool, absl::Time now);
  // Returns the backend servers to count as live when a new configuration
  // version is validated: live ones, and listed ones not heard yet.
  std::set<BackendName> Live(absl::Time now) const;

  // Records an observed time per token and ejects the backend server for a
  // limited time if it is much slower than the median of its pool.
  void ObserveTokenTime(Backend& backend, const Pool& pool,
                        absl::Duration per_token, uint32_t max_ejected_percent,
                        absl::Time now);
  // Removes unlisted backend servers not heard within the retention time.
  void RemoveStale(absl::Time now);

 private:
  std::optional<double> MedianTokenTime(const Pool& pool) const;

  std::map<BackendName, Backend> backends_;
  absl::flat_hash_map<NodeName, BackendName> by_agent_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_MEMBERSHIP_BACKEND_DIRECTORY_H_
