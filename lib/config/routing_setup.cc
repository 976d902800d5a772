// Parsing and validation of a version's content.

#include "chervilwick/config/routing_setup.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxShare = 1000000;

// Reads one JSON object, records the first error and rejects unknown members.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path, SetupError& error)
      : object_(object), path_(std::move(path)), error_(error) {
    if (!object_.is_object()) Fail("", "must be an object");
  }

  void Fail(const std::string& member, const std::string& problem) {
    if (!error_.problem.empty()) return;
    error_.path = member.empty() ? path_ : path_ + "/" + member;
    error_.problem = problem;
  }

  // Returns the member, or null when it is absent.
  const json* Find(const std::string& member) {
    known_.insert(member);
    if (!object_.is_object()) return nullptr;
    auto it = object_.find(member);
    return it == object_.end() ? nullptr : &*it;
  }

  void ReadString(const std::string& member, std::string& value) {
    const json* it = Find(member);
    if (it == nullptr) return;
    if (!it->is_string()) {
      Fail(member, "must be a string");
      return;
    }
    value = it->get<std::string>();
  }

  void ReadBool(const std::string& member, bool& value) {
    const json* it = Find(member);
    if (it == nullptr) return;
    if (!it->is_boolean()) {
      Fail(member, "must be true or false");
      return;
    }
    value = it->get<bool>();
  }

  void ReadCount(const std::string& member, uint32_t low, uint32_t high,
                 uint32_t& value) {
    const json* it = Find(member);
    if (it == nullptr) return;
    if (!it->is_number_unsigned() || it->get<uint64_t>() < low ||
        it->get<uint64_t>() > high) {
      Fail(member,
           absl::StrCat("must be a whole number from ", low, " to ", high));
      return;
    }
    value = it->get<uint32_t>();
  }

  void ReadDuration(const std::string& member, absl::Duration& value) {
    const json* it = Find(member);
    if (it == nullptr) return;
    absl::Duration parsed;
    if (!it->is_string() ||
        !absl::ParseDuration(it->get<std::string>(), &parsed) ||
        parsed <= absl::ZeroDuration() || parsed > absl::Hours(24)) {
      Fail(member,
           "must be a duration with a unit such as \"32ms\" or \"1.5s\", above "
           "zero and at most 24h");
      return;
    }
    value = parsed;
  }

  template <typename Enum>
  void ReadEnum(const std::string& member,
                const std::vector<std::pair<std::string, Enum>>& names,
                Enum& value) {
    std::string text;
    if (Find(member) == nullptr) return;
    ReadString(member, text);
    std::string allowed;
    for (const auto& [name, enumerator] : names) {
      if (name == text) {
        value = enumerator;
        return;
      }
      absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", name);
    }
    Fail(member, "must be one of " + allowed);
  }

  // Calls `read` with each member of the object under `member`.
  void ReadMap(
      const std::string& member,
      const std::function<void(const std::string& key, const json& value,
                               const std::string& path)>& read) {
    const json* it = Find(member);
    if (it == nullptr) return;
    if (!it->is_object()) {
      Fail(member, "must be an object");
      return;
    }
    for (const auto& [key, value] : it->items()) {
      read(key, value, absl::StrCat(path_, "/", member, "/", key));
    }
  }

  void RejectUnknown() {
    if (!object_.is_object()) return;
    for (const auto& [key, value] : object_.items()) {
      if (known_.count(key) == 0) Fail(key, "unknown member");
    }
  }

 private:
  const json& object_;
  const std::string path_;
  SetupError& error_;
  std::set<std::string> known_;
};

const std::vector<std::pair<std::string, PoolRole>>& PoolRoleNames() {
  static const auto* const names =
      new std::vector<std::pair<std::string, PoolRole>>{
          {"prefill", PoolRole::kPrefill},
          {"decode", PoolRole::kDecode},
          {"plain", PoolRole::kPlain}};
  return *names;
}

const std::vector<std::pair<std::string, Priority>>& PriorityNames() {
  static const auto* const names =
      new std::vector<std::pair<std::string, Priority>>{
          {"urgent", Priority::kUrgent},
          {"normal", Priority::kNormal},
          {"batch", Priority::kBatch}};
  return *names;
}

