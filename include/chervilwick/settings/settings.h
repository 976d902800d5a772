// YAML settings files of the daemons, with strict validation.

#ifndef CHERVILWICK_SETTINGS_SETTINGS_H_
#define CHERVILWICK_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

// Why a settings file was rejected: one line with the file and, where known,
// the line, the key and the allowed values.
struct SettingsError {
  std::string text;
};

struct EntrySettings {
  std::string name;
  std::string zone;
  std::string listen;     // ip:port, internal protocol
  std::string http;       // ip:port, requests of clients and operators
  std::string store;      // ip:port of the key-value service
  std::string host_list;  // ip:port of the platform's host list
  absl::Duration host_list_interval = absl::Seconds(1);
  absl::Duration shutdown_limit = absl::Seconds(60);
  uint32_t max_connections = 2048;
  uint64_t max_body_bytes = uint64_t{4} << 20;
  uint32_t subset_size = 24;
};

enum class EngineKind { kVllm, kPlain };

struct AgentSettings {
  std::string name;
  std::string zone;
  std::string listen;     // ip:port, internal protocol
  std::string http;       // ip:port, metrics and health
  std::string host_list;  // ip:port of the platform's host list
  absl::Duration shutdown_limit = absl::Seconds(60);
  std::string backend_name;
  std::string backend_address;  // ip:port of the engine or service
  EngineKind backend_kind = EngineKind::kVllm;
  bool checks_fencing = false;  // the engine rejects outdated fencing numbers
  uint32_t places = 20;         // concurrently decoded requests
  uint32_t prefill_places = 1;
  uint32_t memory_pieces = 64;
};

// Settings of a front, on a platform that provides discovery and configuration.
struct FrontSettings {
  std::string name;
  std::string zone;
  std::string clients;  // ip:port, client requests
  std::string ready;    // ip:port, readiness probes of the load balancer
  std::string control;  // ip:port, state for other fronts and operators
  std::string metrics;  // ip:port
  std::string peers;    // ip:port, datagrams between fronts
  std::string store;    // ip:port of the platform's store
  // Control addresses of some fronts, separated by commas; may be out of date.
  std::string seeds;
  // Time from SIGTERM to the forced exit.
  absl::Duration shutdown_limit = absl::Seconds(8);
  // Time without contact after which a peer or a connection counts as lost.
  absl::Duration contact_limit = absl::Seconds(3);
  // Time by which a draining backend server no longer gets new requests.
  absl::Duration drain_limit = absl::Seconds(2);
  // Limit on repeated sends of all fronts in any window: a share of the
  // requests plus a constant.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  absl::Duration retry_window = absl::Seconds(10);
  // By how much a client account may exceed its cap in any window of that
  // length: a share of the cap plus a constant in the cap's units.
  absl::Duration account_window = absl::Seconds(8);
  double account_excess = 0;
  double account_slack = 0;
  // A stream without a new event is aborted after this multiple of the time
  // that the platform's clients wait for one. Above 1, so that no stream is
  // aborted while its client still waits.
  double stall_patience = 1.5;
  uint64_t memory_limit = uint64_t{110} << 20;
  // Open sockets and files that the host allows.
  uint32_t descriptor_limit = 4096;
};

std::optional<FrontSettings> LoadFrontSettings(const std::string& file,
                                               SettingsError& error);
std::optional<EntrySettings> LoadEntrySettings(const std::string& file,
                                               SettingsError& error);
std::optional<AgentSettings> LoadAgentSettings(const std::string& file,
                                               SettingsError& error);

// A key of a settings file, as documented on the reference page.
struct SettingsKey {
  std::string key;
  std::string allowed;
  bool required = false;
};
std::vector<SettingsKey> FrontSettingsKeys();
std::vector<SettingsKey> EntrySettingsKeys();
std::vector<SettingsKey> AgentSettingsKeys();

}  // namespace chervilwick

#endif  // CHERVILWICK_SETTINGS_SETTINGS_H_
