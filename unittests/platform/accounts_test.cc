// Client accounts in the operator's configuration and in requests.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/protocol.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

constexpr char kConfig[] = R"({"version":7,"routes":[
  {"name":"r","host":"h","prefix":"/a/","kind":"idempotent","service":"s"},
  {"name":"p","host":"h","prefix":"/p/","kind":"idempotent","service":"s",
   "public":true}],
  "services":[{"name":"s"}],"limits":{},
  "tenants":[{"name":"one","api_keys":["key-1","key-2"],"priority":1,
   "unit":"tokens","plain_tokens":200,"rate_per_s":1000.5,"burst":500},
   {"name":"two"}]})";

ParsedStoreItem ParseConfig(const std::string& value) {
  return PlatformProtocol().ParseItem({"op/config", value, 7, false});
}

RouteTable TableOf(const std::string& value) {
  return std::get<RouteTable>(ParseConfig(value));
}

HttpHead HeadWith(std::vector<HttpField> fields) {
  HttpHead head;
  head.method = "GET";
  head.target = "/a/x";
  head.fields = std::move(fields);
  return head;
}

TEST_CASE("accounts of a configuration are parsed", "[platform][accounts]") {
  RouteTable table = TableOf(kConfig);
  REQUIRE(table.accounts.has_value());
  const ClientAccount* one = table.accounts->FindByKey(DigestOfKey("key-2"));
  REQUIRE(one != nullptr);
  CHECK(one->name == AccountName("one"));
  CHECK(one->priority == 1);
  CHECK(one->cap.unit == AccountCap::Unit::kTokens);
  CHECK(one->cap.rate_per_s == 1000.5);
  CHECK(one->cap.burst == 500);
  CHECK(one->cap.plain_tokens == 200);
  const ClientAccount* two = table.accounts->FindByName(AccountName("two"));
  REQUIRE(two != nullptr);
  CHECK_FALSE(two->priority.has_value());
  CHECK_FALSE(two->cap.IsLimited());
  CHECK_FALSE(table.FindByName("r")->is_public);
  CHECK(table.FindByName("p")->is_public);
}

TEST_CASE("an empty list of accounts lets nobody in, none at all everybody",
          "[platform][accounts]") {
  Json config = Json::parse(kConfig);
  config["tenants"] = Json::array();
  REQUIRE(TableOf(config.dump()).accounts.has_value());
  CHECK(TableOf(config.dump()).accounts->all().empty());
  config.erase("tenants");
  CHECK_FALSE(TableOf(config.dump()).accounts.has_value());
}

// Guards against a version that is kept out of force, with the withdrawal of a
// key in it, for one account that can't be used in full.
TEST_CASE("what can't be used of an account is left out and named",
          "[platform][accounts]") {
  struct Case {
    const char* account;
    std::vector<std::string> defects;  // below the account
  };
  for (const Case& draw : std::vector<Case>{
           {R"(5)", {""}},
           {R"({"api_keys":["k"]})", {"/name"}},
           {R"({"name":"","api_keys":["k"]})", {"/name"}},
           {R"({"name":" a","api_keys":["k"]})", {"/name"}},
           {R"({"name":"a\nb","api_keys":["k"]})", {"/name"}},
           {R"({"name":"a b","api_keys":["k"]})", {}},
           {R"({"name":"\u00e9","api_keys":["k"]})", {}},
           {R"({"name":"a","api_keys":"k"})", {"/api_keys"}},
           {R"({"name":"a","api_keys":[1,"k"]})", {"/api_keys/0"}},
           {R"({"name":"a","api_keys":["k",""," ","a\u0000b",null]})",
            {"/api_keys/1", "/api_keys/2", "/api_keys/3", "/api_keys/4"}},
           {R"({"name":"a","api_keys":["k"],"priority":-1})", {"/priority"}},
           {R"({"name":"a","api_keys":["k"],"priority":null})", {"/priority"}},
           {R"({"name":"a","api_keys":["k"],"priority":2.0})", {}},
           {R"({"name":"a","api_keys":["k"],"unit":"bytes"})", {"/unit"}},
           {R"({"name":"a","api_keys":["k"],"rate_per_s":-1})",
            {"/rate_per_s"}},
           {R"({"name":"a","api_keys":["k"],"rate_per_s":null})",
            {"/rate_per_s"}},
           {R"({"name":"a","api_keys":["k"],"rate_per_s":1e999})",
            {"/rate_per_s"}},
           {R"({"name":"a","api_keys":["k"],"burst":"x"})", {"/burst"}},
           {R"({"name":"a","api_keys":["k"],"plain_tokens":-3})",
            {"/plain_tokens"}}}) {
    INFO(draw.account);
    std::string config = kConfig;
    config.insert(config.rfind(']'), absl::StrCat(",", draw.account));
    PlatformProtocol protocol;
    // A peer reads its copy as this front reads the store.
    for (const StoreItem& item :
         {StoreItem{"op/config", config, 7, false},
          protocol.WithoutSecrets({"op/config", config, 7, false})}) {
      auto table = std::get<RouteTable>(protocol.ParseItem(item));
      std::vector<std::string> defects;
      for (const ConfigDefect& it : table.defects) defects.push_back(it.path);
      std::vector<std::string> expected;
      for (const std::string& it : draw.defects) {
        expected.push_back("/tenants/2" + it);
      }
      CHECK(defects == expected);
      CHECK(table.routes.size() == 2);
      CHECK(table.accounts->FindByKey(DigestOfKey("key-1"))->cap.burst == 500);
      CHECK(table.accounts->FindByName(AccountName("two")) != nullptr);
      const ClientAccount* account =
          table.accounts->FindByKey(DigestOfKey("k"));
      bool has_keys = std::string(draw.account).find('[') != std::string::npos;
      REQUIRE((account != nullptr) == has_keys);
      if (account == nullptr) continue;
      CHECK(account == &table.accounts->all().back());
      // No cap of which a part is unknown refuses anything.
      CHECK_FALSE(account->cap.IsLimited());
      CHECK(account->priority.value_or(2) == 2);
    }
  }
}

