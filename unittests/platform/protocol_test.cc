// Tests of the platform protocol: parsing and encoding of its wire format.

#include "platform/protocol.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

constexpr char kServerEntry[] =
    R"({"service":"m","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":64,
"state":"ready","cold_left_ms":0,"stage":"decode","seq":4,"born":1700000000001})";

ParsedStoreItem ParseStoreValue(const std::string& key,
                                const std::string& value) {
  return PlatformProtocol().ParseItem({key, value, 7, false});
}

TEST_CASE("a server's store entry is parsed into a backend record",
          "[platform]") {
  ParsedStoreItem fact = ParseStoreValue("servers/i-1", kServerEntry);
  auto* record = std::get_if<BackendRecord>(&fact);
  REQUIRE(record != nullptr);
  CHECK(record->id == BackendName("i-1"));
  CHECK(record->endpoint.ToString() == "10.0.0.9:80");
  CHECK(record->stage == EngineStage::kDecode);
  CHECK(record->slots == 64);
  CHECK(record->born_unix_ms == 1700000000001);
  CHECK(record->sequence == 4);
  CHECK(record->software == SoftwareVersion("v1"));
}

TEST_CASE("a malformed server entry is rejected", "[platform]") {
  for (
      const char* value :
      {"", "not json", "[]", "{}", R"({"service":1})",
       R"({"service":"m","addr":"10.0.0.9","zone":"z","slots":1,"state":"ready"})",
       R"({"service":"m","addr":"10.0.0.9:80","zone":"z","slots":1,"state":"up"})",
       R"({"service":"m","addr":"10.0.0.9:80","zone":"z","slots":-1,"state":"ready"})",
       R"({"service":"m","addr":"10.0.0.9:80","zone":"z","slots":1,"state":"ready","born":1.5})",
       R"({"service":"m","addr":"10.0.0.9:80","zone":"z","slots":1,"state":"ready","stage":"x"})"}) {
    INFO(value);
    ParsedStoreItem fact = ParseStoreValue("servers/i-1", value);
    CHECK(std::holds_alternative<MalformedItem>(fact));
  }
}

TEST_CASE("the removal of an entry identifies the removed server",
          "[platform]") {
  ParsedStoreItem fact =
      PlatformProtocol().ParseItem({"servers/i-1", "", 9, /*removed=*/true});
  REQUIRE(std::holds_alternative<BackendRemoved>(fact));
  CHECK(std::get<BackendRemoved>(fact).id == BackendName("i-1"));
}

TEST_CASE("the configuration is parsed into a route table", "[platform]") {
  ParsedStoreItem fact = ParseStoreValue("op/config", R"({"version":7,"routes":[
    {"name":"r1","host":"H.example","prefix":"/a/","kind":"streaming",
     "timeout_ms":14000,"goal_ms":900,"priority":1,"attempts":2,
     "split":[{"service":"m","weight":90},{"service":"n","weight":10}],
     "sticky":true,"resumable":true,"gap_goal_ms":300},
    {"name":"r2","host":"h.example","prefix":"/a/b/","kind":"non_idempotent",
     "timeout_ms":600,"goal_ms":100,"priority":2,"attempts":1,"service":"n"}],
   "services":[{"name":"m","health_path":"/healthz","max_conns":360,
     "engine":{"slots":64,"kv_capacity":38202,"kv_ttl_s":0.5,"hold_ms":2000}},
     {"name":"n","max_conns":96}],
   "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
     "header_timeout_ms":3000,"idle_timeout_ms":15000}})");
  auto* table = std::get_if<RouteTable>(&fact);
  REQUIRE(table != nullptr);
  CHECK(table->version == VersionNumber(7));
  const Route* route = table->Match("h.EXAMPLE:80", "/a/x?y=/a/b/");
  REQUIRE(route != nullptr);
  CHECK(route->name == "r1");
  CHECK(route->MayRepeat());
  CHECK(route->objective == absl::Milliseconds(900));
  CHECK(table->Match("h.example", "/a/b/c")->name == "r2");
  CHECK_FALSE(table->Match("h.example", "/a/b/c")->MayRepeat());
  CHECK(table->Match("h.example", "/b/") == nullptr);
  CHECK(table->Match("other", "/a/") == nullptr);
  CHECK(table->FindEngine(ServiceName("m"))->memory_tokens == 38202);
  CHECK(table->FindEngine(ServiceName("n")) == nullptr);
  CHECK(PickService(*route, 89).value() == "m");
  CHECK(PickService(*route, 90).value() == "n");
  CHECK(PickService(*route, 100).value() == "m");
}

