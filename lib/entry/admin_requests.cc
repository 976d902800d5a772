// Administrative HTTP API.

#include "chervilwick/entry/admin_requests.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "chervilwick/entry/entry_daemon.h"
#include "chervilwick/support/random_seed.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";
// A verdict takes at most a few calls to the key-value store.
constexpr absl::Duration kVerdictTimeout = absl::Seconds(12);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

const char* OutcomeName(VersionOutcome outcome) {
  switch (outcome) {
    case VersionOutcome::kAccepted:
      return "accepted";
    case VersionOutcome::kNotAccepted:
      return "not_accepted";
    case VersionOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int HttpStatusOf(const VersionResult& verdict) {
  if (verdict.outcome == VersionOutcome::kAccepted) return kOk;
  if (verdict.outcome == VersionOutcome::kUnknown) return kGatewayTimeout;
  if (verdict.code == "stale_base") return kConflict;
  if (verdict.code == "invalid" || verdict.code == "dead_route") {
    return kUnprocessable;
  }
  if (verdict.code == "no_such_version") return kNotFound;
  return kUnavailable;
}

json VerdictToJson(const VersionResult& verdict) {
  json out = {{"outcome", OutcomeName(verdict.outcome)},
              {"code", verdict.code},
              {"number", verdict.number.value()},
              {"message", verdict.message},
              {"conflicts", verdict.conflicts}};
  if (!verdict.content.empty()) {
    out["content"] = json::parse(verdict.content, nullptr, false);
  }
  return out;
}

// Reads the fields that patch and retreat requests share. Returns an error
// message, or an empty string on success.
std::string ReadCommonFields(const json& in, VersionRequest& request) {
  try {
    request.base = VersionNumber(in.at("base").get<uint64_t>());
    request.author = in.at("author").get<std::string>();
    request.reason = in.at("reason").get<std::string>();
    request.force = in.value("force", false);
    std::string patch_id = in.value("patch_id", "");
    if (patch_id.empty()) patch_id = absl::StrFormat("%016x", DrawNonZero());
    request.patch_id = PatchId(patch_id);
  } catch (const json::exception&) {
    return "needs base (a version number), author and reason (strings)";
  }
  bool complete = !request.author.empty() && !request.reason.empty();
  return complete ? "" : "author and reason must not be empty";
}

json HealthToJson(const std::map<PoolName, PoolHealth>& health) {
  json out = json::object();
  for (const auto& [pool, it] : health) {
    out[pool.value()] = {
        {"ok", it.ok}, {"failed", it.failed}, {"late", it.late}};
  }
  return out;
}

}  // namespace

AdminRequests::AdminRequests(EntryDaemon& daemon, EventHttpServer& server)
    : daemon_(daemon), server_(server) {}

void AdminRequests::OnRequest(ExchangeId exchange, const HttpTarget& target,
                              const HttpRequest& request) {
  bool get = request.head.method == "GET";
  bool post = request.head.method == "POST";
  if (post && target.path == "/admin/config/patch") {
    OnPatch(exchange, request.body);
  } else if (post && target.path == "/admin/config/retreat") {
    OnRetreat(exchange, request.body);
  } else if (post && target.path == "/admin/config/mark") {
    OnMark(exchange, request.body);
  } else if (get && target.path == "/admin/config") {
    OnShow(exchange, target.Param("number"));
  } else if (get && target.path == "/admin/config/history") {
    OnHistory(exchange);
  } else if (get && target.path == "/admin/status") {
    OnStatus(exchange);
  } else if (get && target.path == "/admin/traces") {
    Respond(exchange, kOk, daemon_.spans().ExportJson(target.Param("id")));
  } else {
    Respond(exchange, kNotFound,
            json({{"code", "no_such_resource"},
                  {"message", "no such resource under /admin"}})
                .dump());
  }
}

void AdminRequests::Respond(ExchangeId exchange, int status,
                            const std::string& body) {
  server_.Respond(exchange, {status, {{"Content-Type", kJson}}, body});
}

void AdminRequests::RespondBadRequest(ExchangeId exchange,
                                      const std::string& message) {
  json out = {{"outcome", "not_accepted"},
              {"code", "bad_request"},
              {"message", message}};
  Respond(exchange, kBadRequest, out.dump());
}

void AdminRequests::SubmitVersionRequest(ExchangeId exchange,
                                         VersionRequest request) {
  request.id = next_id_++;
  uint64_t id = request.id;
  pending_[id] = {exchange, request.patch_id, absl::Now() + kVerdictTimeout};
  // If the core's queue is full, the next tick answers as after a time-out.
  if (!daemon_.Post(OperatorRequestReceived{std::move(request)})) {
    pending_[id].deadline = absl::InfinitePast();
  }
}

void AdminRequests::OnVerdict(const VersionResult& verdict) {
  auto it = pending_.find(verdict.id);
  if (it == pending_.end()) return;
  RespondVerdict(it->second, verdict);
  pending_.erase(it);
}

void AdminRequests::OnTick(absl::Time now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    VersionResult verdict;
    verdict.outcome = VersionOutcome::kUnknown;
    verdict.code = "entry_busy";
    verdict.message = absl::StrCat(
        "outcome unknown: no verdict within the time limit; submit the request "
        "again with the same patch id ",
        it->second.patch_id.value());
    RespondVerdict(it->second, verdict);
    it = pending_.erase(it);
  }
}

