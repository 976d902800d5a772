// Tests of the key-value client, its JSON encoding and the host list.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "chervilwick/store/host_list.h"
#include "chervilwick/store/kv_client.h"

namespace chervilwick {
namespace {

TEST_CASE("a transaction is encoded as etcd v3 JSON", "[platform]") {
  KvTxn txn;
  txn.compares.push_back({"k", 7});
  txn.puts.push_back({"k", "v", 5});
  txn.deletes.push_back({"a", "b"});
  KvCall call{1, txn};
  CHECK(KvRequestPath(call) == "/v3/kv/txn");
  auto body = nlohmann::json::parse(KvRequestBody(call));
  CHECK(body["compare"][0]["mod_revision"] == "7");
  CHECK(body["compare"][0]["key"] == "aw==");
  CHECK(body["success"][0]["request_put"]["lease"] == "5");
  CHECK(body["success"][1]["request_delete_range"]["range_end"] == "Yg==");
  CHECK(body["failure"][0]["request_range"]["key"] == "aw==");
}

TEST_CASE("success, failed compare and malformed replies are distinguished",
          "[platform]") {
  KvCall txn{1, KvTxn{}};
  CHECK(ParseKvReply(txn, R"({"succeeded":true,"header":{"revision":"9"}})")
            .outcome == KvOutcome::kOk);
  KvReply failed = ParseKvReply(txn, R"({"responses":[{"response_range":{"kvs":[
               {"key":"aw==","value":"dg==","mod_revision":"4"}]}}]})");
  CHECK(failed.outcome == KvOutcome::kCompareFailed);
  REQUIRE(failed.values.size() == 1);
  CHECK(failed.values[0].key == "k");
  CHECK(failed.values[0].mod_revision == 4);
  CHECK(ParseKvReply(txn, "garbage").outcome == KvOutcome::kUnknown);
  KvCall range{2, KvRange{"k", ""}};
  CHECK(ParseKvReply(range, R"({"kvs":[{"key":1}]})").outcome ==
        KvOutcome::kUnknown);
  CHECK(ParseKvReply(range, "{}").outcome == KvOutcome::kOk);
}

TEST_CASE("a refused connection is reported as unavailable, not unknown",
          "[platform]") {
  BoundedRing<KvReply> replies(4);
  KvClient client("127.0.0.1:24899",
                  [&](KvReply reply) { replies.TryPush(std::move(reply)); });
  client.Start();
  client.Submit(KvCall{5, KvTxn{}});
  std::optional<KvReply> reply = replies.Pop(absl::Seconds(10));
  client.Stop();
  REQUIRE(reply.has_value());
  CHECK(reply->call_id == 5);
  CHECK(reply->outcome == KvOutcome::kUnavailable);
}

TEST_CASE("invalid host records are skipped", "[platform]") {
  auto hosts = ParseHostList(R"({"hosts":[
    {"name":"a","role":"agent","zone":"z","address":"1.2.3.4:5","backend":"s"},
    {"name":"b","role":"cook","zone":"z","address":"1.2.3.4:6"},
    {"name":"c","role":"entry","zone":"z","address":"1.2.3.4:7","state":"leaving"},
    17]})");
  REQUIRE(hosts.has_value());
  REQUIRE(hosts->size() == 2);
  CHECK(hosts->at(0).backend == BackendName("s"));
  CHECK(hosts->at(1).leaving);
  CHECK_FALSE(ParseHostList("[]").has_value());
}

}  // namespace
}  // namespace chervilwick