TEST_CASE(
    "store pages and watch responses are parsed, other bodies are rejected",
    "[platform]") {
  PlatformProtocol protocol;
  std::string value;
  absl::Base64Escape("bytes\x01", &value);
  auto page = protocol.ParsePage(absl::StrCat(
      R"({"items":[{"key":"k","value":")", value,
      R"(","rev":3,"created":3,"lease":0}],"has_more":true,"current_rev":5})"));
  REQUIRE(page);
  CHECK(page->has_more);
  CHECK(page->revision == 5);
  CHECK(page->items.at(0).value == "bytes\x01");
  auto watch = protocol.ParseWatch(
      R"({"events":[{"key":"k","rev":6,"removed":true}],"current_rev":6})");
  REQUIRE(watch);
  CHECK(watch->items.at(0).removed);
  CHECK_FALSE(protocol.ParsePage("{}"));
  CHECK_FALSE(protocol.ParseWatch(R"({"events":[{}],"current_rev":1})"));
}

TEST_CASE("the attempt that began a resumed stream is read", "[platform]") {
  HttpHead head;
  CHECK_FALSE(PlatformProtocol().ParseRequest(head).first_attempt);
  head.fields = {{"Resumes", "9c41d07be2a35f68"}};
  CHECK(PlatformProtocol().ParseRequest(head).first_attempt ==
        "9c41d07be2a35f68");
  head.fields = {{"Resumes", "not sendable"}};
  CHECK_FALSE(PlatformProtocol().ParseRequest(head).first_attempt);
}

TEST_CASE("the era of the store is read from heads that state one",
          "[platform]") {
  PlatformProtocol protocol;
  HttpHead head;
  CHECK_FALSE(protocol.ParseStoreEra(head));
  head.fields = {{"store-era", "7"}};
  CHECK(protocol.ParseStoreEra(head) == StoreEra(7));
  for (const char* odd : {"", "-1", "1.5", "x", "18446744073709551616"}) {
    head.fields = {{"Store-Era", odd}};
    CHECK_FALSE(protocol.ParseStoreEra(head));
  }
}

// Guards against an answer without a length whose connection ends inside it.
TEST_CASE("answer that is cut at any offset is not taken for a whole one",
          "[platform]") {
  PlatformProtocol protocol;
  std::string item = R"({"key":"k","value":"","rev":3,"lease":0})";
  std::string page = absl::StrCat(R"({"items":[)", item,
                                  R"(],"has_more":false,"current_rev":5})");
  std::string watch =
      absl::StrCat(R"({"events":[)", item, R"(],"current_rev":5})");
  std::string lease = R"({"ttl_ms":600000,"lease":77})";
  std::string revision = R"({"rev":123})";
  std::string handle = R"({"tokens":1460,"version":1,"handle":"3fa09c41b7d5"})";
  CHECK(protocol.ParsePage(page));
  CHECK(protocol.ParseWatch(watch));
  CHECK(protocol.ParseLease(lease));
  CHECK(protocol.ParseRevision(revision));
  CHECK(protocol.ParseHandle(handle));
  auto cuts = [](const std::string& whole, auto parse) {
    for (size_t cut = 0; cut < whole.size(); ++cut) {
      INFO(whole.substr(0, cut));
      CHECK_FALSE(parse(whole.substr(0, cut)));
    }
  };
  cuts(page, [&](const auto& it) { return protocol.ParsePage(it); });
  cuts(watch, [&](const auto& it) { return protocol.ParseWatch(it); });
  cuts(lease, [&](const auto& it) { return protocol.ParseLease(it); });
  cuts(revision, [&](const auto& it) { return protocol.ParseRevision(it); });
  cuts(handle, [&](const auto& it) { return protocol.ParseHandle(it); });
}

