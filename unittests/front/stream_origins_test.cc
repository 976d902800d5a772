// Records of where streams began, against a store.

#include "chervilwick/front/stream_origins.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "deployment.h"

namespace chervilwick {
namespace {

StreamOrigin OriginOf(const std::string& attempt,
                      const std::string& software = "v1") {
  return {attempt, ServiceName("llm"), SoftwareVersion(software)};
}

// Records of one front. The store answers on its loop.
class Origins {
 public:
  Origins()
      : context(it.loop, it.protocol, it.settings, fileno(it.log)),
        peers(context, {[] { return PeerDigest(); },
                        [](const PeerDigest&, const Endpoint&) {},
                        [](const std::string&) {},
                        [](const OriginNews&, const Endpoint&) {}}),
        origins(context, peers) {}

  void RunFor(absl::Duration duration) {
    absl::Time end = it.loop.Now() + duration;
    while (it.loop.Now() < end) {
      it.loop.RunFor(absl::Milliseconds(10));
      origins.Tick();
    }
  }

  // Returns whether the record of the attempt can be found by asking the store.
  bool Ask(const std::string& attempt) {
    bool is_done = false;
    origins.Read(attempt, /*is_store_reachable=*/true, [&] { is_done = true; });
    RunFor(absl::Milliseconds(1300));
    CHECK(is_done);
    return origins.Find(attempt).has_value();
  }

  struct Deployment : TestDeployment {
    Deployment() { log = std::tmpfile(); }
  };

  Deployment it;
  FrontContext context;
  PeerLink peers;
  StreamOrigins origins;
};

TEST_CASE("records of streams take a call each", "[front][origins]") {
  Origins front;
  uint64_t before = front.it.store.calls();
  for (int n = 0; n < 40; ++n) {
    front.origins.Record(OriginOf(absl::StrCat("a", n)));
  }
  front.RunFor(absl::Milliseconds(600));
  for (int n = 0; n < 40; ++n) {
    CHECK(front.it.store.Has(absl::StrCat("streams/a", n)));
  }
  // A lease, then batches of at most 32 keys.
  CHECK(front.it.store.calls() - before == 3);
  front.origins.Record(OriginOf("b"));
  front.RunFor(absl::Milliseconds(600));
  CHECK(front.it.store.calls() - before == 4);
}

TEST_CASE("record that the store did not take is given up",
          "[front][origins]") {
  Origins front;
  front.it.store.SetFault(PlatformStore::Fault::kBusy);
  front.origins.Record(OriginOf("a"));
  front.RunFor(absl::Milliseconds(500));
  front.it.store.SetFault(PlatformStore::Fault::kNone);
  front.RunFor(absl::Seconds(2));
  CHECK(front.it.store.Has("streams/a"));
}

// Two fronts; one of them writes the records of both.
class TwoFronts {
 public:
  TwoFronts() : first(it, it.settings), second(it, it.PeerSettings("front-2")) {
    RunFor(absl::Seconds(1));
    REQUIRE(first.peers.live_peer_count() == 1);
    REQUIRE(second.peers.live_peer_count() == 1);
  }

  struct Front {
    Front(TestDeployment& deployment, const FrontSettings& settings)
        : context(deployment.loop, deployment.protocol, settings,
                  fileno(deployment.log)),
          peers(context, {[settings] {
                            PeerDigest digest;
                            digest.sender = settings.name;
                            return digest;
                          },
                          [](const PeerDigest&, const Endpoint&) {},
                          [](const std::string&) {},
                          [this](const OriginNews& it, const Endpoint& from) {
                            ++news[it.kind];
                            origins.OnNews(it, from);
                          }}),
          origins(context, peers) {
      REQUIRE(peers.Start());
    }

    FrontContext context;
    PeerLink peers;
    StreamOrigins origins;
    std::map<OriginNews::Kind, int> news;  // received
  };

  void RunFor(absl::Duration duration) {
    absl::Time end = it.loop.Now() + duration;
    while (it.loop.Now() < end) {
      it.loop.RunFor(absl::Milliseconds(10));
      for (Front* front : Running()) front->origins.Tick();
    }
  }

  std::vector<Front*> Running() {
    std::vector<Front*> running = {&first, &second};
    if (is_recorder_still) {
      running = {&Other()};
    }
    return running;
  }

  Front& Recorder() { return first.peers.RecorderOf("a") ? second : first; }
  Front& Other() { return first.peers.RecorderOf("a") ? first : second; }