// Guards against a version that is kept out of force for text that a JSON
// parser rejects as a whole.
TEST_CASE("text that is not UTF-8 spoils only the string that it is in",
          "[platform][accounts]") {
  for (const char* odd :
       {"\xff", "Caf\xe9", "\xc3", "\xed\xa0\x80", "\xf5\x80\x80\x80",
        "\xc0\xaf", "\\ud800", "\\udc00x", "\\x", "\\u12", "\n", "\x01"}) {
    INFO(odd);
    std::string config = kConfig;
    config.insert(
        config.rfind(']'),
        absl::StrCat(",{\"name\":\"", odd,
                     "\",\"api_keys\":[\"k\"]},{\"name\":\"\xc3\x9c \\u00fc "
                     "\\ud83d\\ude00\",\"api_keys\":[\"l\"]}"));
    RouteTable table = TableOf(config);
    REQUIRE(table.defects.size() == 1);
    CHECK(table.defects[0].path == "/tenants/2/name");
    CHECK(table.accounts->FindByKey(DigestOfKey("k")) != nullptr);
    CHECK_FALSE(IsSendableName(table.accounts->all()[2].name));
    CHECK(table.accounts->FindByKey(DigestOfKey("l"))->name.value() ==
          "\xc3\x9c \xc3\xbc \xf0\x9f\x98\x80");
  }
}

// Blanks at the ends of a key don't arrive, so a request can't carry them.
TEST_CASE("a key with blanks at its ends is held as it arrives",
          "[platform][accounts]") {
  Json config = Json::parse(kConfig);
  config["tenants"][1]["api_keys"] = {" a key\t"};
  RouteTable table = TableOf(config.dump());
  CHECK(table.accounts->FindByKey(DigestOfKey("a key")) != nullptr);
  CHECK(table.defects.empty());
}

TEST_CASE("what is kept of a configuration has the digests of keys only",
          "[platform][accounts]") {
  PlatformProtocol protocol;
  StoreItem kept = protocol.WithoutSecrets({"op/config", kConfig, 7, false});
  CHECK(kept.value.find("key-1") == std::string::npos);
  CHECK(kept.value.find("key-2") == std::string::npos);
  CHECK(kept.revision == 7);
  RouteTable table = TableOf(kept.value);
  CHECK(table.accounts->FindByKey(DigestOfKey("key-1")) != nullptr);
  // The digest itself is no key.
  auto digest =
      Json::parse(kept.value)["tenants"][0]["api_keys"][0].get<std::string>();
  CHECK(table.accounts->FindByKey(DigestOfKey(digest)) == nullptr);
  // A copy of a copy is the same.
  CHECK(protocol.WithoutSecrets(kept).value == kept.value);
  StoreItem other = protocol.WithoutSecrets({"servers/x", "{\"a\":1}", 3});
  CHECK(other.value == "{\"a\":1}");
}

TEST_CASE("credentials are one bearer key", "[platform][accounts]") {
  using Kind = Credentials::Kind;
  PlatformProtocol protocol;
  auto parse = [&](std::vector<HttpField> fields) {
    return protocol.ParseCredentials(HeadWith(std::move(fields)));
  };
  CHECK(parse({}).kind == Kind::kNone);
  CHECK(parse({{"Authorization", "Bearer key-1"}}).kind == Kind::kKey);
  CHECK(parse({{"authorization", "bearer  key-1 "}}).key ==
        DigestOfKey("key-1"));
  for (const char* value :
       {"", "Bearer", "Bearer ", "Basic key-1", "key-1", "Bearerkey-1"}) {
    INFO(value);
    CHECK(parse({{"Authorization", value}}).kind == Kind::kMalformed);
  }
  // Of any length that a head may have: whether it is held decides.
  CHECK(parse({{"Authorization", "Bearer " + std::string(5000, 'k')}}).key ==
        DigestOfKey(std::string(5000, 'k')));
  CHECK(parse({{"Authorization", "Bearer key-1"},
               {"AUTHORIZATION", "Bearer key-1"}})
            .kind == Kind::kMalformed);
}

TEST_CASE("a server gets the account's name instead of the key",
          "[platform][accounts]") {
  PlatformProtocol protocol;
  HttpRequest request;
  request.head = HeadWith({{"Host", "h"},
                           {"Authorization", "Bearer key-1"},
                           {"X-Tenant", "forged"},
                           {"x-tenant", "forged"}});
  ForwardOptions options;
  options.account = AccountName("one");
  HttpHead sent = protocol.Forward(request, options).head;
  CHECK(sent.Find("Authorization") == nullptr);
  int names = 0;
  for (const HttpField& it : sent.fields) {
    if (it.name == "X-Tenant" || it.name == "x-tenant") {
      ++names;
      CHECK(it.value == "one");
    }
  }
  CHECK(names == 1);
  // On a public route without an account.
  options.account = AccountName();
  sent = protocol.Forward(request, options).head;
  CHECK(sent.Find("Authorization") == nullptr);
  CHECK(sent.Find("X-Tenant") == nullptr);
  // Without accounts, the fields are the client's.
  options.account.reset();
  sent = protocol.Forward(request, options).head;
  CHECK(sent.Get("Authorization") == "Bearer key-1");
  CHECK(sent.Get("X-Tenant") == "forged");
}

}  // namespace
}  // namespace chervilwick
