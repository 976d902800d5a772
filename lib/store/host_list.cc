// Parsing of the platform's host list.

#include "chervilwick/store/host_list.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chervilwick {
namespace {

using nlohmann::json;

std::optional<HostRecord> ParseHost(const json& in) {
  try {
    HostRecord host;
    std::string role = in.at("role").get<std::string>();
    if (role != "entry" && role != "agent") return std::nullopt;
    host.role = role == "entry" ? NodeRole::kEntry : NodeRole::kAgent;
    host.name = NodeName(in.at("name").get<std::string>());
    host.zone = ZoneName(in.at("zone").get<std::string>());
    host.address = in.at("address").get<std::string>();
    host.backend = BackendName(in.value("backend", ""));
    host.leaving = in.value("state", "live") == "leaving";
    return host;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<std::vector<HostRecord>> ParseHostList(const std::string& text) {
  json in = json::parse(text, nullptr, false);
  if (!in.is_object() || !in.contains("hosts") || !in["hosts"].is_array()) {
    return std::nullopt;
  }
  std::vector<HostRecord> hosts;
  for (const json& it : in["hosts"]) {
    if (!it.is_object()) continue;
    std::optional<HostRecord> host = ParseHost(it);
    if (host) hosts.push_back(*std::move(host));
  }
  return hosts;
}

}  // namespace chervilwick