TEST_CASE("recorded broken runs are parsed back unchanged", "[platform]") {
  PlatformProtocol protocol;
  ServerEndId end{0xfedcba9876543210, 7};
  CrashedRun run{Fingerprint(~uint64_t{0}), end, {}};
  run.parts = {Fingerprint(~uint64_t{0} - 1), Fingerprint(0)};
  HttpRequest request = protocol.RecordBrokenRuns({run}, "5");
  Json body = Json::parse(request.body);
  REQUIRE(body["set_keys"].size() == 1);
  CHECK(body["expected"].empty());
  const Json& key = body["set_keys"][0];
  CHECK(key["lease"] == 5);
  StoreItem item;
  item.key = key["key"];
  REQUIRE(absl::Base64Unescape(key["value"].get<std::string>(), &item.value));
  ParsedStoreItem fact = protocol.ParseItem(item);
  REQUIRE(std::holds_alternative<CrashedRun>(fact));
  CHECK(std::get<CrashedRun>(fact).fingerprint == Fingerprint(~uint64_t{0}));
  CHECK(std::get<CrashedRun>(fact).end == end);
  CHECK(std::get<CrashedRun>(fact).parts == run.parts);
  CHECK(std::get<CrashedRun>(fact).is_recorded);
  // A record of an older front, and one of another writer.
  item.value = R"({"fingerprint":1,"server":2,"number":0})";
  CHECK(std::holds_alternative<CrashedRun>(protocol.ParseItem(item)));
  item.value = R"({"fingerprint":1,"server":2,"number":0,"parts":[-1]})";
  CHECK(std::holds_alternative<MalformedItem>(protocol.ParseItem(item)));
  item.value = "{}";
  CHECK(std::holds_alternative<MalformedItem>(protocol.ParseItem(item)));
  item.removed = true;
  CHECK(std::holds_alternative<UnrelatedItem>(protocol.ParseItem(item)));
}

TEST_CASE("recorded origins of streams are parsed back unchanged",
          "[platform]") {
  PlatformProtocol protocol;
  StreamOrigin origin{"9c41d07be2a35f68", ServiceName("llm"),
                      SoftwareVersion("unstated by i-1 7")};
  Json body =
      Json::parse(protocol.RecordStreamOrigins({origin, origin}, "5").body);
  REQUIRE(body["set_keys"].size() == 2);
  Json key = body["set_keys"][0];
  CHECK(key["lease"] == 5);
  CHECK(protocol.ReadStreamOrigin(origin.attempt).head.target ==
        "/chervilwick/kv-key?key=streams%2f9c41d07be2a35f68");
  key["rev"] = 3;
  CHECK(protocol.ParseStreamOrigin(key.dump()) == origin);
  for (const char* value : {"{}", "[]", "", R"({"service":1,"software":"v1"})",
                            R"({"service":"llm"})"}) {
    key["value"] = absl::Base64Escape(value);
    CHECK_FALSE(protocol.ParseStreamOrigin(key.dump()));
  }
  StoreItem item;
  item.key = "streams/not sendable";
  CHECK(std::holds_alternative<UnrelatedItem>(protocol.ParseItem(item)));
  item.key = "streams/1";
  item.removed = true;
  CHECK(std::holds_alternative<UnrelatedItem>(protocol.ParseItem(item)));
  CHECK_FALSE(protocol.ParseStreamOrigin("{}"));
  CHECK_FALSE(protocol.ParseStreamOrigin("not an answer"));
}

TEST_CASE("system fields of a client's request are not forwarded",
          "[platform]") {
  HttpRequest request;
  request.head.method = "POST";
  request.head.target = "/a/x?y=1";
  request.head.fields = {{"Host", "h"},
                         {"X-Request-Id", "id1"},
                         {"X-Deadline-Ms", "99999"},
                         {"X-Kv-Hold", "h"},
                         {"X-Pin-Ms", "1"},
                         {"X-Kv-Backup", "1.2.3.4:5"},
                         {"X-Kv-Source", "1.2.3.4:5/h"},
                         {"X-Stage", "prefill"},
                         {"X-Request-Priority", "0"},
                         {"X-Expect-Instance", "other"},
                         {"X-Model", "m"},
                         {"X-Token-Count", "10,20"},
                         {"Connection", "keep-alive"},
                         {"Last-Event-Id", "3"}};
  request.body = "body";
  ForwardOptions options;
  options.expected = BackendName("i-1");
  options.remaining = absl::Milliseconds(1234);
  HttpRequest out = PlatformProtocol().Forward(request, options);
  CHECK(out.head.Get("X-Request-Id") == "id1");
  CHECK(out.head.Get("X-Model") == "m");
  CHECK(out.head.Get("X-Expect-Instance") == "i-1");
  CHECK(out.head.Get("X-Deadline-Ms") == "1234");
  CHECK(out.body == "body");
  for (const char* name :
       {"X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "X-Kv-Source", "X-Stage",
        "X-Request-Priority", "Connection", "Last-Event-Id"}) {
    CHECK(out.head.Find(name) == nullptr);
  }
  options.kv_source = KvSource{{0x0a000009, 80}, "abc"};
  options.resume_after = 5;
  out = PlatformProtocol().Forward(request, options);
  CHECK(out.head.Get("X-Kv-Source") == "10.0.0.9:80/abc");
  CHECK(out.head.Get("Last-Event-Id") == "5");
}

