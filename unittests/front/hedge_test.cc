// Retries that are taken for calls and not used.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "deployment.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

// Guards against hedges that use up the retry budget without a send.
TEST_CASE("a slow call takes no retry if there is no other server", "[front]") {
  TestDeployment it;
  it.store.Remove("servers/s2");
  // The hedge is due at half of the route's objective of 300 ms.
  it.engines.at("s1")->SetPlainTime(absl::Milliseconds(250));
  it.Start();
  for (int n = 0; n < 3; ++n) CHECK(it.Get("GET", "/check/x").status == 200);
  CHECK(it.Runs("s1") == 3);
  CHECK(it.front->context().stats.repeated_sends == 0);
}

TEST_CASE("a failed call takes no retry if there is no other server",
          "[front]") {
  TestDeployment it;
  it.store.Remove("servers/s2");
  it.SetFaults({"s1"}, PlatformEngine::Fault::kLoseResponse);
  it.Start();
  for (int n = 0; n < 3; ++n) CHECK(it.Get("GET", "/check/x").status == 502);
  CHECK(it.Runs("s1") == 3);
  CHECK(it.front->context().stats.repeated_sends == 0);
}

// Replaces a server by an address at which nothing listens.
void MakeUnreachable(TestDeployment& it, const std::string& id) {
  nlohmann::json entry =
      nlohmann::json::parse(it.engines.at(id)->Entry(), nullptr, false);
  entry["addr"] = FreeEndpoint().ToString();
  it.store.Put(it.engines.at(id)->Key(), entry.dump());
}

TEST_CASE("a retry that reached no server is used for the next send",
          "[front]") {
  for (const char* path : {"/book/x", "/note/x"}) {
    INFO(path);
    TestDeployment it;
    it.settings.retry_ratio = 0;
    it.settings.retry_slack = 2;  // allows one retry
    it.Add("s3", "desk", "");
    it.Add("d3", "llm", "decode");
    it.SetFaults({"s1", "d1"}, PlatformEngine::Fault::kRefuse);
    MakeUnreachable(it, "s2");
    MakeUnreachable(it, "d2");
    it.Start();
    CHECK(it.Get("POST", path).status == 200);
    // Idle servers are chosen in the order of their names.
    CHECK(it.engines.at("s1")->refusals() + it.engines.at("d1")->refusals() ==
          1);
  }
}

}  // namespace
}  // namespace chervilwick