Pool ReadPool(const json& value, const std::string& path, SetupError& error) {
  Pool pool;
  ObjectReader reader(value, path, error);
  reader.ReadEnum("role", PoolRoleNames(), pool.role);
  std::string model;
  reader.ReadString("model", model);
  pool.model = ModelName(model);
  reader.ReadString("weights", pool.weights);
  if (const json* adapters = reader.Find("adapters")) {
    for (const json& it : *adapters) {
      if (it.is_string()) {
        pool.adapters.push_back(it.get<std::string>());
      } else {
        reader.Fail("adapters", "must be a list of names");
      }
    }
  }
  reader.ReadMap("servers", [&](const std::string& key, const json& server,
                                const std::string& server_path) {
    ServerSetup& setup = pool.servers[BackendName(key)];
    ObjectReader server_reader(server, server_path, error);
    server_reader.ReadBool("drained", setup.drained);
    server_reader.RejectUnknown();
  });
  bool is_plain = pool.role == PoolRole::kPlain;
  if (is_plain != model.empty()) {
    reader.Fail("model", is_plain ? "is not allowed in a plain pool"
                                  : "is required in a prefill or decode pool");
  }
  reader.RejectUnknown();
  return pool;
}

ModelRoute ReadModelRoute(const json& value, const std::string& path,
                          SetupError& error) {
  ModelRoute route;
  std::string prefill;
  std::string decode;
  ObjectReader reader(value, path, error);
  reader.ReadString("prefill", prefill);
  reader.ReadString("decode", decode);
  reader.ReadCount("share", 0, kMaxShare, route.share);
  reader.RejectUnknown();
  route.prefill = PoolName(prefill);
  route.decode = PoolName(decode);
  return route;
}

Model ReadModel(const json& value, const std::string& path, SetupError& error) {
  Model model;
  ObjectReader reader(value, path, error);
  reader.ReadDuration("first_token_target", model.first_token_target);
  reader.ReadDuration("token_target", model.token_target);
  reader.ReadDuration("deadline", model.deadline);
  reader.ReadEnum("priority", PriorityNames(), model.priority);
  reader.ReadCount("tokens_per_piece", 1, 1000000, model.tokens_per_piece);
  reader.ReadMap("routes", [&](const std::string& /*name*/, const json& route,
                               const std::string& route_path) {
    model.routes.push_back(ReadModelRoute(route, route_path, error));
  });
  reader.RejectUnknown();
  return model;
}

PlainRoute ReadService(const json& value, const std::string& path,
                       SetupError& error) {
  PlainRoute service;
  std::string pool;
  ObjectReader reader(value, path, error);
  reader.ReadString("pool", pool);
  reader.ReadBool("idempotent", service.idempotent);
  reader.ReadDuration("deadline", service.deadline);
  reader.ReadEnum("priority", PriorityNames(), service.priority);
  reader.RejectUnknown();
  service.pool = PoolName(pool);
  return service;
}

Limits ReadLimits(const json& value, SetupError& error) {
  Limits limits;
  ObjectReader reader(value, "/limits", error);
  reader.ReadCount("max_waiting_requests", 1, 1000000,
                   limits.max_waiting_requests);
  reader.ReadCount("max_waiting_per_client", 1, 1000000,
                   limits.max_waiting_per_client);
  reader.ReadCount("retry_percent", 0, 100, limits.retry_percent);
  reader.ReadCount("hedge_percent", 0, 100, limits.hedge_percent);
  reader.ReadCount("max_ejected_percent", 0, 90, limits.max_ejected_percent);
  reader.ReadCount("concurrent_weight_loads", 1, 10000,
                   limits.concurrent_weight_loads);
  reader.ReadDuration("weight_load_time", limits.weight_load_time);
  reader.RejectUnknown();
  return limits;
}

std::string CheckPool(const RoutingSetup& setup, const PoolName& name,
                      PoolRole role, const ModelName& model) {
  auto it = setup.pools.find(name);
  if (it == setup.pools.end()) {
    return absl::StrCat("no pool is named \"", name.value(), "\"");
  }
  if (it->second.role != role) {
    return absl::StrCat("pool \"", name.value(), "\" has another role");
  }
  if (it->second.model != model) {
    return absl::StrCat("pool \"", name.value(), "\" serves another model");
  }
  return "";
}

