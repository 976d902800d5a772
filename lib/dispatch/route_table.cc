// Route matching and service selection.

#include "chervilwick/dispatch/route_table.h"

#include <set>

#include "absl/strings/match.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kStreamLifeMargin = absl::Seconds(30);

absl::string_view PathOf(absl::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

const Route* RouteTable::Match(absl::string_view host,
                               absl::string_view target) const {
  absl::string_view name = host.substr(0, host.find(':'));
  absl::string_view path = PathOf(target);
  const Route* best = nullptr;
  for (const Route& it : routes) {
    if (!absl::EqualsIgnoreCase(it.host, name)) continue;
    if (!absl::StartsWith(path, it.prefix)) continue;
    if (best == nullptr || it.prefix.size() > best->prefix.size()) best = &it;
  }
  return best;
}

const Route* RouteTable::FindByName(const std::string& name) const {
  for (const Route& it : routes) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

const EngineTraits* RouteTable::FindEngine(const ServiceName& service) const {
  auto it = services.find(service);
  if (it == services.end() || !it->second.engine) return nullptr;
  return &*it->second.engine;
}

Authorization RouteTable::Authorize(const Credentials& credentials,
                                    bool is_public) const {
  if (!accounts) return {};
  const ClientAccount* holder = accounts->FindByKey(credentials.key);
  if (holder == nullptr) return {is_public, AccountName(), std::nullopt};
  return {true, holder->name, holder->priority};
}

bool RouteTable::ReservesPlaces(const ServiceName& service) const {
  const EngineTraits* engine = FindEngine(service);
  return accounts && engine != nullptr &&
         engine->longest_reservation > absl::ZeroDuration();
}

absl::Duration RouteTable::LongestStreamLife() const {
  absl::Duration longest;
  for (const Route& it : routes) {
    if (it.resumable) longest = std::max(longest, it.timeout);
  }
  return 2 * longest + kStreamLifeMargin;
}

std::optional<int> RouteTable::UrgentPriority() const {
  std::set<int> priorities;
  bool uses_routes = !accounts || accounts->all().empty();
  if (accounts) {
    for (const ClientAccount& it : accounts->all()) {
      if (it.priority) priorities.insert(*it.priority);
      uses_routes = uses_routes || !it.priority;
    }
  }
  for (const Route& it : routes) {
    if (it.kind == RouteKind::kStream && uses_routes) {
      priorities.insert(it.priority);
    }
  }
  if (priorities.size() < 2) return std::nullopt;
  return *priorities.begin();
}

const ServiceName& PickService(const Route& route, uint64_t draw) {
  uint64_t total = 0;
  for (const WeightedService& it : route.services) total += it.weight;
  uint64_t rest = total == 0 ? 0 : draw % total;
  for (const WeightedService& it : route.services) {
    if (rest < it.weight) return it.service;
    rest -= it.weight;
  }
  return route.services.back().service;
}

}  // namespace chervilwick
