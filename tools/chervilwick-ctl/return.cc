// Return to a version in steps, each behind a health gate.

#include <cstdio>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "chervilwick/config/merge_patch.h"
#include "commands.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr int kWhole = 100;
constexpr char kReturnRoute[] = "return-";

// Requests to pools so far, summed over entries.
struct PoolCounts {
  uint64_t ok = 0;
  uint64_t failed = 0;
  uint64_t late = 0;
};

PoolCounts ReadCounts(AdminClient& client, const std::set<std::string>& pools) {
  PoolCounts counts;
  for (const std::string& entry : client.entries()) {
    std::optional<AdminAnswer> answer = client.GetFrom(entry, "/admin/status");
    if (!answer) continue;
    const json health = answer->body.value("pools", json::object());
    for (const std::string& pool : pools) {
      const json it = health.value(pool, json::object());
      counts.ok += it.value("ok", uint64_t{0});
      counts.failed += it.value("failed", uint64_t{0});
      counts.late += it.value("late", uint64_t{0});
    }
  }
  return counts;
}

// Pools that serve models in the target and not in the current content.
std::set<std::string> NewPools(const json& current, const json& target) {
  std::set<std::string> pools;
  const json target_models = target.value("models", json::object());
  const json current_models = current.value("models", json::object());
  for (const auto& [name, model] : target_models.items()) {
    const json routes = model.value("routes", json::object());
    for (const auto& [route, it] : routes.items()) {
      pools.insert(it.value("decode", ""));
    }
  }
  for (const auto& [name, model] : current_models.items()) {
    const json routes = model.value("routes", json::object());
    for (const auto& [route, it] : routes.items()) {
      pools.erase(it.value("decode", ""));
    }
  }
  return pools;
}

// Content in which the target's routes have `percent` of the traffic and the
// current ones the rest. Pools and all else are those of both.
json Blend(const json& current, const json& target, uint32_t percent) {
  json blend = current;
  blend["pools"].merge_patch(target.value("pools", json::object()));
  const json models = target.value("models", json::object());
  for (const auto& [name, model] : models.items()) {
    const json old_routes = current.value("models", json::object())
                                .value(name, json::object())
                                .value("routes", json::object());
    const json new_routes = model.value("routes", json::object());
    if (old_routes == new_routes || old_routes.empty()) {
      blend["models"][name] = model;
      continue;
    }
    json routes = json::object();
    for (const auto& [route, it] : old_routes.items()) {
      routes[route] = it;
      routes[route]["share"] = it.value("share", 0U) * (kWhole - percent);
    }
    for (const auto& [route, it] : new_routes.items()) {
      std::string key = absl::StrCat(kReturnRoute, route);
      routes[key] = it;
      routes[key]["share"] = it.value("share", 0U) * percent;
    }
    blend["models"][name]["routes"] = routes;
  }
  return blend;
}

// Says why the gate stops the return, or nothing.
std::string JudgeStep(const PoolCounts& before, const PoolCounts& after,
                      const ReturnOptions& options) {
  uint64_t failed = after.failed - before.failed;
  uint64_t late = after.late - before.late;
  uint64_t total = after.ok - before.ok + failed;
  if (total < options.min_requests) {
    return absl::StrCat("only ", total,
                        " requests were served by the new "
                        "pools; at least ",
                        options.min_requests, " are needed to judge them");
  }
  double failed_share = static_cast<double>(failed) /
                        static_cast<double>(std::max<uint64_t>(total, 1));
  double late_share = static_cast<double>(late) /
                      static_cast<double>(std::max<uint64_t>(total, 1));
  if (failed_share > options.max_failed_share) {
    return absl::StrCat(failed, " of ", total, " requests failed");
  }
  if (late_share > options.max_late_share) {
    return absl::StrCat(late, " of ", total,
                        " first tokens came after their target");
  }
  return "";
}

// Submits the change to `content`, as a patch on the present version.
int SubmitContent(AdminClient& client, const json& content,
                  const ChangeOptions& change, const std::string& what) {
  std::optional<uint64_t> number = CurrentNumber(client);
  std::optional<json> current = FetchContent(client, "");
  if (!number || !current) return kExitUnreachable;
  ChangeOptions step = change;
  step.base = *number;
  step.has_base = true;
  step.patch_id.clear();
  step.reason = absl::StrCat(change.reason, " (", what, ")");
  std::string patch = MakeMergePatch(current->dump(), content.dump());
  std::printf("%s: ", what.c_str());
  return SubmitPatchText(client, patch, step);
}

}  // namespace

int Return(AdminClient& client, const std::string& to,
           const ChangeOptions& change, const ReturnOptions& options) {
  std::optional<json> current = FetchContent(client, "");
  std::optional<json> target = FetchContent(client, to);
  if (!current || !target || !target->is_object()) {
    std::fprintf(stderr, "version %s can't be read\n", to.c_str());
    return kExitUnreachable;
  }
  std::set<std::string> pools = NewPools(*current, *target);
  for (uint32_t percent : options.steps) {
    bool last = percent >= kWhole;
    json content = last ? *target : Blend(*current, *target, percent);
    PoolCounts before = ReadCounts(client, pools);
    int status = SubmitContent(client, content, change,
                               absl::StrCat("step ", percent, "%"));
    if (status != kExitOk) return status;
    if (last) break;
    absl::SleepFor(options.interval);
    std::string problem = JudgeStep(before, ReadCounts(client, pools), options);
    if (problem.empty() || pools.empty()) continue;
    std::printf(
        "stopped at %u%%: %s; traffic stays as it is: retreat, or "
        "return again once it is mended\n",
        percent, problem.c_str());
    return kExitGateStopped;
  }
  std::printf("returned to the content of version %s\n", to.c_str());
  return kExitOk;
}

}  // namespace chervilwick
