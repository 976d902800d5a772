// The state of a front as a table.

#include "chervilwick/telemetry/status_table.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

std::string Cell(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end() || it->is_null()) return "-";
  if (it->is_string()) return it->get<std::string>();
  if (it->is_number_float()) return absl::StrFormat("%.2f", it->get<double>());
  return it->dump();
}

Json Part(const Json& status, const char* name) {
  auto it = status.find(name);
  return it == status.end() ? Json::array() : *it;
}

std::string BackendLine(const Json& it) {
  return absl::StrFormat("%-16s %-16s %-12s %-8s %-9s %8s %9s %9s %8s\n",
                         Cell(it, "id"), Cell(it, "service"), Cell(it, "zone"),
                         Cell(it, "stage"), Cell(it, "state"),
                         Cell(it, "requests"), Cell(it, "memory_tokens"),
                         Cell(it, "prompt_tokens"), Cell(it, "failure_rate"));
}

}  // namespace

std::string FormatFrontStatus(const Json& status) {
  std::string out = absl::StrCat(
      Cell(status, "name"), " in ", Cell(status, "zone"), ": ",
      Cell(status, "ready") == "true" ? "ready" : "NOT READY", ", version ",
      Cell(status, "version"), ", store revision ",
      Cell(status, "store_revision"), ", last answer ",
      Cell(status, "store_age_ms"), " ms ago",
      Cell(status, "store_reachable") == "true" ? "" : ", NOT REACHABLE", "\n",
      "in flight ", Cell(status, "in_flight"), ", waiting streams ",
      Cell(status, "waiting_streams"), "\n");
  for (const Json& it : Part(status, "peers")) {
    absl::StrAppend(&out, "peer ", Cell(it, "name"), ", heard ",
                    Cell(it, "silent_ms"), " ms ago\n");
  }
  Json budgets = Part(status, "repeats_left");
  for (const auto& it : budgets.items()) {
    absl::StrAppend(&out, "service ", it.key(), ": repeated sends left ",
                    Cell(budgets, it.key().c_str()), "\n");
  }
  absl::StrAppendFormat(&out, "%-16s %-16s %-12s %-8s %-9s %8s %9s %9s %8s\n",
                        "backend", "service", "zone", "stage", "state",
                        "requests", "memory", "prompt", "failures");
  for (const Json& it : Part(status, "backends")) out += BackendLine(it);
  return out;
}

}  // namespace chervilwick
