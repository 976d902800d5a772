// Changes of servers beside a flow of changes that are not urgent.

#include <catch2/catch.hpp>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "chervilwick/front/store_sync.h"
#include "deployment.h"

namespace chervilwick {
namespace {

// Copy of the store at one front.
class Copy {
 public:
  Copy()
      : log_(std::tmpfile()),
        context_(it.loop, it.protocol, it.settings, fileno(log_)),
        store(context_, MakeListener()) {
    store.Start();
    it.loop.RunFor(absl::Milliseconds(200));
    REQUIRE(store.has_backends());
  }
  ~Copy() { std::fclose(log_); }

  void PutServer(const std::string& id) {
    it.store.Put("servers/" + id, it.engines.at("d1")->Entry());
  }
  void PutRecord(const std::string& attempt) {
    it.store.Put("streams/" + attempt, R"({"service":"llm","software":"v1"})");
    it.loop.RunFor(absl::Milliseconds(50));
  }
  bool Knows(const std::string& id) const {
    return servers_.count(BackendName(id)) != 0;
  }

  TestDeployment it;

 private:
  StoreSync::Listener MakeListener() {
    StoreSync::Listener listener;
    listener.on_table = [](const RouteTable&) {};
    listener.on_backend = [this](const BackendRecord& record) {
      servers_.insert(record.id);
    };
    listener.on_removed = [](const BackendName&, absl::Time) {};
    listener.on_reachable = [](bool, absl::string_view) {};
    listener.on_duty_holder = [](const std::string&) {};
    listener.on_returned = [](StoreEra) {};
    listener.on_broken_run = [](const CrashedRun&) {};
    listener.on_stream_origin = [](const StreamOrigin&) {};
    listener.on_urgent_change = [this](const StoreRevision& revision) {
      told.push_back(revision);
    };
    return listener;
  }

  std::FILE* log_;
  FrontContext context_;
  std::set<BackendName> servers_;

 public:
  std::vector<StoreRevision> told;
  StoreSync store;
};

TEST_CASE("change of a server waits for the end of a pause after records",
          "[front][store-changes]") {
  Copy copy;
  copy.PutRecord("a");
  copy.PutServer("d8");
  copy.it.loop.RunFor(absl::Milliseconds(100));
  REQUIRE_FALSE(copy.Knows("d8"));
  copy.store.OnPeerChange(
      {copy.store.revision().era, copy.it.store.revision()});
  copy.it.loop.RunFor(absl::Milliseconds(50));
  CHECK(copy.Knows("d8"));
  // All fronts know of it.
  CHECK(copy.told.empty());
}

TEST_CASE("peers are told of records or not of servers",
          "[front][store-changes]") {
  Copy copy;
  copy.PutRecord("a");
  CHECK(copy.told.empty());
  copy.it.loop.RunFor(copy.it.settings.drain_limit / 2);
  copy.PutServer("d8");
  copy.it.loop.RunFor(absl::Milliseconds(50));
  REQUIRE(copy.told.size() == 1);
  CHECK(copy.told[0] ==
        StoreRevision{copy.store.revision().era, copy.it.store.revision()});
}

}  // namespace
}  // namespace chervilwick
