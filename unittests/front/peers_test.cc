// Exchange of state between fronts.

#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "deployment.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;
using Fault = PlatformEngine::Fault;

TEST_CASE("an update between fronts survives encoding and decoding",
          "[front]") {
  PeerUseUpdate update;
  update.incarnation = 5;
  update.sequence = 6;
  update.waiting_streams = 7;
  update.use[BackendName("d1")] = {2, 8200, 3100};
  update.use[BackendName("d2")] = BackendUse();
  ServerEndId end{8, 9};
  update.crashes.crashed_runs = {
      {Fingerprint(10), end, absl::Milliseconds(11)}};
  update.crashes.exonerations = {{Fingerprint(12), absl::Milliseconds(13)}};
  std::string bytes = EncodeUpdate(update);
  std::optional<PeerUseUpdate> read = DecodeUpdate(bytes);
  REQUIRE(read.has_value());
  CHECK(read->incarnation == 5);
  CHECK(read->sequence == 6);
  CHECK(read->waiting_streams == 7);
  CHECK(read->use == update.use);
  REQUIRE(read->crashes.crashed_runs.size() == 1);
  CHECK(read->crashes.crashed_runs[0].fingerprint == Fingerprint(10));
  CHECK(read->crashes.crashed_runs[0].end == end);
  CHECK(read->crashes.crashed_runs[0].age == absl::Milliseconds(11));
  REQUIRE(read->crashes.exonerations.size() == 1);
  CHECK(read->crashes.exonerations[0].fingerprint == Fingerprint(12));
  CHECK(read->crashes.exonerations[0].age == absl::Milliseconds(13));
  // An update is not a valid digest, and a truncated or extended update is
  // rejected.
  CHECK_FALSE(DecodeDigest(bytes).has_value());
  for (size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeUpdate(bytes.substr(0, n)).has_value());
  }
  CHECK_FALSE(DecodeUpdate(bytes + "x").has_value());
}

// Guards against fronts that learn of a placement only from the next full
// digest and meanwhile assign the same capacity.
TEST_CASE("a placed stream is reported to the peer at once", "[front]") {
  TestDeployment it;
  it.Start();
  FrontSettings settings = it.PeerSettings("front-2");
  std::FILE* log = std::tmpfile();
  FrontDaemon peer(it.loop, settings, "", it.protocol, fileno(log));
  REQUIRE_FALSE(peer.Start().has_value());
  it.loop.RunFor(absl::Milliseconds(600));
  // Memory tokens in use as known to the peer. Read directly, because an HTTP
  // request would take longer than the update itself.
  auto used_tokens = [&] {
    int64_t tokens = 0;
    for (const auto& backend : peer.context().backends.all()) {
      tokens += backend.second.Total().memory_tokens;
    }
    return tokens;
  };
  REQUIRE(Json::parse(it.Get("GET", "/status", settings.metrics).body)["peers"]
              .size() == 1);
  CHECK(used_tokens() == 0);
  // Placements stay in use while the engines do not answer.
  it.SetFaults({"d1", "d2"}, Fault::kNeverRespond);
  std::vector<absl::Duration> waits;
  for (int n = 1; n <= 7; ++n) {
    absl::Time asked = it.loop.Now();
    it.SendRequest("POST", "/note/x");
    while (used_tokens() < 4100 * int64_t{n} &&
           it.loop.Now() - asked < absl::Seconds(1)) {
      it.loop.RunFor(absl::Milliseconds(1));
    }
    waits.push_back(it.loop.Now() - asked);
    // Varies the phase within the interval at which other changes are sent.
    it.loop.RunFor(absl::Milliseconds(n));
  }
  std::sort(waits.begin(), waits.end());
  CHECK(waits[3] < absl::Milliseconds(20));
  it.loop.RunFor(absl::Milliseconds(2600));
  CHECK(used_tokens() == 0);
  std::fclose(log);
}

// PeerLink endpoint without the rest of a front.
struct LinkEndpoint {
  LinkEndpoint(TestDeployment& deployment, const FrontSettings& settings)
      : LinkEndpoint(deployment, settings, deployment.loop) {}
  LinkEndpoint(TestDeployment& deployment, const FrontSettings& settings,
               EventLoop& loop)
      : context(loop, deployment.protocol, settings, fileno(log.get())),
        link(context,
             {[this] { return digest; },
              [this](const PeerDigest& it, const Endpoint&) { received = it; },
              [this](const std::string& name) {
                ++lost;
                lost_names.push_back(name);
              },
              [this](const OriginNews& it, const Endpoint&) {
                news.push_back(it);
              },
              [this](const StoreRevision& it) { changes.push_back(it); }}) {
    digest.sender = settings.name;
    REQUIRE(link.Start());
  }

