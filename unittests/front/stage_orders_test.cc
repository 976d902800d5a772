// Orders that change the stages of engines.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "deployment.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

TEST_CASE(
    "surplus prefill engines are ordered to decode without repeated orders",
    "[front]") {
  TestDeployment it;
  for (const char* id : {"p2", "p3", "p4"}) it.Add(id, "llm", "prefill");
  it.Start();
  it.loop.RunFor(absl::Seconds(5));
  size_t orders = 0;
  for (const auto& engine : it.engines) {
    for (const Json& order : engine.second->orders) {
      ++orders;
      CHECK(order["stage"] == "decode");
      CHECK(order["holder"] == "front-1");
      CHECK(order["fence"].get<uint64_t>() > 0);
    }
  }
  CHECK(orders >= 1);
  CHECK(orders <= 3);
  CHECK(it.store.Has("duty/stages"));
}

TEST_CASE("front sends no stage orders after its lease expired while suspended",
          "[front]") {
  TestDeployment it;
  for (const char* id : {"p2", "p3", "p4"}) it.Add(id, "llm", "prefill");
  it.Start();
  absl::Duration suspended;
  it.front->SetBootClock([&] { return it.loop.Now() + suspended; });
  for (int n = 0; n < 100 && !it.store.Has("duty/stages"); ++n) {
    it.loop.RunFor(absl::Milliseconds(50));
  }
  REQUIRE(it.store.Has("duty/stages"));
  it.loop.RunFor(absl::Milliseconds(300));
  // A lease lasts 12 s.
  suspended = absl::Seconds(13);
  it.loop.RunFor(absl::Seconds(2));
  for (const auto& engine : it.engines) CHECK(engine.second->orders.empty());
  CHECK(it.LogText().find("\"why\":\"lease over\"") != std::string::npos);
}

TEST_CASE("late answer to the renewal of an ended lease does not end the next",
          "[front][pause]") {
  for (int status : {200, 404}) {
    INFO(status);
    TestDeployment it;
    for (const char* id : {"p2", "p3", "p4"}) it.Add(id, "llm", "prefill");
    it.Start();
    absl::Duration suspended;
    it.front->SetBootClock([&] { return it.loop.Now() + suspended; });
    auto run_until = [&](const auto& is_done) {
      for (int n = 0; n < 100 && !is_done(); ++n) {
        it.loop.RunFor(absl::Milliseconds(20));
      }
      REQUIRE(is_done());
    };
    auto is_held = [&] { return it.store.Has("duty/stages"); };
    run_until(is_held);
    it.store.HoldRenewals();
    suspended = absl::Milliseconds(3100);
    run_until([&] { return it.store.held_renewals() == 1; });
    // A lease lasts 12 s; answers are waited for on another clock.
    suspended += absl::Seconds(13);
    it.loop.RunFor(absl::Milliseconds(150));
    it.store.Remove("duty/stages");
    it.loop.RunFor(absl::Milliseconds(150));
    suspended += absl::Seconds(9);
    run_until(is_held);
    it.loop.RunFor(absl::Milliseconds(50));
    it.store.AnswerRenewals(status);
    std::string log = it.LogText();
    size_t over = log.find("\"why\":\"lease over\"");
    REQUIRE(over != std::string::npos);
    CHECK(log.find("\"held\":true", over) != std::string::npos);
    CHECK(log.find("\"held\":false", over + 1) == std::string::npos);
  }
}

}  // namespace
}  // namespace chervilwick
