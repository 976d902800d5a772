// Tests of the predictive routing policy and the prefix index.

#include <catch2/catch.hpp>
#include <string>

#include "chervilwick/routing/policy.h"
#include "chervilwick/routing/prefix_index.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

Backend MakeBackend(const std::string& name) {
  Backend backend;
  backend.name = BackendName(name);
  backend.zone = ZoneName("a");
  backend.load_at = kStart;
  backend.load.places_total = 20;
  backend.load.pieces_total = 64;
  backend.load.token_us = 25000;
  backend.load.prefill_ns_per_token = 100000;
  backend.load.ready = true;
  return backend;
}

RoutingRequest Request() {
  RoutingRequest request;
  request.prompt_tokens = 1000;
  request.output_tokens = 100;
  request.zone = ZoneName("a");
  request.max_wait = absl::Milliseconds(400);
  request.now = kStart;
  return request;
}

struct Fixture {
  Fixture() : a(MakeBackend("a")), b(MakeBackend("b")) {}
  std::vector<Backend*> All() { return {&a, &b}; }
  Backend a;
  Backend b;
  RoutingPolicy policy = PredictivePolicy{};
  std::mt19937_64 random{1};
};

TEST_CASE("decode is not routed to a backend server whose slots are full",
          "[routing]") {
  Fixture it;
  it.a.load.places_used = 20;
  it.a.load.next_free_us = 5000000;
  CHECK(ChooseDecode(it.policy, it.All(), Request(), it.random)->backend ==
        &it.b);
  it.b.load.places_used = 20;
  it.b.load.next_free_us = 5000000;
  CHECK_FALSE(
      ChooseDecode(it.policy, it.All(), Request(), it.random).has_value());
}

TEST_CASE("unreported dispatches count as used decode slots", "[routing]") {
  Fixture it;
  it.a.load.places_used = 10;
  it.b.load.places_used = 8;
  it.b.unreported_places = 12;
  it.b.load.next_free_us = 5000000;
  CHECK(ChooseDecode(it.policy, it.All(), Request(), it.random)->backend ==
        &it.a);
}

TEST_CASE(
    "a fast slot that is free soon is preferred to a slow one that is free now",
    "[routing]") {
  Fixture it;
  it.a.load.token_us = 125000;
  it.b.load.places_used = 20;
  it.b.load.next_free_us = 100000;
  RoutingChoice choice =
      *ChooseDecode(it.policy, it.All(), Request(), it.random);
  CHECK(choice.backend == &it.b);
  CHECK(choice.ready_in == absl::Milliseconds(100));
}

TEST_CASE("a request that may preempt is routed to preemptible slots",
          "[routing]") {
  Fixture it;
  for (Backend* backend : it.All()) {
    backend->load.places_used = 20;
    backend->load.next_free_us = 5000000;
  }
  it.b.load.preemptible = 3;
  RoutingRequest request = Request();
  request.may_preempt = true;
  CHECK(ChooseDecode(it.policy, it.All(), request, it.random)->backend ==
        &it.b);
}

TEST_CASE(
    "prefill is routed to the cached prefix, unless the queue is too long",
    "[routing]") {
  Fixture it;
  PrefixIndex index;
  std::string prompt(4096, 'x');
  PrefixHashes prefixes = HashPrefixes(prompt);
  index.Insert(prefixes, BackendName("b"), kStart);
  RoutingRequest request = Request();
  request.index = &index;
  request.prefixes = &prefixes;
  CHECK(ChoosePrefill(it.policy, it.All(), request, it.random)->backend ==
        &it.b);
  it.b.load.queue_us = 300000;
  CHECK(ChoosePrefill(it.policy, it.All(), request, it.random)->backend ==
        &it.a);
}

TEST_CASE("prefix entries expire by age and are removed on a cache miss",
          "[routing]") {
  PrefixIndex index;
  PrefixHashes prefixes = HashPrefixes(std::string(4096, 'x'));
  index.Insert(prefixes, BackendName("b"), kStart);
  CHECK(index.Match(prefixes, BackendName("b"), kStart) == 1.0);
  CHECK(index.Match(prefixes, BackendName("a"), kStart) == 0.0);
  CHECK(index.Match(prefixes, BackendName("b"), kStart + absl::Minutes(3)) ==
        0.0);
  index.OnMiss(prefixes, BackendName("b"));
  CHECK(index.Match(prefixes, BackendName("b"), kStart) == 0.0);
  CHECK(index.size() == 0);
}

}  // namespace
}  // namespace chervilwick