  std::unique_ptr<std::FILE, int (*)(std::FILE*)> log{std::tmpfile(),
                                                      &std::fclose};
  FrontContext context;
  PeerDigest digest;    // state to send
  PeerDigest received;  // last digest received
  int lost = 0;         // peers
  std::vector<std::string> lost_names;
  std::vector<OriginNews> news;
  std::vector<StoreRevision> changes;
  PeerLink link;
};

// A front with a loop of its own, so that it can end.
struct EndingFront {
  EndingFront(TestDeployment& deployment, const FrontSettings& settings)
      : endpoint(deployment, settings, loop) {}

  EventLoop loop;
  LinkEndpoint endpoint;
};

void RunBoth(TestDeployment& deployment, EventLoop& other) {
  for (int it = 0; it < 50; ++it) {
    deployment.loop.RunFor(absl::Milliseconds(10));
    other.RunFor(absl::Milliseconds(10));
  }
}

// Fronts are known by name, but alive at an address, which another one may take
// over before the first is found to be gone.
TEST_CASE("a front whose address another one takes over is lost at once",
          "[front][identity]") {
  TestDeployment deployment;
  LinkEndpoint local(deployment, deployment.settings);
  FrontSettings settings = deployment.PeerSettings("front-2");
  auto before = std::make_unique<EndingFront>(deployment, settings);
  RunBoth(deployment, before->loop);
  REQUIRE(local.received.sender == "front-2");
  before.reset();
  settings.name = "front-3";
  EndingFront after(deployment, settings);
  RunBoth(deployment, after.loop);
  CHECK(local.received.sender == "front-3");
  CHECK(local.lost_names == std::vector<std::string>{"front-2"});
}

TEST_CASE(
    "a front that is back at another address is not lost with the old one",
    "[front][identity]") {
  TestDeployment deployment;
  LinkEndpoint local(deployment, deployment.settings);
  auto before = std::make_unique<EndingFront>(
      deployment, deployment.PeerSettings("front-2"));
  RunBoth(deployment, before->loop);
  before.reset();
  EndingFront after(deployment, deployment.PeerSettings("front-2", 2));
  for (int it = 0; it < 4; ++it) RunBoth(deployment, after.loop);
  CHECK(local.link.live_peer_count() == 1);
  CHECK(local.lost_names.empty());
}

// Guards against detecting stage changes by their number, which is the same
// when one engine's change ends as another's begins.
TEST_CASE("each engine with a stage change is reported to the peer at once",
          "[front]") {
  TestDeployment deployment;
  LinkEndpoint local(deployment, deployment.settings);
  LinkEndpoint remote(deployment, deployment.PeerSettings("front-2"));
  deployment.loop.RunFor(absl::Seconds(1));
  for (const char* name : {"d1", "d2", "d3"}) {
    BackendName engine(name);
    local.digest.changing = {{engine, absl::Seconds(1)}};
    // Half of the time between full digests.
    absl::Time end = deployment.loop.Now() + absl::Milliseconds(600);
    while (remote.received.changing.count(engine) == 0 &&
           deployment.loop.Now() < end) {
      deployment.loop.RunFor(absl::Milliseconds(5));
    }
    INFO(name);
    CHECK(remote.received.changing.count(engine) == 1);
  }
}

// Guards against a front without a store that asks a peer again and again which
// accepts connections and answers nothing.
TEST_CASE("a front without a store does not wait for one silent peer",
          "[front]") {
  for (int silent_peers = 1; silent_peers <= 2; ++silent_peers) {
    INFO(silent_peers << " silent peers");
    TestDeployment it;
    it.Start();
    std::vector<std::unique_ptr<LinkEndpoint>> silent;
    std::vector<int> listeners;
    FrontSettings second = it.PeerSettings("front-2", 10);
    std::string seeds;
    for (int n = 1; n <= silent_peers; ++n) {
      FrontSettings peer = it.PeerSettings(absl::StrCat("silent-", n), n);
      listeners.push_back(ListenTcp(*Endpoint::Parse(peer.control)));
      absl::StrAppend(&seeds, seeds.empty() ? "" : ",", peer.control);
      silent.push_back(std::make_unique<LinkEndpoint>(it, peer));
      // Their copies seem newer than the sound peer's.
      silent.back()->digest.store_revision = {StoreEra(1), 1000};
    }
    // The silent peers are found first, and name the sound one.
    it.loop.RunFor(absl::Seconds(2));
    second.seeds = seeds;
    second.store = FreeEndpoint().ToString();
    FrontDaemon other(it.loop, second, "", it.protocol, fileno(it.log));
    REQUIRE_FALSE(other.Start().has_value());
    absl::Time end = it.loop.Now() + absl::Seconds(5);
    while (!other.IsReady() && it.loop.Now() < end) {
      it.loop.RunFor(absl::Milliseconds(10));
    }
    CHECK(other.IsReady());
    for (int listener : listeners) close(listener);
  }
}