void AdminRequests::RespondVerdict(const PendingRequest& pending,
                                   const VersionResult& verdict) {
  json out = VerdictToJson(verdict);
  out["patch_id"] = pending.patch_id.value();
  Respond(pending.exchange, HttpStatusOf(verdict), out.dump());
}

void AdminRequests::OnPatch(ExchangeId exchange, const std::string& body) {
  json in = json::parse(body, nullptr, false);
  VersionRequest request;
  request.kind = VersionRequestKind::kPatch;
  std::string problem = in.is_object() ? ReadCommonFields(in, request)
                                       : "the body is not a JSON object";
  bool has_patch =
      in.is_object() && in.contains("patch") && in["patch"].is_object();
  if (problem.empty() && !has_patch) problem = "patch must be a JSON object";
  if (!problem.empty()) {
    RespondBadRequest(exchange, problem);
    return;
  }
  request.patch = in["patch"].dump();
  SubmitVersionRequest(exchange, std::move(request));
}

void AdminRequests::OnRetreat(ExchangeId exchange, const std::string& body) {
  json in = json::parse(body, nullptr, false);
  VersionRequest request;
  request.kind = VersionRequestKind::kRetreat;
  std::string problem = in.is_object() ? ReadCommonFields(in, request)
                                       : "the body is not a JSON object";
  if (problem.empty() && in.contains("to") && in["to"].is_number_unsigned()) {
    request.target = VersionNumber(in["to"].get<uint64_t>());
  } else if (problem.empty() && in.contains("to") && in["to"].is_string()) {
    request.target_name = in["to"].get<std::string>();
  } else if (problem.empty()) {
    problem = "to must be a version number or the name of a known-good version";
  }
  if (!problem.empty()) {
    RespondBadRequest(exchange, problem);
    return;
  }
  SubmitVersionRequest(exchange, std::move(request));
}

void AdminRequests::OnMark(ExchangeId exchange, const std::string& body) {
  json in = json::parse(body, nullptr, false);
  bool valid = in.is_object() && in.contains("number") &&
               in["number"].is_number_unsigned() && in.contains("name") &&
               in["name"].is_string();
  if (!valid) {
    RespondBadRequest(exchange,
                      "needs number (a version number) and name (a string)");
    return;
  }
  VersionRequest request;
  request.kind = VersionRequestKind::kMarkGood;
  request.target = VersionNumber(in["number"].get<uint64_t>());
  request.patch_id = PatchId(in["name"].get<std::string>());
  SubmitVersionRequest(exchange, std::move(request));
}

void AdminRequests::OnShow(ExchangeId exchange, const std::string& version) {
  if (version.empty()) {
    uint64_t number = 0;
    std::string content = daemon_.ReadConfigContent(number);
    json out = {{"number", number},
                {"content", json::parse(content, nullptr, false)}};
    Respond(exchange, kOk, out.dump());
    return;
  }
  VersionRequest request;
  request.kind = VersionRequestKind::kShow;
  uint64_t number = 0;
  if (absl::SimpleAtoi(version, &number)) {
    request.target = VersionNumber(number);
  } else {
    request.target_name = version;
  }
  SubmitVersionRequest(exchange, std::move(request));
}

void AdminRequests::OnHistory(ExchangeId exchange) {
  json out = json::array();
  for (const VersionRecord& it : daemon_.ReadStatus().history) {
    out.push_back({{"number", it.number.value()},
                   {"patch_id", it.patch_id.value()},
                   {"author", it.author},
                   {"reason", it.reason},
                   {"accepted_unix_ms", it.accepted_unix_ms},
                   {"patch", json::parse(it.patch, nullptr, false)}});
  }
  for (json& it : out) {
    if (it["patch"].is_discarded()) it["patch"] = nullptr;
  }
  Respond(exchange, kOk, out.dump());
}

void AdminRequests::OnStatus(ExchangeId exchange) {
  EntryDaemon::Status status = daemon_.ReadStatus();
  json peers = json::array();
  for (const EntryDaemon::PeerStatus& it : status.peers) {
    bool entry = it.view.role == NodeRole::kEntry;
    peers.push_back({{"name", it.name},
                     {"role", entry ? "entry" : "agent"},
                     {"zone", it.view.zone.value()},
                     {"address", it.view.address},
                     {"version", it.view.version.value()},
                     {"heard_ms_ago", absl::ToInt64Milliseconds(
                                          absl::Now() - it.view.last_heard)},
                     {"backend", it.backend},
                     {"liveness", it.liveness}});
  }
  json out = {{"name", status.name},
              {"version", status.version},
              {"ready", status.not_ready_reason.empty()},
              {"not_ready_reason", status.not_ready_reason},
              {"store_reachable", status.store_reachable},
              {"store_reader", status.store_reader},
              {"active_streams", status.active_streams},
              {"waiting_streams", status.waiting_streams},
              {"active_calls", status.active_calls},
              {"pools", HealthToJson(status.health)},
              {"peers", std::move(peers)}};
  Respond(exchange, kOk, out.dump());
}

}  // namespace chervilwick