// Validates references between members: pool ownership of servers, and the
// pools that routes and services name.
void CheckReferences(const RoutingSetup& setup, SetupError& error) {
  std::map<BackendName, PoolName> owners;
  for (const auto& [name, pool] : setup.pools) {
    for (const auto& [server, unused] : pool.servers) {
      auto [it, added] = owners.emplace(server, name);
      if (added) continue;
      error = {
          absl::StrCat("/pools/", name.value(), "/servers/", server.value()),
          absl::StrCat("is already in pool \"", it->second.value(),
                       "\"; a server is in one pool at most")};
      return;
    }
  }
  for (const auto& [name, model] : setup.models) {
    std::string path = absl::StrCat("/models/", name.value(), "/routes");
    for (const ModelRoute& route : model.routes) {
      std::string problem =
          CheckPool(setup, route.prefill, PoolRole::kPrefill, name);
      if (problem.empty()) {
        problem = CheckPool(setup, route.decode, PoolRole::kDecode, name);
      }
      if (problem.empty() && setup.pools.at(route.prefill).weights !=
                                 setup.pools.at(route.decode).weights) {
        problem = "prefill and decode pool must have the same weights";
      }
      if (problem.empty()) continue;
      error = {path, problem};
      return;
    }
  }
  for (const auto& [prefix, service] : setup.services) {
    std::string problem = CheckPool(setup, service.pool, PoolRole::kPlain, {});
    if (problem.empty() && !absl::StartsWith(prefix, "/")) {
      problem = "a path prefix starts with \"/\"";
    }
    if (problem.empty()) continue;
    error = {absl::StrCat("/services/", prefix), problem};
    return;
  }
}

bool HasLiveServer(const RoutingSetup& setup, const PoolName& name,
                   const std::set<BackendName>& live) {
  const Pool& pool = setup.pools.at(name);
  return std::any_of(pool.servers.begin(), pool.servers.end(),
                     [&](const auto& it) {
                       return !it.second.drained && live.count(it.first) > 0;
                     });
}

}  // namespace

const Pool* RoutingSetup::FindPoolOf(const BackendName& server,
                                     PoolName* name) const {
  for (const auto& [pool_name, pool] : pools) {
    if (pool.servers.count(server) == 0) continue;
    if (name != nullptr) *name = pool_name;
    return &pool;
  }
  return nullptr;
}

const PlainRoute* RoutingSetup::FindService(const std::string& path,
                                            std::string* prefix) const {
  const PlainRoute* best = nullptr;
  size_t best_length = 0;
  for (const auto& [candidate, route] : services) {
    if (!absl::StartsWith(path, candidate)) continue;
    bool whole_segment =
        path.size() == candidate.size() || candidate.back() == '/' ||
        path[candidate.size()] == '/' || path[candidate.size()] == '?';
    if (!whole_segment || candidate.size() < best_length) continue;
    best = &route;
    best_length = candidate.size();
    if (prefix != nullptr) *prefix = candidate;
  }
  return best;
}

std::optional<RoutingSetup> ParseRoutingSetup(const std::string& content,
                                              SetupError& error) {
  json root = json::parse(content, nullptr, false);
  if (root.is_discarded()) {
    error = {"", "is not JSON"};
    return std::nullopt;
  }
  return ReadRoutingSetup(root, error);
}

std::optional<RoutingSetup> ReadRoutingSetup(const json& root,
                                             SetupError& error) {
  error = {};
  RoutingSetup setup;
  ObjectReader reader(root, "", error);
  reader.ReadMap("pools", [&](const std::string& key, const json& value,
                              const std::string& path) {
    setup.pools[PoolName(key)] = ReadPool(value, path, error);
  });
  reader.ReadMap("models", [&](const std::string& key, const json& value,
                               const std::string& path) {
    setup.models[ModelName(key)] = ReadModel(value, path, error);
  });
  reader.ReadMap("services", [&](const std::string& key, const json& value,
                                 const std::string& path) {
    setup.services[key] = ReadService(value, path, error);
  });
  if (const json* limits = reader.Find("limits")) {
    setup.limits = ReadLimits(*limits, error);
  }
  reader.RejectUnknown();
  if (error.problem.empty()) CheckReferences(setup, error);
  if (!error.problem.empty()) return std::nullopt;
  return setup;
}

std::optional<SetupError> FindUnservedRoute(const RoutingSetup& setup,
                                            const std::set<BackendName>& live) {
  for (const auto& [name, model] : setup.models) {
    bool served = std::any_of(
        model.routes.begin(), model.routes.end(), [&](const ModelRoute& it) {
          return it.share > 0 && HasLiveServer(setup, it.prefill, live) &&
                 HasLiveServer(setup, it.decode, live);
        });
    if (served) continue;
    return SetupError{absl::StrCat("/models/", name.value()),
                      "no route has a live prefill and a live decode server"};
  }
  for (const auto& [prefix, service] : setup.services) {
    if (HasLiveServer(setup, service.pool, live)) continue;
    return SetupError{absl::StrCat("/services/", prefix),
                      "its pool has no live server"};
  }
  return std::nullopt;
}

}  // namespace chervilwick
