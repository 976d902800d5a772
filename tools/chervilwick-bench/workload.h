// Engines, requests and demand of the users' deployments.

#ifndef CHERVILWICK_TOOLS_BENCH_WORKLOAD_H_
#define CHERVILWICK_TOOLS_BENCH_WORKLOAD_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/testbed/world.h"

namespace chervilwick {

// One deployment of a user.
struct Deployment {
  std::vector<ZoneName> zones;
  uint32_t prefill_engines = 0;
  uint32_t decode_engines = 0;
  double door_share = 0;         // requests of someone at the door
  bool others_can_wait = false;  // all other requests are reports
  uint32_t clients = 40;
};

Deployment DeploymentByName(const std::string& name);
// World of a deployment, with three entries.
WorldOptions MakeWorld(const Deployment& deployment, uint64_t seed);
// Requests a second that the engines can serve, by their mean work.
double Capacity(const Deployment& deployment);

// One drawn request.
struct DrawnRequest {
  ClientStream ask;
  bool door = false;
};
DrawnRequest DrawRequest(const Deployment& deployment, uint64_t number,
                         std::mt19937_64& random);

// Demand at a time, as a multiple of capacity.
double DemandAt(const std::string& scenario, absl::Duration since_start);

// Targets that a good answer meets.
struct Targets {
  absl::Duration first_token;
  absl::Duration per_token;
};
Targets TargetsOf(const Deployment& deployment, bool door);

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_BENCH_WORKLOAD_H_