// Longer than a peer may be silent.
constexpr absl::Duration kPeerPause = absl::Milliseconds(1900);

TEST_CASE("peers whose datagrams wait are not lost after a pause of a front",
          "[front][pause]") {
  TestDeployment deployment;
  EventLoop loop;
  LinkEndpoint local(deployment, deployment.settings, loop);
  LinkEndpoint remote(deployment, deployment.PeerSettings("front-2"));
  // Other input that is ready before the datagrams.
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  std::vector<int> readers;
  for (int n = 0; n < 100; ++n) {
    readers.push_back(dup(ends[0]));
    loop.OnReadable(readers.back(), [] {});
  }
  for (int n = 0; n < 500; ++n) {
    deployment.loop.RunFor(absl::Milliseconds(1));
    loop.RunFor(absl::Milliseconds(1));
  }
  REQUIRE(local.link.live_peer_count() == 1);
  REQUIRE(write(ends[1], "x", 1) == 1);
  deployment.loop.RunFor(kPeerPause);
  loop.RunFor(absl::Milliseconds(100));
  CHECK(local.lost == 0);
  for (int it : readers) close(it);
  for (int it : ends) close(it);
}

TEST_CASE("peers are not lost because a front itself stood still",
          "[front][pause]") {
  TestDeployment deployment;
  LinkEndpoint local(deployment, deployment.settings);
  LinkEndpoint remote(deployment, deployment.PeerSettings("front-2"));
  deployment.loop.RunFor(absl::Seconds(1));
  REQUIRE(local.link.live_peer_count() == 1);
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(kPeerPause));
  deployment.loop.RunFor(absl::Seconds(1));
  CHECK(local.lost + remote.lost == 0);
}

TEST_CASE("peer that stays silent after a front's pause is lost",
          "[front][pause]") {
  TestDeployment deployment;
  EventLoop loop;
  LinkEndpoint local(deployment, deployment.settings);
  LinkEndpoint remote(deployment, deployment.PeerSettings("front-2"), loop);
  for (int n = 0; n < 500; ++n) {
    deployment.loop.RunFor(absl::Milliseconds(1));
    loop.RunFor(absl::Milliseconds(1));
  }
  REQUIRE(local.link.live_peer_count() == 1);
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(kPeerPause));
  CHECK(local.lost == 0);
  // A further pause, as on a busy host, starts the count again.
  for (int n = 0; n < 3 && local.lost == 0; ++n) {
    deployment.loop.RunFor(kPeerPause);
  }
  CHECK(local.lost == 1);
}

TEST_CASE("records of streams do not reach live peers", "[front][peers]") {
  TestDeployment deployment;
  LinkEndpoint local(deployment, deployment.settings);
  LinkEndpoint remote(deployment, deployment.PeerSettings("front-2"));
  deployment.loop.RunFor(absl::Seconds(1));
  REQUIRE(local.link.live_peer_count() == 1);
  StreamOrigin origin{"id1", ServiceName("llm"), SoftwareVersion("v1")};
  OriginNews news{OriginNews::Kind::kToWrite, {origin}, StoreEra(3)};
  local.link.SendOriginsToAll(news);
  deployment.loop.RunFor(absl::Milliseconds(20));
  REQUIRE(remote.news.size() == 1);
  CHECK(remote.news[0].kind == OriginNews::Kind::kToWrite);
  CHECK(remote.news[0].origins == news.origins);
  CHECK(remote.news[0].era == news.era);
  std::string bytes = EncodeOrigins(news);
  CHECK(DecodeOrigins(bytes));
  CHECK_FALSE(DecodeOrigins(bytes + "x"));
  CHECK_FALSE(DecodeOrigins(bytes.substr(0, bytes.size() - 1)));
  CHECK_FALSE(DecodeDigest(bytes));
}

TEST_CASE("change of the store does not reach live peers", "[front][peers]") {
  TestDeployment deployment;
  LinkEndpoint local(deployment, deployment.settings);
  LinkEndpoint remote(deployment, deployment.PeerSettings("front-2"));
  deployment.loop.RunFor(absl::Seconds(1));
  REQUIRE(local.link.live_peer_count() == 1);
  StoreRevision revision{StoreEra(3), 1234};
  local.link.SendChangeToAll(revision);
  deployment.loop.RunFor(absl::Milliseconds(20));
  CHECK(remote.changes == std::vector<StoreRevision>{revision});
  std::string bytes = EncodeChange(revision);
  CHECK(DecodeChange(bytes) == revision);
  CHECK_FALSE(DecodeChange(bytes + "x"));
  CHECK_FALSE(DecodeChange(bytes.substr(0, bytes.size() - 1)));
  CHECK_FALSE(DecodeOrigins(bytes));
  CHECK_FALSE(DecodeDigest(bytes));
}

}  // namespace
}  // namespace chervilwick
