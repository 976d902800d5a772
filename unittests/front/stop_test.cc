// Graceful stop of a front and reload of its settings.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "deployment.h"

namespace chervilwick {
namespace {

using Fault = PlatformEngine::Fault;

TEST_CASE("a graceful stop does not interrupt requests in flight", "[front]") {
  TestDeployment it;
  it.Start();
  auto stream = it.SendRequest("POST", "/note/x");
  it.loop.RunFor(absl::Milliseconds(60));
  it.front->BeginShutdown();
  CHECK(it.Get("GET", "/chervilwick/readyz", it.settings.ready).status == 503);
  Answer later = it.Get("POST", "/book/x");
  CHECK(later.status == 200);
  CHECK_FALSE(later.head.keep_alive);
  it.loop.RunFor(absl::Milliseconds(200));
  CHECK(stream->is_complete);
  CHECK(stream->body == StreamEvents(1, 8));
}

TEST_CASE("a stopping front waits for requests in flight", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kNeverRespond);
  it.front->BeginShutdown();
  // Outlasts the delay in which the load balancer removes the front.
  auto answer = it.SendRequest("GET", "/check/x", "", /*deadline_ms=*/3400);
  absl::Time began = it.loop.Now();
  it.loop.RunFor(absl::Milliseconds(2900));
  // The daemon stops the event loop once the shutdown is complete.
  CHECK(it.loop.Now() - began >= absl::Milliseconds(2900));
  it.loop.RunFor(absl::Milliseconds(500));
  CHECK(answer->status == 504);
}

std::string SettingsText(const FrontSettings& settings,
                         const std::string& seeds) {
  return absl::StrCat(
      "name: ", settings.name, "\nzone: ", settings.zone,
      "\nclients: ", settings.clients, "\nready: ", settings.ready,
      "\ncontrol: ", settings.control, "\nmetrics: ", settings.metrics,
      "\npeers: ", settings.peers, "\nstore: ", settings.store, "\nseeds: \"",
      seeds, "\"\n");
}

TEST_CASE("changed settings are applied without interrupting a stream",
          "[front]") {
  TestDeployment it;
  std::string file = absl::StrCat("front-settings-", getpid(), ".yaml");
  auto write = [&](const std::string& text) {
    std::ofstream out(file);
    out << text;
  };
  write(SettingsText(it.settings, ""));
  it.settings_file = file;
  it.Start();
  auto stream = it.SendRequest("POST", "/note/x");
  it.loop.RunFor(absl::Milliseconds(40));
  // The first change is found without a signal, the second with SIGHUP.
  write(SettingsText(it.settings, "127.0.0.9:8000"));
  it.loop.RunFor(absl::Milliseconds(1300));
  CHECK_THAT(it.LogText(), Catch::Contains("\"event\":\"reload\"") &&
                               Catch::Contains("127.0.0.9:8000"));
  CHECK(stream->is_complete);
  CHECK(stream->body == StreamEvents(1, 8));
  write("name: front-1\nno_such_key: 1\n");
  raise(SIGHUP);
  it.loop.RunFor(absl::Milliseconds(100));
  CHECK_THAT(it.LogText(), Catch::Contains("reload_failed") &&
                               Catch::Contains("no_such_key"));
  // The previous settings stay in force.
  CHECK(it.Get("GET", "/check/x").status == 200);
  std::remove(file.c_str());
}

}  // namespace
}  // namespace chervilwick
