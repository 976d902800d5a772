// Plain calls through a front.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "deployment.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;
using Fault = PlatformEngine::Fault;

TEST_CASE("a booking that may have run is not sent again", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kLoseAnswer);
  Answer lost = it.Get("POST", "/book/x");
  CHECK(lost.status == 502);
  CHECK(it.Runs("s1") + it.Runs("s2") == 1);
}

TEST_CASE("attempts of a route don't let a booking run twice", "[front]") {
  TestDeployment it;
  Json config = DeploymentConfig(2);
  config["routes"][0]["attempts"] = 3;
  it.store.Put("op/config", config.dump());
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kLoseAnswer);
  CHECK(it.Get("POST", "/book/x").status == 502);
  CHECK(it.Runs("s1") + it.Runs("s2") == 1);
}

TEST_CASE("a lookup that ran is not called refused for want of budget",
          "[front]") {
  TestDeployment it;
  // One repeated send in the first window.
  it.settings.retry_ratio = 0;
  it.settings.retry_slack = 3;
  Json config = DeploymentConfig(2);
  config["routes"][1]["attempts"] = 4;
  it.store.Put("op/config", config.dump());
  it.Add("s3", "desk", "");
  it.Start();
  it.SetFaults({"s1"}, Fault::kLoseAnswer);
  it.SetFaults({"s2", "s3"}, Fault::kRefuse);
  Answer answer = it.Get("GET", "/check/x");
  REQUIRE(it.Runs("s1") == 1);
  CHECK(answer.status == 502);
}

TEST_CASE("a booking that was refused as not run goes elsewhere", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kRefuse);
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == 0);
  CHECK(it.Runs("s2") == 4);
}

TEST_CASE("a refusal says so only if nothing has run", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kRefuse);
  Answer refused = it.Get("POST", "/book/x");
  CHECK(refused.status == 503);
  CHECK(refused.head.Find("Retry-After") != nullptr);
  CHECK(it.Runs("s1") + it.Runs("s2") == 0);
  it.SetFaults({"s1"}, Fault::kLoseAnswer);
  it.SetFaults({"s2"}, Fault::kRefuse);
  for (int n = 0; n < 6; ++n) {
    size_t before = it.Runs("s1");
    int status = it.Get("GET", "/check/x").status;
    if (it.Runs("s1") > before) CHECK(status != 503);
  }
}

TEST_CASE("a lookup is repeated after a lost answer or a failure", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kLoseAnswer);
  CHECK(it.Get("GET", "/check/x").status == 200);
  it.SetFaults({"s1"}, Fault::kFail);
  CHECK(it.Get("GET", "/check/x").status == 200);
  it.SetFaults({"s1", "s2"}, Fault::kFail);
  Answer failed = it.Get("GET", "/check/x");
  CHECK(failed.status == 500);
  CHECK(failed.head.Find("X-Response-Stamp") != nullptr);
}

// With one server left there is no other to repeat at.
TEST_CASE("a lookup that failed is repeated at the only server", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kFail, 1);
  it.RemoveServer("s2");
  CHECK(it.Get("GET", "/check/x").status == 200);
  CHECK(it.Runs("s1") == 2);
  // Not one that broke off: the request may be what breaks it.
  it.SetFaults({"s1"}, Fault::kLoseAnswer, 1);
  CHECK(it.Get("GET", "/check/x").status == 502);
  CHECK(it.Runs("s1") == 3);
}

TEST_CASE("a success that no engine vouches for is not passed on", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kNoStamp);
  CHECK(it.Get("POST", "/book/x").status == 502);
  // It may have run; a lookup goes elsewhere, a booking must not.
  CHECK(it.Runs("s1") + it.Runs("s2") == 1);
  CHECK(it.Get("GET", "/check/x").status == 502);
  CHECK(it.Runs("s1") + it.Runs("s2") == 3);
}

TEST_CASE("a slow lookup runs a second time elsewhere", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kNeverAnswer, 1);
  it.SetFaults({"s2"}, Fault::kNeverAnswer, 0);
  bool met = false;
  for (int n = 0; n < 4 && !met; ++n) {
    CHECK(it.Get("GET", "/check/x").status == 200);
    met = it.Runs("s1") > 0;
  }
  CHECK(met);
}

}  // namespace
}  // namespace chervilwick
