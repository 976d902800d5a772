// Typed representation of the content of a configuration version.

#ifndef CHERVILWICK_CONFIG_ROUTING_SETUP_H_
#define CHERVILWICK_CONFIG_ROUTING_SETUP_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// Kind of work that the backend servers of a pool do.
enum class PoolRole { kPrefill, kDecode, kPlain };

struct ServerSetup {
  bool drained = false;  // gets no new work
};

struct Pool {
  PoolRole role = PoolRole::kPlain;
  ModelName model;      // empty for plain pools
  std::string weights;  // name of the weights in the weight store
  std::vector<std::string> adapters;
  std::map<BackendName, ServerSetup> servers;
};

// A prefill pool and a decode pool that serve a model together.
struct ModelRoute {
  PoolName prefill;
  PoolName decode;
  uint32_t share = 0;  // weight among the model's routes
};

struct Model {
  std::vector<ModelRoute> routes;
  absl::Duration first_token_target = absl::Milliseconds(1500);
  absl::Duration token_target = absl::Milliseconds(32);
  absl::Duration deadline = absl::Seconds(60);
  Priority priority = Priority::kNormal;
  uint32_t tokens_per_piece = 4000;
};

// Route of plain calls under a path prefix.
struct PlainRoute {
  PoolName pool;
  bool idempotent = false;
  absl::Duration deadline = absl::Seconds(5);
  Priority priority = Priority::kNormal;
};

struct Limits {
  uint32_t max_waiting_requests = 4096;
  uint32_t max_waiting_per_client = 256;
  uint32_t retry_percent = 10;        // retries as a share of fresh requests
  uint32_t hedge_percent = 5;         // hedges as a share of fresh requests
  uint32_t max_ejected_percent = 30;  // of a pool, by straggler detection
  uint32_t concurrent_weight_loads = 4;
  absl::Duration weight_load_time = absl::Seconds(30);
};

struct RoutingSetup {
  std::map<PoolName, Pool> pools;
  std::map<ModelName, Model> models;
  std::map<std::string, PlainRoute> services;  // by path prefix
  Limits limits;

  // Returns the pool that lists the backend server, or null. Stores the pool's
  // name in `name` unless that is null.
  const Pool* FindPoolOf(const BackendName& server,
                         PoolName* name = nullptr) const;
  // Returns the plain route with the longest matching prefix, or null. Prefixes
  // match whole path segments only.
  const PlainRoute* FindService(const std::string& path,
                                std::string* prefix = nullptr) const;
};

// Why a configuration content was rejected.
struct SetupError {
  std::string path;     // JSON pointer
  std::string problem;  // what is wrong and what is allowed
  std::string ToString() const { return path + ": " + problem; }
};

// Parses and validates a content; unknown members are errors.
std::optional<RoutingSetup> ParseRoutingSetup(const std::string& content,
                                              SetupError& error);
std::optional<RoutingSetup> ReadRoutingSetup(const nlohmann::json& content,
                                             SetupError& error);

// Returns the first model or service that the servers in `live` can't serve, if
// any. Drained servers don't count.
std::optional<SetupError> FindUnservedRoute(const RoutingSetup& setup,
                                            const std::set<BackendName>& live);

}  // namespace chervilwick

#endif  // CHERVILWICK_CONFIG_ROUTING_SETUP_H_
