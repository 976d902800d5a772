// Commands of the operators' tool.

#include "commands.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "chervilwick/config/merge_patch.h"
#include "chervilwick/support/random_seed.h"
#include "chervilwick/telemetry/status_table.h"

namespace chervilwick {
namespace {

using nlohmann::json;

int Unreachable(AdminClient& client) {
  std::fprintf(stderr, "no entry answered; last: %s\n",
               client.last_error().c_str());
  return kExitUnreachable;
}

void PrintJson(const json& value) {
  std::printf("%s\n", value.dump(2).c_str());
}

json ChangeBody(const ChangeOptions& options) {
  return {{"base", options.base},
          {"author", options.author},
          {"reason", options.reason},
          {"patch_id", options.patch_id},
          {"force", options.force}};
}

json TargetOf(const std::string& to) {
  bool is_number =
      !to.empty() && to.find_first_not_of("0123456789") == std::string::npos;
  if (is_number) return json(std::strtoull(to.c_str(), nullptr, 10));
  return json(to);
}

}  // namespace

std::optional<uint64_t> CurrentNumber(AdminClient& client) {
  std::optional<AdminAnswer> answer = client.Get("/admin/config");
  if (!answer || !answer->body.contains("number")) return std::nullopt;
  return answer->body["number"].get<uint64_t>();
}

std::optional<json> FetchContent(AdminClient& client,
                                 const std::string& number) {
  std::string path = number.empty()
                         ? "/admin/config"
                         : absl::StrCat("/admin/config?number=", number);
  std::optional<AdminAnswer> answer = client.Get(path);
  if (!answer || !answer->body.contains("content")) return std::nullopt;
  return answer->body["content"];
}

bool Complete(AdminClient& client, ChangeOptions& options) {
  if (options.patch_id.empty()) {
    options.patch_id = absl::StrFormat("%016x", DrawNonZero());
  }
  if (options.author.empty()) {
    const char* user = std::getenv("USER");
    options.author = user == nullptr ? "operator" : user;
  }
  if (options.has_base) return true;
  std::optional<uint64_t> current = CurrentNumber(client);
  if (!current) return false;
  options.base = *current;
  options.has_base = true;
  return true;
}

int Report(AdminClient& client, const std::optional<AdminAnswer>& answer) {
  if (!answer) {
    // The submission may have reached an entry that did not answer.
    Unreachable(client);
    std::fprintf(stderr,
                 "if it was a submission, its outcome is unknown: "
                 "submit again with the same --base and --patch_id\n");
    return kExitUnreachable;
  }
  std::string outcome = answer->body.value("outcome", "unknown");
  std::printf("%s\n", answer->body.value("message", outcome).c_str());
  if (outcome == "accepted") return kExitOk;
  if (outcome == "unknown") {
    std::printf(
        "resolve: chervilwick-ctl config resolve with the same file, "
        "--base and --patch_id=%s\n",
        answer->body.value("patch_id", "").c_str());
    return kExitUnknown;
  }
  return kExitNotAccepted;
}

int ShowStatus(AdminClient& client) {
  std::set<std::string> shown;
  bool any = false;
  uint64_t newest = 0;
  std::vector<json> entries;
  for (const std::string& it : client.entries()) {
    std::optional<AdminAnswer> answer = client.GetFrom(it, "/admin/status");
    if (!answer) {
      std::printf("%-22s no answer: %s\n", it.c_str(),
                  client.last_error().c_str());
      continue;
    }
    any = true;
    entries.push_back(answer->body);
    newest = std::max(newest, answer->body.value("version", uint64_t{0}));
  }
  if (!any) return kExitUnreachable;
  std::printf("newest version seen: %llu\n",
              static_cast<unsigned long long>(newest));  // NOLINT
  for (const json& entry : entries) {
    uint64_t version = entry.value("version", uint64_t{0});
    std::string reason = entry.value("not_ready_reason", "");
    std::printf("%-22s entry  version %llu%s%s%s\n",
                entry.value("name", "").c_str(),
                static_cast<unsigned long long>(version),  // NOLINT
                version < newest ? " LAGS" : "",
                reason.empty() ? "" : " not ready: ", reason.c_str());
    shown.insert(entry.value("name", ""));
  }
  for (const json& entry : entries) {
    for (const json& peer : entry.value("peers", json::array())) {
      if (!shown.insert(peer.value("name", "")).second) continue;
      uint64_t version = peer.value("version", uint64_t{0});
      std::printf(
          "%-22s %-6s version %llu%s %s %s\n", peer.value("name", "").c_str(),
          peer.value("role", "").c_str(),
          static_cast<unsigned long long>(version),  // NOLINT
          version < newest ? " LAGS" : "", peer.value("backend", "").c_str(),
          peer.value("liveness", "").c_str());
    }
  }
  return kExitOk;
}

int ShowFront(AdminClient& client, const std::string& address, bool as_json) {
  std::optional<AdminAnswer> answer = client.GetFrom(address, "/status");
  if (!answer || answer->http_status != 200) {
    std::fprintf(stderr, "%s: no answer from a front there (%s)\n",
                 address.c_str(), client.last_error().c_str());
    return kExitUnreachable;
  }
  std::string text =
      as_json ? answer->body.dump(2) + "\n" : FormatFrontStatus(answer->body);
  std::printf("%s", text.c_str());
  return kExitOk;
}

int ShowConfig(AdminClient& client, const std::string& number) {
  std::optional<json> content = FetchContent(client, number);
  if (!content) return Unreachable(client);
  PrintJson(*content);
  return kExitOk;
}

int ShowDiff(AdminClient& client, const std::string& from,
             const std::string& to) {
  std::optional<json> a = FetchContent(client, from);
  std::optional<json> b = FetchContent(client, to);
  if (!a || !b) return Unreachable(client);
  PrintJson(json::parse(MakeMergePatch(a->dump(), b->dump())));
  return kExitOk;
}

int ShowHistory(AdminClient& client) {
  std::optional<AdminAnswer> answer = client.Get("/admin/config/history");
  if (!answer || !answer->body.is_array()) return Unreachable(client);
  for (const json& it : answer->body) {
    absl::Time at = absl::FromUnixMillis(it.value("accepted_unix_ms", 0LL));
    std::printf(
        "%6llu  %s  %-12s %s\n",
        static_cast<unsigned long long>(  // NOLINT
            it.value("number", 0ULL)),
        absl::FormatTime("%Y-%m-%d %H:%M:%S", at, absl::UTCTimeZone()).c_str(),
        it.value("author", "").c_str(), it.value("reason", "").c_str());
  }
  return kExitOk;
}

int SubmitPatchText(AdminClient& client, const std::string& patch,
                    const ChangeOptions& options) {
  ChangeOptions change = options;
  if (!Complete(client, change)) return Unreachable(client);
  json body = ChangeBody(change);
  body["patch"] = json::parse(patch, nullptr, false);
  if (!body["patch"].is_object()) {
    std::fprintf(stderr, "the patch is not a JSON object\n");
    return kExitUsage;
  }
  return Report(client, client.Post("/admin/config/patch", body));
}

int SubmitPatch(AdminClient& client, const std::string& file,
                const ChangeOptions& options) {
  std::ifstream in(file);
  if (!in) {
    std::fprintf(stderr, "%s: can't be read\n", file.c_str());
    return kExitUsage;
  }
  std::stringstream text;
  text << in.rdbuf();
  return SubmitPatchText(client, text.str(), options);
}

int Retreat(AdminClient& client, const std::string& to,
            const ChangeOptions& options) {
  ChangeOptions change = options;
  if (!Complete(client, change)) return Unreachable(client);
  json body = ChangeBody(change);
  body["to"] = TargetOf(to);
  return Report(client, client.Post("/admin/config/retreat", body));
}

int MarkGood(AdminClient& client, const std::string& number,
             const std::string& name) {
  json body = {{"number", TargetOf(number)}, {"name", name}};
  return Report(client, client.Post("/admin/config/mark", body));
}

int Drain(AdminClient& client, const std::string& server, bool drained,
          const ChangeOptions& options) {
  std::optional<json> content = FetchContent(client, "");
  if (!content) return Unreachable(client);
  const json pools = content->value("pools", json::object());
  for (const auto& [name, pool] : pools.items()) {
    if (!pool.value("servers", json::object()).contains(server)) continue;
    json patch;
    patch["pools"][name]["servers"][server]["drained"] =
        drained ? json(true) : json(nullptr);
    return SubmitPatchText(client, patch.dump(), options);
  }
  std::fprintf(stderr, "no pool has a server named \"%s\"\n", server.c_str());
  return kExitUsage;
}

}  // namespace chervilwick