  Origins::Deployment it;
  Front first;
  Front second;
  bool is_recorder_still = false;
};

TEST_CASE("each front writes the records of its own streams",
          "[front][origins]") {
  TwoFronts fleet;
  uint64_t before = fleet.it.store.calls();
  fleet.first.origins.Record(OriginOf("a"));
  fleet.second.origins.Record(OriginOf("b"));
  fleet.RunFor(absl::Seconds(2));
  CHECK(fleet.it.store.Has("streams/a"));
  CHECK(fleet.it.store.Has("streams/b"));
  CHECK(fleet.it.store.calls() - before == 2);  // a lease and a batch
  CHECK(fleet.Other().news[OriginNews::Kind::kWritten] == 1);
  // No front is told what the store has.
  CHECK(fleet.Other().news[OriginNews::Kind::kBegan] == 0);
  CHECK(fleet.Recorder().news[OriginNews::Kind::kBegan] == 0);
}

TEST_CASE("records are lost with the front that is to write them",
          "[front][origins]") {
  TwoFronts fleet;
  fleet.is_recorder_still = true;
  fleet.Other().origins.Record(OriginOf("a"));
  fleet.RunFor(absl::Seconds(2));
  CHECK(fleet.it.store.Has("streams/a"));
}

TEST_CASE("peers are not told of records that the store does not take",
          "[front][origins]") {
  TwoFronts fleet;
  fleet.it.store.SetFault(PlatformStore::Fault::kBusy);
  fleet.Recorder().origins.Record(OriginOf("b"));
  fleet.RunFor(absl::Milliseconds(600));
  CHECK_FALSE(fleet.Other().origins.Find("b"));
  fleet.RunFor(absl::Milliseconds(400));
  CHECK(fleet.Other().origins.Find("b") == OriginOf("b"));
  fleet.RunFor(absl::Seconds(14));
  CHECK(fleet.Other().news[OriginNews::Kind::kBegan] == 4);
}

TEST_CASE("record is read wrong or never", "[front][origins]") {
  Origins front;
  CHECK_FALSE(front.Ask("a"));
  front.it.store.Put("streams/a", R"({"service":"llm","software":"v1"})");
  CHECK(front.Ask("a"));
  CHECK(front.origins.Find("a") == OriginOf("a"));
  // The store is away: the answer to the client must not wait for it.
  front.it.store.SetFault(PlatformStore::Fault::kSilent);
  CHECK_FALSE(front.Ask("b"));
  // It comes from elsewhere meanwhile.
  bool is_done = false;
  front.origins.Read("c", /*is_store_reachable=*/true, [&] { is_done = true; });
  front.origins.Learn(OriginOf("c", "v2"));
  CHECK(is_done);
  CHECK(front.origins.Find("c") == OriginOf("c", "v2"));
}

TEST_CASE("client that is back before the record of its stream is refused",
          "[front][origins]") {
  Origins front;
  bool is_done = false;
  front.origins.Read("a", /*is_store_reachable=*/true, [&] { is_done = true; });
  front.RunFor(absl::Milliseconds(100));
  CHECK_FALSE(is_done);
  front.it.store.Put("streams/a", R"({"service":"llm","software":"v1"})");
  front.RunFor(absl::Milliseconds(450));
  CHECK(is_done);
  CHECK(front.origins.Find("a") == OriginOf("a"));
  // One that never comes is not waited for much longer.
  is_done = false;
  front.origins.Read("b", /*is_store_reachable=*/true, [&] { is_done = true; });
  front.RunFor(absl::Milliseconds(550));
  CHECK(is_done);
}

TEST_CASE("record that peers have is unknown while the store is away",
          "[front][origins]") {
  TwoFronts fleet;
  fleet.first.origins.Learn(OriginOf("a"));
  fleet.first.origins.Learn(OriginOf("b", "v1"));
  fleet.first.origins.Learn(OriginOf("b", "v2"));
  fleet.it.store.SetFault(PlatformStore::Fault::kSilent);
  for (bool is_known_lost : {true, false}) {
    // The store's silence may have been noticed or not.
    std::string attempt = is_known_lost ? "a" : "c";
    fleet.first.origins.Learn(OriginOf("c"));
    bool is_done = false;
    fleet.second.origins.Read(attempt, !is_known_lost, [&] { is_done = true; });
    fleet.RunFor(absl::Milliseconds(250));
    CHECK(is_done);
    CHECK(fleet.second.origins.Find(attempt) == OriginOf(attempt));
  }
  bool is_done = false;
  fleet.second.origins.Read("b", /*is_store_reachable=*/false,
                            [&] { is_done = true; });
  fleet.RunFor(absl::Milliseconds(250));
  CHECK(is_done);
  CHECK_FALSE(fleet.second.origins.Find("b"));
  // Nobody knows it.
  is_done = false;
  fleet.second.origins.Read("d", /*is_store_reachable=*/false,
                            [&] { is_done = true; });
  fleet.RunFor(absl::Milliseconds(1200));
  CHECK(is_done);
  CHECK(fleet.first.news[OriginNews::Kind::kAsked] == 5);
}

TEST_CASE("one of two streams with the same id is taken for the other",
          "[front][origins]") {
  Origins front;
  front.origins.Record(OriginOf("a", "v1"));
  front.origins.Learn(OriginOf("a", "v1"));
  CHECK(front.origins.Find("a"));
  front.origins.Learn(OriginOf("a", "v2"));
  CHECK_FALSE(front.origins.Find("a"));
  front.origins.Learn(OriginOf("a", "v1"));
  CHECK_FALSE(front.origins.Find("a"));
}

TEST_CASE("records are kept for streams that nobody can take up",
          "[front][origins]") {
  Origins front;
  front.origins.SetLifetime(absl::Milliseconds(200));
  front.origins.Record(OriginOf("a"));
  front.origins.Record(OriginOf("an id\xff"));
  front.origins.Record(OriginOf(std::string(500, 'a')));
  CHECK(front.origins.size() == 1);
  front.RunFor(absl::Milliseconds(300));
  CHECK(front.origins.size() == 0);
  for (int n = 0; n < 50000; ++n) {
    front.origins.Learn(OriginOf(absl::StrCat("b", n)));
  }
  front.origins.Tick();
  CHECK(front.origins.size() <= 20000);
}

TEST_CASE("own records stay lost after the store returned from a copy",
          "[front][origins]") {
  Origins front;
  front.it.store.KeepCopy();
  front.origins.Record(OriginOf("a"));
  front.origins.Learn(OriginOf("b"));
  front.RunFor(absl::Milliseconds(600));
  REQUIRE(front.it.store.Has("streams/a"));
  front.it.store.ReturnFromCopy();
  REQUIRE_FALSE(front.it.store.Has("streams/a"));
  front.origins.OnStoreReturned(StoreEra(2));
  front.RunFor(absl::Milliseconds(600));
  CHECK(front.it.store.Has("streams/a"));
  CHECK_FALSE(front.it.store.Has("streams/b"));
}

}  // namespace
}  // namespace chervilwick
