// Smoke test: one request of each kind through a front over loopback.

#include <catch2/catch.hpp>

#include "deployment.h"

namespace chervilwick {
namespace {

TEST_CASE("a non-idempotent call, an idempotent call and a stream succeed",
          "[front]") {
  TestDeployment it;
  it.Start();
  CHECK(it.Get("GET", "/chervilwick/readyz", it.settings.ready).status == 200);
  Answer call = it.Get("POST", "/book/x");
  CHECK(call.status == 200);
  CHECK(call.body.substr(0, 9) == "answer of");
  CHECK(call.head.Find("X-Response-Stamp") != nullptr);
  CHECK(it.Get("GET", "/check/x").status == 200);
  Answer stream = it.Get("POST", "/note/x");
  CHECK(stream.status == 200);
  CHECK(stream.is_complete);
  CHECK(stream.body == StreamEvents(1, 8));
  CHECK(it.engines.at("p1")->prefills() == 1);
  CHECK(it.Runs("d1") + it.Runs("d2") == 1);
}

}  // namespace
}  // namespace chervilwick