TEST_CASE("all parts of a prompt but the last are shared", "[platform]") {
  auto parts = [](const std::vector<std::string>& values) {
    HttpHead head;
    for (const std::string& it : values) {
      head.fields.push_back({"x-prompt-prefix", it});
    }
    return PlatformProtocol().ParseRequest(head).shared_parts;
  };
  using Ids = std::vector<std::string>;
  CHECK(parts({}).empty());
  CHECK(parts({""}).empty());
  CHECK(parts({"5c1e07a2:800"}).empty());
  CHECK(parts({"5c1e07a2:800,91BD3f06:410,e4402b7d:250"}) ==
        Ids{"5c1e07a2", "91bd3f06"});
  CHECK(parts({"a:1, b:2", "c:3"}) == Ids{"a", "b"});
  CHECK(parts({",,a,:9,b:x:y,c"}) == Ids{"a", "b"});
  std::string many;
  for (int it = 0; it < 5000; ++it) absl::StrAppend(&many, it, ":1,");
  CHECK(parts({many}).size() == 64);
}

TEST_CASE("a response states misdirection, load and whether the request ran",
          "[platform]") {
  PlatformProtocol protocol;
  HttpHead head;
  head.status = 503;
  CHECK_FALSE(protocol.ParseResponse(head).is_not_run);
  head.fields = {{"X-Not-Run", "1"}, {"X-Server-Load", "3,1,8,250"}};
  ResponseMetadata facts = protocol.ParseResponse(head);
  CHECK(facts.is_not_run);
  CHECK_FALSE(facts.is_wrong_server);
  REQUIRE(facts.load);
  CHECK(facts.load->time_percent == 250);
  head.fields = {{"X-Server-Load", "3,x"}};
  CHECK_FALSE(protocol.ParseResponse(head).load);
  head.status = 421;
  CHECK(protocol.ParseResponse(head).is_wrong_server);
  CHECK(protocol.ParseResponse(head).is_not_run);
  // A success has run, whatever else its head says.
  head.status = 200;
  head.fields = {{"X-Not-Run", "1"}};
  CHECK_FALSE(protocol.ParseResponse(head).is_not_run);
}

ResponseMetadata Facts(int status, std::vector<HttpField> fields) {
  HttpHead head;
  head.status = status;
  head.fields = std::move(fields);
  return PlatformProtocol().ParseResponse(head);
}

TEST_CASE("Server-Leaving is read from responses of any status", "[platform]") {
  for (int status : {200, 404, 421, 500, 503}) {
    CHECK(Facts(status, {{"server-leaving", "1"}}).is_leaving);
  }
  CHECK_FALSE(Facts(200, {{"Server-Leaving", "0"}}).is_leaving);
  CHECK_FALSE(Facts(200, {}).is_leaving);
  // Engines also close connections for other reasons.
  CHECK_FALSE(Facts(200, {{"Connection", "close"}}).is_leaving);
}

TEST_CASE("Retry-After is read from 503 only, in seconds and up to an hour",
          "[platform]") {
  auto retry_after = [](int status, const std::string& text) {
    return Facts(status, {{"Retry-After", text}}).retry_delay;
  };
  CHECK(retry_after(503, "2") == absl::Seconds(2));
  CHECK(retry_after(503, "0.25") == absl::Milliseconds(250));
  CHECK(retry_after(503, "1e12") == absl::Hours(1));
  CHECK(retry_after(503, "inf") == absl::Hours(1));
  CHECK_FALSE(retry_after(200, "2"));
  for (const char* text :
       {"", "0", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    INFO(text);
    CHECK_FALSE(retry_after(503, text));
  }
}

}  // namespace
}  // namespace chervilwick
