// Small fakes of the outside systems, for tests and the demo only: key-value
// service, host list, model engines, plain services.

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "chervilwick/kernel/signals.h"
#include "chervilwick/support/mutex.h"
#include "engine_standin.h"
#include "kv_standin.h"
#include "service_standin.h"

DEFINE_string(config, "",
              "JSON file that lists the fakes to run: kv (ip:port), host_list "
              "{address, hosts}, engines, services");

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr size_t kHostListThreads = 64;
constexpr int kUsageError = 2;

// Serves the platform's host list; the list can be replaced.
class HostListStandin {
 public:
  HostListStandin(const std::string& address, json hosts)
      : http_(PoolServerOptions{address, kHostListThreads}),
        hosts_(std::move(hosts)) {
    http_.server().Get(
        "/hosts", [this](const httplib::Request&, httplib::Response& res) {
          MutexLock lock(&mutex_);
          res.set_content(json{{"hosts", hosts_}}.dump(), "application/json");
        });
    http_.server().Post("/admin/hosts", [this](const httplib::Request& req,
                                               httplib::Response& res) {
      json in = json::parse(req.body, nullptr, false);
      MutexLock lock(&mutex_);
      if (in.is_array()) hosts_ = std::move(in);
      res.set_content("{}", "application/json");
    });
  }

  std::optional<std::string> Start() {
    if (auto problem = http_.Bind()) return problem;
    http_.Start();
    return std::nullopt;
  }

 private:
  PoolServer http_;
  Mutex mutex_;
  json hosts_ ABSL_GUARDED_BY(mutex_);
};

EngineStandinOptions ReadEngine(const json& in) {
  EngineStandinOptions options;
  options.name = in.at("name").get<std::string>();
  options.address = in.at("address").get<std::string>();
  options.role = in.value("role", options.role);
  options.model = in.value("model", "");
  options.weights = in.value("weights", "");
  options.prefill_per_token =
      absl::Microseconds(in.value("prefill_us_per_token", 50));
  options.per_token = absl::Microseconds(in.value("token_us", 20000));
  options.load_time = absl::Milliseconds(in.value("load_ms", 500));
  options.checks_fencing = in.value("checks_fencing", false);
  options.max_connections = in.value("max_connections", size_t{64});
  return options;
}

// All fakes of this process.
struct Fakes {
  std::unique_ptr<KvStandin> kv;
  std::unique_ptr<HostListStandin> hosts;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<std::unique_ptr<ServiceStandin>> services;
};

std::optional<std::string> StartAll(const json& config, Fakes& fakes) {
  if (config.contains("kv")) {
    fakes.kv = std::make_unique<KvStandin>(config["kv"].get<std::string>());
    if (auto problem = fakes.kv->Start()) return problem;
  }
  if (config.contains("host_list")) {
    const json& list = config["host_list"];
    fakes.hosts =
        std::make_unique<HostListStandin>(list.at("address").get<std::string>(),
                                          list.value("hosts", json::array()));
    if (auto problem = fakes.hosts->Start()) return problem;
  }
  for (const json& it : config.value("engines", json::array())) {
    fakes.engines.push_back(std::make_unique<EngineStandin>(ReadEngine(it)));
    if (auto problem = fakes.engines.back()->Start()) return problem;
  }
  for (const json& it : config.value("services", json::array())) {
    ServiceStandinOptions options;
    options.name = it.at("name").get<std::string>();
    options.address = it.at("address").get<std::string>();
    options.delay = absl::Milliseconds(it.value("delay_ms", 5));
    fakes.services.push_back(std::make_unique<ServiceStandin>(options));
    if (auto problem = fakes.services.back()->Start()) return problem;
  }
  return std::nullopt;
}

int Run() {
  std::ifstream file(FLAGS_config);
  std::stringstream text;
  text << file.rdbuf();
  json config = json::parse(text.str(), nullptr, false);
  if (!config.is_object()) {
    std::fprintf(stderr, "%s: not a JSON object\n", FLAGS_config.c_str());
    return kUsageError;
  }
  Fakes fakes;
  try {
    if (auto problem = StartAll(config, fakes)) {
      std::fprintf(stderr, "%s\n", problem->c_str());
      return kUsageError;
    }
  } catch (const json::exception& ec) {
    std::fprintf(stderr, "%s: %s\n", FLAGS_config.c_str(), ec.what());
    return kUsageError;
  }
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace chervilwick

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Fakes of outside systems for tests. Usage: chervilwick-standin "
      "--config=FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  chervilwick::BlockStopSignals();
  return chervilwick::Run();
}
