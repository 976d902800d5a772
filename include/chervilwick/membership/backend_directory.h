// What an entry knows of the backend servers in its subset.

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
  kLeaving,  // says so itself, or the platform's list does
  kSilent,   // was heard, but not for the silence limit: paused, dead, cut off
  kUnheard,  // listed, never heard in this incarnation of the entry
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
  bool leaving = false;  // by its own word
  VersionNumber version;
  absl::Time last_heard = absl::InfinitePast();
  LoadReport load;
  absl::Time load_at = absl::InfinitePast();
  // Dispatched by this entry since the load was reported.
  uint32_t unreported_places = 0;
  double unreported_queue_us = 0;
  // Own observations.
  double token_us = 0;  // moving average, 0: none yet
  absl::Time ejected_until = absl::InfinitePast();
  absl::Duration ejection = absl::ZeroDuration();
  absl::Time avoid_until = absl::InfinitePast();  // refused a moment ago
};

// Members by backend server name and by agent.
class BackendDirectory {
 public:
  // Takes the platform's list, cut down to this entry's subset.
  void Update(const std::vector<HostRecord>& agents);
  // Takes what an agent says of itself. Returns the backend, null if unknown.
  Backend* OnHello(const Envelope& envelope, const Hello& hello,
                   absl::Time now);
  Backend* OnHeard(const Envelope& envelope, absl::Time now);
  void OnLoad(Backend& backend, const LoadReport& load, absl::Time now);
  // The same by name. Returns the backend, null if unknown.
  Backend* OnLoad(const BackendName& name, const LoadReport& load,
                  absl::Time now);

  Backend* Find(const BackendName& name);
  Backend* FindByAgent(const NodeName& agent);
  const std::map<BackendName, Backend>& all() const { return backends_; }

  Liveness LivenessOf(const Backend& backend, absl::Time now) const;
  // Live, ready and not ejected.
  bool IsUsable(const Backend& backend, absl::Time now) const;
  // Usable backend servers of a pool that aren't drained.
  std::vector<Backend*> Usable(const Pool& pool, absl::Time now);
  // Backend servers that could take work, for the check of new versions.
  std::set<BackendName> Live(absl::Time now) const;

  // Records the time per token seen at a backend server and ejects it for a
  // while when it is far slower than its pool.
  void ObserveTokenTime(Backend& backend, const Pool& pool,
                        absl::Duration per_token, uint32_t max_ejected_percent,
                        absl::Time now);
  // Drops backend servers that were neither listed nor heard for long.
  void Forget(absl::Time now);

 private:
  std::optional<double> MedianTokenTime(const Pool& pool) const;

  std::map<BackendName, Backend> backends_;
  absl::flat_hash_map<NodeName, BackendName> by_agent_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_MEMBERSHIP_BACKEND_DIRECTORY_H_
