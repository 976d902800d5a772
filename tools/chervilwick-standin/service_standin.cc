// Stand-in for a plain service.

#include "service_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr size_t kThreads = 64;
constexpr char kJson[] = "application/json";

}  // namespace

ServiceStandin::ServiceStandin(ServiceStandinOptions options)
    : options_(std::move(options)),
      http_(PoolServerOptions{options_.address, kThreads}),
      delay_(options_.delay) {
  httplib::Server& server = http_.server();
  server.Get("/health", [](const httplib::Request&, httplib::Response& res) {
    res.set_content("ok", "text/plain");
  });
  server.Get("/admin/runs",
             [this](const httplib::Request&, httplib::Response& res) {
               MutexLock lock(&mutex_);
               res.set_content(json(runs_).dump(), kJson);
             });
  server.Post("/admin/delay",
              [this](const httplib::Request& req, httplib::Response& res) {
                json in = json::parse(req.body, nullptr, false);
                MutexLock lock(&mutex_);
                delay_ = absl::Milliseconds(in.value("ms", 0));
                res.set_content("{}", kJson);
              });
  auto serve = [this](const httplib::Request& req, httplib::Response& res) {
    Serve(req, res);
  };
  server.Get(".*", serve);
  server.Post(".*", serve);
}

std::optional<std::string> ServiceStandin::Start() {
  if (auto problem = http_.Bind()) return problem;
  http_.Start();
  return std::nullopt;
}

void ServiceStandin::Serve(const httplib::Request& req,
                           httplib::Response& res) {
  absl::Duration delay;
  uint64_t runs = 0;
  {
    MutexLock lock(&mutex_);
    runs = ++runs_[req.method + " " + req.path + " " + req.body];
    delay = delay_;
  }
  absl::SleepFor(delay);
  json out = {{"service", options_.name},
              {"path", req.path},
              {"echo", req.body},
              {"run", runs}};
  res.set_content(out.dump(), kJson);
}

}  // namespace chervilwick
