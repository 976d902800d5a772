// Routes, services and client limits of one configuration version.

#ifndef CHERVILWICK_DISPATCH_ROUTE_TABLE_H_
#define CHERVILWICK_DISPATCH_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/client_accounts.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/support/strong_type.h"

namespace chervilwick {

// Name of a group of backend servers that serve the same calls.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;

enum class RouteKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs at most once
  kStream,  // stream of a model engine; runs at most once unless resumable
};

struct WeightedService {
  ServiceName service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  absl::Duration timeout = absl::Seconds(10);
  // Target time to the answer, or to the first event of a stream.
  absl::Duration objective = absl::Seconds(1);
  // Target time between two events of a stream.
  absl::Duration pause_objective = absl::Seconds(1);
  int priority = 0;  // 0 is the most urgent
  // Number of backend servers that one request may run on.
  uint32_t attempts = 1;
  bool resumable = false;
  bool is_public = false;  // needs no credentials
  // Empty if what the version says of them, or of the kind, can't be used: the
  // route's requests are refused, rather than matched by a shorter prefix.
  std::vector<WeightedService> services;

  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

// Properties common to all model engines of a service.
struct EngineTraits {
  uint32_t slots = 1;
  uint64_t memory_tokens = 0;
  absl::Duration handle_lifetime = absl::Milliseconds(500);
  // Duration of a stage change.
  absl::Duration stage_change_time = absl::Seconds(6);
  // Longest reservation of a place; zero if the engines offer none.
  absl::Duration longest_reservation = absl::ZeroDuration();
};

struct ServiceTraits {
  std::optional<EngineTraits> engine;  // set if its servers are model engines
};

struct ClientLimits {
  size_t max_head_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{4} << 20;
  absl::Duration head_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

// A part of a stored version that can't be used.
struct ConfigDefect {
  std::string path;  // JSON pointer
  std::string reason;
};

struct RouteTable {
  VersionNumber version;  // 0 if it can't be read
  std::vector<Route> routes;
  // Whether there are routes whose host or prefix can't be read.
  bool has_unknown_routes = false;
  std::map<ServiceName, ServiceTraits> services;
  ClientLimits limits;
  // If set, requests on routes that are not public need an account's key.
  std::optional<AccountTable> accounts;
  // What is left out above, and how much more of it there is than is listed.
  static constexpr size_t kMaxListedDefects = 100;
  std::vector<ConfigDefect> defects;
  uint64_t unlisted_defects = 0;

  // Returns the route of that host (case and port ignored) with the longest
  // prefix of the target's path; null if there is none.
  const Route* Match(absl::string_view host, absl::string_view target) const;
  const Route* FindByName(const std::string& name) const;
  const EngineTraits* FindEngine(const ServiceName& service) const;
  // `is_public`: whether the request needs no credentials.
  Authorization Authorize(const Credentials& credentials, bool is_public) const;
  // Whether streams reserve their place at a decode engine before the prompt is
  // read: client accounts compete for the engines, which offer reservations.
  bool ReservesPlaces(const ServiceName& service) const;
  // How long after its first event a client may come back for a stream: as long
  // as the longest of all resumable routes may take twice, and a margin.
  absl::Duration LongestStreamLife() const;
  // Whether client accounts compete for the engines.
  bool HasCompetition() const { return accounts.has_value(); }
  // Most urgent priority that streams of accounts may have; nullopt if all have
  // the same.
  std::optional<int> UrgentPriority() const;
};

// Picks a service by weight; `draw` is a uniformly distributed random number.
const ServiceName& PickService(const Route& route, uint64_t draw);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_ROUTE_TABLE_H_
