// Tests of merge patches, configuration contents and replicas.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "chervilwick/config/config_replica.h"
#include "chervilwick/config/merge_patch.h"
#include "chervilwick/config/routing_setup.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr char kSetup[] = R"({
  "pools": {
    "p": {"role": "prefill", "model": "m", "weights": "w", "servers": {"s0": {}}},
    "d": {"role": "decode", "model": "m", "weights": "w", "servers": {"s1": {}}},
    "b": {"role": "plain", "servers": {"s2": {}}}},
  "models": {"m": {"routes": {"r": {"prefill": "p", "decode": "d", "share": 1}}}},
  "services": {"/book": {"pool": "b"}, "/book/check": {"pool": "b", "idempotent": true}}})";

// Randomly generated members of a content.
using Members = std::map<std::string, std::map<int, bool>>;

SetupError ErrorOf(const std::string& patch) {
  SetupError error;
  std::optional<std::string> content = ApplyMergePatch(kSetup, patch);
  REQUIRE(content.has_value());
  CHECK_FALSE(ParseRoutingSetup(*content, error).has_value());
  return error;
}

VersionRecord Record(uint64_t number, const std::string& before,
                     const std::string& patch) {
  VersionRecord record;
  record.number = VersionNumber(number);
  record.patch_id = PatchId("patch-" + std::to_string(number));
  record.patch = patch;
  std::string content = *ApplyMergePatch(before, patch);
  record.content_hash = StableHash(content);
  return record;
}

TEST_CASE("services match by longest prefix of whole path segments",
          "[config]") {
  SetupError error;
  std::optional<RoutingSetup> setup = ParseRoutingSetup(kSetup, error);
  REQUIRE(setup.has_value());
  CHECK(setup->models.at(ModelName("m")).routes.size() == 1);
  CHECK(setup->FindService("/book/check/7")->idempotent);
  CHECK_FALSE(setup->FindService("/book")->idempotent);
  CHECK(setup->FindService("/bookkeeping") == nullptr);
}

TEST_CASE("errors of an invalid content name the path and the problem",
          "[config]") {
  CHECK(ErrorOf(R"({"pools":{"p":{"role":"cook"}}})").ToString() ==
        "/pools/p/role: must be one of prefill, decode, plain");
  CHECK(ErrorOf(R"({"limits":{"retry_percent":101}})").path ==
        "/limits/retry_percent");
  CHECK(ErrorOf(R"({"colour":1})").ToString() == "/colour: unknown member");
  CHECK(ErrorOf(R"({"models":{"m":{"deadline":"5"}}})").path ==
        "/models/m/deadline");
  CHECK(ErrorOf(R"({"pools":{"d":{"weights":"v"}}})").problem ==
        "prefill and decode pool must have the same weights");
  CHECK(ErrorOf(R"({"pools":{"d":{"servers":{"s0":{}}}}})")
            .problem.find("one pool at most") != std::string::npos);
  CHECK(ErrorOf(R"({"services":{"/book":{"pool":"x"}}})").path ==
        "/services//book");
}

TEST_CASE("a model without a live decode server is reported", "[config]") {
  SetupError error;
  RoutingSetup setup = *ParseRoutingSetup(kSetup, error);
  std::set<BackendName> live = {BackendName("s0"), BackendName("s1"),
                                BackendName("s2")};
  CHECK_FALSE(FindUnservedRoute(setup, live).has_value());
  live.erase(BackendName("s1"));
  CHECK(FindUnservedRoute(setup, live)->path == "/models/m");
}

TEST_CASE("patches conflict on equal, parent and child paths", "[config]") {
  std::vector<std::string> found = ConflictingPaths(
      R"({"a":{"b":1},"c":2})", R"({"a":{"b":{"x":1}},"d":1})");
  CHECK(found == std::vector<std::string>{"/a/b"});
  CHECK(ConflictingPaths(R"({"a":1})", R"({"b":1})").empty());
}

TEST_CASE("a generated patch turns one content into the other", "[config]") {
  rc::prop("round trip", [](const Members& a, const Members& b) {
    auto build = [](const Members& in) {
      nlohmann::json out = nlohmann::json::object();
      for (const auto& [key, inner] : in) {
        std::string name = "k" + std::to_string(key.size());
        for (const auto& [n, value] : inner) {
          out[name][std::to_string(n % 5)] = value;
        }
      }
      return out.dump();
    };
    std::string from = build(a);
    std::string to = build(b);
    RC_ASSERT(*ApplyMergePatch(from, MakeMergePatch(from, to)) == to);
  });
}

TEST_CASE("a replica applies deltas and ignores older records", "[config]") {
  absl::Time now = absl::UnixEpoch();
  ConfigReplica replica;
  CHECK_FALSE(replica.IsKnown());
  VersionRecord first = Record(1, "{}", kSetup);
  first.content = *ApplyMergePatch("{}", kSetup);
  REQUIRE(replica.Apply(first, now));
  VersionRecord second =
      Record(2, replica.content(), R"({"limits":{"retry_percent":5}})");
  REQUIRE(replica.Apply(second, now + absl::Seconds(1)));
  CHECK(replica.setup().limits.retry_percent == 5);
  CHECK_FALSE(replica.Apply(first, now));
  CHECK(replica.number() == VersionNumber(2));
  CHECK(replica.SupersededAt(VersionNumber(1)) == now + absl::Seconds(1));
  CHECK(replica.SupersededAt(VersionNumber(2)) == absl::InfiniteFuture());
}

TEST_CASE("an outdated replica gets deltas, a new one the full content",
          "[config]") {
  absl::Time now = absl::UnixEpoch();
  ConfigReplica source;
  VersionRecord first = Record(1, "{}", kSetup);
  first.content = *ApplyMergePatch("{}", kSetup);
  source.Apply(first, now);
  ConfigReplica behind;
  behind.Apply(first, now);
  std::string before = source.content();
  source.Apply(Record(2, before, R"({"limits":{"retry_percent":5}})"), now);
  std::optional<ConfigPull> pull = behind.OnPeerVersion(VersionNumber(2), now);
  REQUIRE(pull.has_value());
  ConfigPush push = *source.OnPull(*pull);
  CHECK(push.records.items.at(0).content.empty());
  CHECK(behind.OnPush(push, now));
  CHECK(behind.content() == source.content());
  ConfigReplica fresh;
  ConfigPush full = *source.OnPull(ConfigPull{});
  CHECK(fresh.OnPush(full, now));
  CHECK(fresh.content() == source.content());
}

TEST_CASE("a record with a mismatched content hash is rejected", "[config]") {
  absl::Time now = absl::UnixEpoch();
  ConfigReplica replica;
  VersionRecord first = Record(1, "{}", kSetup);
  first.content = *ApplyMergePatch("{}", kSetup);
  replica.Apply(first, now);
  VersionRecord bad = Record(2, replica.content(), R"({"limits":{}})");
  bad.content_hash ^= 1;
  CHECK_FALSE(replica.Apply(bad, now));
  // The next pull requests the full content.
  CHECK(replica.OnPeerVersion(VersionNumber(2), now)->have == VersionNumber(0));
}

}  // namespace
}  // namespace chervilwick
