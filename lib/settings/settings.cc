// Parsing and strict validation of settings files.

#include "chervilwick/settings/settings.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace chervilwick {
namespace {

constexpr uint32_t kMaxPort = 65535;
constexpr int kMaxOctet = 255;
constexpr size_t kOctets = 4;

// Parses the text of a value and stores it; returns false when it is invalid.
using Parser = std::function<bool(const std::string& text)>;

struct KeyRule {
  SettingsKey key;
  Parser parse;
};

bool IsAddress(const std::string& text) {
  std::vector<std::string> parts = absl::StrSplit(text, ':');
  uint32_t port = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port) || port == 0 ||
      port > kMaxPort) {
    return false;
  }
  std::vector<std::string> octets = absl::StrSplit(parts[0], '.');
  if (octets.size() != kOctets) return false;
  for (const std::string& it : octets) {
    int value = 0;
    if (!absl::SimpleAtoi(it, &value) || value < 0 || value > kMaxOctet) {
      return false;
    }
  }
  return true;
}

KeyRule Name(const std::string& key, std::string& value) {
  return {{key, "a name of letters, digits, '-', '_' and '.'", true},
          [&value](const std::string& text) {
            bool valid =
                !text.empty() && text.find_first_not_of(
                                     "abcdefghijklmnopqrstuvwxyz"
                                     "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                     "0123456789-_.") == std::string::npos;
            if (valid) value = text;
            return valid;
          }};
}

KeyRule Address(const std::string& key, std::string& value) {
  return {{key, "an IP address with a port, such as 10.0.0.7:7000", true},
          [&value](const std::string& text) {
            if (!IsAddress(text)) return false;
            value = text;
            return true;
          }};
}

KeyRule Count(const std::string& key, uint32_t low, uint32_t high,
              uint32_t& value) {
  return {
      {key, absl::StrCat("a whole number from ", low, " to ", high), false},
      [low, high, &value](const std::string& text) {
        uint32_t parsed = 0;
        if (!absl::SimpleAtoi(text, &parsed) || parsed < low || parsed > high) {
          return false;
        }
        value = parsed;
        return true;
      }};
}

KeyRule DurationOf(const std::string& key, absl::Duration low,
                   absl::Duration high, absl::Duration& value) {
  return {{key,
           absl::StrCat("a duration with its unit, from ",
                        absl::FormatDuration(low), " to ",
                        absl::FormatDuration(high)),
           false},
          [low, high, &value](const std::string& text) {
            absl::Duration parsed;
            // ParseDuration accepts a zero without a unit; every `low` is above
            // zero and excludes it.
            if (!absl::ParseDuration(text, &parsed) || parsed < low ||
                parsed > high) {
              return false;
            }
            value = parsed;
            return true;
          }};
}

bool ParseBytes(const std::string& text, uint64_t& value) {
  struct Unit {
    const char* name;
    uint64_t bytes;
  };
  static constexpr Unit units[] = {{"KiB", uint64_t{1} << 10},
                                   {"MiB", uint64_t{1} << 20}};
  for (const Unit& it : units) {
    if (!absl::EndsWith(text, it.name)) continue;
    uint64_t n = 0;
    if (!absl::SimpleAtoi(text.substr(0, text.size() - 3), &n)) return false;
    value = n * it.bytes;
    return true;
  }
  return false;
}

KeyRule Bytes(const std::string& key, uint64_t low, uint64_t high,
              uint64_t& value) {
  return {{key,
           absl::StrCat("a size in KiB or MiB, from ", low >> 10, "KiB to ",
                        high >> 20, "MiB"),
           false},
          [low, high, &value](const std::string& text) {
            uint64_t parsed = 0;
            if (!ParseBytes(text, parsed) || parsed < low || parsed > high) {
              return false;
            }
            value = parsed;
            return true;
          }};
}

KeyRule Real(const std::string& key, double low, double high, double& value) {
  return {{key, absl::StrCat("a number from ", low, " to ", high), false},
          [low, high, &value](const std::string& text) {
            double parsed = 0;
            if (!absl::SimpleAtod(text, &parsed) || !(parsed >= low) ||
                !(parsed <= high)) {
              return false;
            }
            value = parsed;
            return true;
          }};
}

KeyRule Addresses(const std::string& key, std::string& value) {
  return {{key, "IP addresses with ports, parted by commas", false},
          [&value](const std::string& text) {
            for (absl::string_view it :
                 absl::StrSplit(text, ',', absl::SkipWhitespace())) {
              if (!IsAddress(absl::StrCat(it))) return false;
            }
            value = text;
            return true;
          }};
}

KeyRule Flag(const std::string& key, bool& value) {
  return {{key, "true or false", false}, [&value](const std::string& text) {
            if (text != "true" && text != "false") return false;
            value = text == "true";
            return true;
          }};
}

KeyRule Kind(const std::string& key, EngineKind& value) {
  return {{key, "vllm or plain", true}, [&value](const std::string& text) {
            if (text != "vllm" && text != "plain") return false;
            value = text == "vllm" ? EngineKind::kVllm : EngineKind::kPlain;
            return true;
          }};
}

std::vector<KeyRule> FrontRules(FrontSettings& settings) {
  return {
      Name("name", settings.name),
      Name("zone", settings.zone),
      Address("clients", settings.clients),
      Address("ready", settings.ready),
      Address("control", settings.control),
      Address("metrics", settings.metrics),
      Address("peers", settings.peers),
      Address("store", settings.store),
      Addresses("seeds", settings.seeds),
      DurationOf("shutdown_limit", absl::Seconds(1), absl::Hours(1),
                 settings.shutdown_limit),
      DurationOf("contact_limit", absl::Milliseconds(500), absl::Minutes(1),
                 settings.contact_limit),
      DurationOf("drain_limit", absl::Milliseconds(500), absl::Minutes(1),
                 settings.drain_limit),
      Real("retry_ratio", 0, 10, settings.retry_ratio),
      Real("retry_slack", 0, 1e6, settings.retry_slack),
      DurationOf("retry_window", absl::Seconds(1), absl::Minutes(10),
                 settings.retry_window),
      DurationOf("account_window", absl::Seconds(1), absl::Minutes(10),
                 settings.account_window),
      Real("account_excess", 0, 10, settings.account_excess),
      Real("account_slack", 0, 1e12, settings.account_slack),
      Real("stall_patience", 1, 100, settings.stall_patience),
      Bytes("memory_limit", uint64_t{32} << 20, uint64_t{64} << 30,
            settings.memory_limit),
      Count("descriptor_limit", 256, 1000000, settings.descriptor_limit),
  };
}

std::vector<KeyRule> EntryRules(EntrySettings& settings) {
  return {
      Name("name", settings.name),
      Name("zone", settings.zone),
      Address("listen", settings.listen),
      Address("http", settings.http),
      Address("store", settings.store),
      Address("host_list", settings.host_list),
      DurationOf("host_list_interval", absl::Milliseconds(100),
                 absl::Minutes(1), settings.host_list_interval),
      DurationOf("shutdown_limit", absl::Seconds(1), absl::Hours(1),
                 settings.shutdown_limit),
      Count("max_connections", 8, 20000, settings.max_connections),
      Bytes("max_body", uint64_t{1} << 10, uint64_t{64} << 20,
            settings.max_body_bytes),
      Count("subset_size", 1, 1024, settings.subset_size),
  };
}

std::vector<KeyRule> AgentRules(AgentSettings& settings) {
  return {
      Name("name", settings.name),
      Name("zone", settings.zone),
      Address("listen", settings.listen),
      Address("http", settings.http),
      Address("host_list", settings.host_list),
      DurationOf("shutdown_limit", absl::Seconds(1), absl::Hours(1),
                 settings.shutdown_limit),
      Name("backend_name", settings.backend_name),
      Address("backend_address", settings.backend_address),
      Kind("backend_kind", settings.backend_kind),
      Flag("checks_fencing", settings.checks_fencing),
      Count("places", 1, 4096, settings.places),
      Count("prefill_places", 1, 64, settings.prefill_places),
      Count("memory_pieces", 1, 1000000, settings.memory_pieces),
  };
}

bool ApplyRules(const YAML::Node& root, const std::string& file,
                const std::vector<KeyRule>& rules, SettingsError& error) {
  if (!root.IsMap()) {
    error.text = file + ": must be a map of settings";
    return false;
  }
  std::set<std::string> seen;
  for (const auto& it : root) {
    std::string key = it.first.Scalar();
    std::string where =
        absl::StrCat(file, ":", it.first.Mark().line + 1, ": ", key, ": ");
    const KeyRule* rule = nullptr;
    std::string allowed_keys;
    for (const KeyRule& candidate : rules) {
      if (candidate.key.key == key) rule = &candidate;
      absl::StrAppend(&allowed_keys, allowed_keys.empty() ? "" : ", ",
                      candidate.key.key);
    }
    if (rule == nullptr) {
      error.text =
          absl::StrCat(where, "unknown key; allowed are ", allowed_keys);
      return false;
    }
    if (!seen.insert(key).second) {
      error.text = where + "is set twice";
      return false;
    }
    if (!it.second.IsScalar() || !rule->parse(it.second.Scalar())) {
      error.text = where + "must be " + rule->key.allowed;
      return false;
    }
  }
  for (const KeyRule& it : rules) {
    if (!it.key.required || seen.count(it.key.key) > 0) continue;
    error.text = absl::StrCat(file, ": ", it.key.key, ": is missing; must be ",
                              it.key.allowed);
    return false;
  }
  return true;
}

bool ReadFile(const std::string& file, const std::vector<KeyRule>& rules,
              SettingsError& error) {
  try {
    return ApplyRules(YAML::LoadFile(file), file, rules, error);
  } catch (const YAML::BadFile&) {
    error.text = file + ": can't be read";
  } catch (const YAML::Exception& ec) {
    error.text = absl::StrCat(file, ":", ec.mark.line + 1, ": ", ec.msg);
  }
  return false;
}

std::vector<SettingsKey> KeysOf(const std::vector<KeyRule>& rules) {
  std::vector<SettingsKey> keys;
  keys.reserve(rules.size());
  for (const KeyRule& it : rules) keys.push_back(it.key);
  return keys;
}

}  // namespace

std::optional<FrontSettings> LoadFrontSettings(const std::string& file,
                                               SettingsError& error) {
  FrontSettings settings;
  if (!ReadFile(file, FrontRules(settings), error)) return std::nullopt;
  return settings;
}

std::optional<EntrySettings> LoadEntrySettings(const std::string& file,
                                               SettingsError& error) {
  EntrySettings settings;
  if (!ReadFile(file, EntryRules(settings), error)) return std::nullopt;
  return settings;
}

std::optional<AgentSettings> LoadAgentSettings(const std::string& file,
                                               SettingsError& error) {
  AgentSettings settings;
  if (!ReadFile(file, AgentRules(settings), error)) return std::nullopt;
  return settings;
}

std::vector<SettingsKey> FrontSettingsKeys() {
  FrontSettings settings;
  return KeysOf(FrontRules(settings));
}

std::vector<SettingsKey> EntrySettingsKeys() {
  EntrySettings settings;
  return KeysOf(EntryRules(settings));
}

std::vector<SettingsKey> AgentSettingsKeys() {
  AgentSettings settings;
  return KeysOf(AgentRules(settings));
}

}  // namespace chervilwick
