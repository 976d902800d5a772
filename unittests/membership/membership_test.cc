// Tests of subsets, liveness and ejection of stragglers.

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "chervilwick/membership/backend_directory.h"
#include "chervilwick/membership/subset.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

std::vector<HostRecord> Hosts(const std::string& prefix, NodeRole role, int n,
                              const std::string& zone) {
  std::vector<HostRecord> hosts;
  for (int it = 0; it < n; ++it) {
    std::string name = absl::StrCat(prefix, it);
    hosts.push_back(
        {NodeName(name), role, ZoneName(zone), name, BackendName(name), false});
  }
  return hosts;
}

TEST_CASE("subsets cover all agents with balanced load", "[membership]") {
  auto entries = Hosts("entry", NodeRole::kEntry, 49, "z");
  auto agents = Hosts("agent", NodeRole::kAgent, 250, "z");
  std::map<NodeName, int> served;
  for (const HostRecord& it : entries) {
    auto subset = ChooseSubset(entries, agents, it.name, ZoneName("z"), 24);
    CHECK(subset.size() >= 24);
    CHECK(subset.size() <= 26);
    for (const HostRecord& agent : subset) ++served[agent.name];
  }
  CHECK(served.size() == 250);
  for (const auto& [name, n] : served) {
    CHECK(n >= 4);
    CHECK(n <= 5);
  }
}

TEST_CASE("a subset of a small zone includes agents of other zones",
          "[membership]") {
  auto entries = Hosts("entry", NodeRole::kEntry, 2, "a");
  auto agents = Hosts("near", NodeRole::kAgent, 3, "a");
  auto far = Hosts("far", NodeRole::kAgent, 20, "b");
  agents.insert(agents.end(), far.begin(), far.end());
  auto subset =
      ChooseSubset(entries, agents, NodeName("entry0"), ZoneName("a"), 8);
  CHECK(subset.size() == 8);
}

TEST_CASE("entry peers form a connected graph of small diameter",
          "[membership]") {
  auto entries = Hosts("entry", NodeRole::kEntry, 590, "z");
  std::map<NodeName, std::set<NodeName>> links;
  for (const HostRecord& it : entries) {
    auto peers = ChooseEntryPeers(entries, it.name);
    CHECK(peers.size() == 5);
    for (const HostRecord& peer : peers) {
      links[it.name].insert(peer.name);
      links[peer.name].insert(it.name);
    }
  }
  std::set<NodeName> reached = {entries[0].name};
  std::set<NodeName> frontier = reached;
  int hops = 0;
  while (reached.size() < entries.size() && !frontier.empty()) {
    std::set<NodeName> next;
    for (const NodeName& it : frontier) {
      for (const NodeName& peer : links[it]) {
        if (reached.insert(peer).second) next.insert(peer);
      }
    }
    frontier = next;
    ++hops;
  }
  CHECK(reached.size() == 590);
  CHECK(hops <= 8);
}

TEST_CASE("store readers per zone are limited and unlisted entries read",
          "[membership]") {
  auto entries = Hosts("entry", NodeRole::kEntry, 50, "z");
  int readers = 0;
  for (const HostRecord& it : entries) {
    readers += IsStoreReader(entries, it.name, ZoneName("z"), 2) ? 1 : 0;
  }
  CHECK(readers == 2);
  CHECK(IsStoreReader(entries, NodeName("unlisted"), ZoneName("z"), 2));
}

struct Fixture {
  Fixture() {
    std::vector<HostRecord> agents = Hosts("d", NodeRole::kAgent, 10, "z");
    directory.Update(agents);
    for (const HostRecord& it : agents) {
      pool.servers[it.backend] = {};
      Announce(it.name, 1);
      LoadReport load;
      load.ready = true;
      directory.OnLoad(*directory.Find(it.backend), load, kStart);
    }
  }
  void Announce(const NodeName& name, uint64_t incarnation) {
    Envelope envelope;
    envelope.from = name;
    envelope.incarnation = Incarnation(incarnation);
    Hello hello;
    hello.role = NodeRole::kAgent;
    hello.backend = BackendName(name.value());
    directory.OnHello(envelope, hello, kStart);
  }
  Backend& At(int n) {
    return *directory.Find(BackendName(absl::StrCat("d", n)));
  }
  BackendDirectory directory;
  Pool pool;
};

TEST_CASE("liveness distinguishes silent, leaving and live servers",
          "[membership]") {
  Fixture it;
  CHECK(it.directory.LivenessOf(it.At(0), kStart) == Liveness::kLive);
  CHECK(it.directory.LivenessOf(it.At(0), kStart + absl::Seconds(3)) ==
        Liveness::kSilent);
  LoadReport leaving;
  leaving.ready = true;
  leaving.leaving = true;
  it.directory.OnLoad(it.At(1), leaving, kStart);
  CHECK(it.directory.LivenessOf(it.At(1), kStart) == Liveness::kLeaving);
  CHECK(it.directory.Usable(it.pool, kStart).size() == 9);
}

TEST_CASE("a restarted agent is not used before its load report",
          "[membership]") {
  Fixture it;
  it.Announce(NodeName("d0"), 2);
  CHECK_FALSE(it.directory.IsUsable(it.At(0), kStart));
}

TEST_CASE("stragglers are ejected up to the limit of the pool",
          "[membership]") {
  Fixture it;
  for (int round = 0; round < 30; ++round) {
    for (int n = 0; n < 10; ++n) {
      absl::Duration time = absl::Milliseconds(n < 5 ? 125 : 25);
      it.directory.ObserveTokenTime(it.At(n), it.pool, time, 30, kStart);
    }
  }
  CHECK(it.directory.Usable(it.pool, kStart).size() >= 7);
  Fixture few;
  for (int round = 0; round < 30; ++round) {
    for (int n = 0; n < 10; ++n) {
      absl::Duration time = absl::Milliseconds(n < 2 ? 125 : 25);
      few.directory.ObserveTokenTime(few.At(n), few.pool, time, 30, kStart);
    }
  }
  CHECK_FALSE(few.directory.IsUsable(few.At(0), kStart));
  CHECK_FALSE(few.directory.IsUsable(few.At(1), kStart));
  CHECK(few.directory.IsUsable(few.At(2), kStart));
  CHECK(few.directory.IsUsable(few.At(0), kStart + absl::Seconds(1.1)));
}

}  // namespace
}  // namespace chervilwick
