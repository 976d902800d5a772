// Store entries and pages that another writer may leave.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/protocol.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

Json ServerEntry() {
  return {{"service", "m"},    {"addr", "10.0.0.9:80"}, {"zone", "z"},
          {"version", "v1"},   {"slots", 64},           {"state", "ready"},
          {"cold_left_ms", 0}, {"stage", "decode"},     {"seq", 4},
          {"born", 1}};
}

Json Config() {
  return Json::parse(R"({"version":3,
    "routes":[{"name":"r","host":"h","prefix":"/r/","kind":"idempotent",
               "timeout_ms":3000,"goal_ms":300,"priority":1,"attempts":2,
               "split":[{"service":"m","weight":3},
                        {"service":"n","weight":1}]}],
    "services":[{"name":"m","engine":{"slots":16,"kv_capacity":38000,
                                      "kv_ttl_s":0.5,"switch_s":1.0}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
              "header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

ParsedStoreItem Parse(const std::string& key, const std::string& value) {
  return PlatformProtocol().ParseItem({key, value, 7, false});
}

template <typename T>
bool IsParsedAs(const std::string& key, const std::string& value) {
  return std::holds_alternative<T>(Parse(key, value));
}

std::string Deep(const char* open, const char* close, int levels) {
  std::string out;
  for (int n = 0; n < levels; ++n) out += open;
  out += "1";
  for (int n = 0; n < levels; ++n) out += close;
  return out;
}

// Values of another type or out of range, as JSON text.
std::vector<std::string> OddValues() {
  return {"null",
          "true",
          "[]",
          "{}",
          "-1",
          "1.5",
          "1e999",
          "1e300",
          "4294967297",
          "18446744073709551615",
          "18446744073709551616",
          "\"\"",
          "\"4294967297\"",
          "\"x\\u0000y\"",
          Deep("[", "]", 300000),
          Deep("{\"a\":", "}", 100000)};
}

std::string With(Json json, const std::string& pointer,
                 const std::string& value) {
  constexpr char mark[] = "REPLACED";
  json[Json::json_pointer(pointer)] = mark;
  std::string text = json.dump();
  std::string quoted = absl::StrCat("\"", mark, "\"");
  return text.replace(text.find(quoted), quoted.size(), value);
}

TEST_CASE("server entry with an odd field names no server", "[platform][odd]") {
  REQUIRE(IsParsedAs<BackendRecord>("servers/i", ServerEntry().dump()));
  for (const char* field : {"service", "addr", "zone", "slots", "state",
                            "stage", "born", "seq", "cold_left_ms"}) {
    for (const std::string& value : OddValues()) {
      std::string name = field;
      bool is_text = name == "service" || name == "zone";
      bool is_time = name == "cold_left_ms";
      bool is_wide = name == "born" || name == "seq";
      if (value == "\"\"" && name == "stage") continue;
      if (is_text && value[0] == '"') continue;
      if (is_time && (value == "1.5" || value == "4294967297")) continue;
      if (is_wide && value == "4294967297") continue;
      if (name == "seq" && value == "18446744073709551615") continue;
      INFO(field << " = " << value.substr(0, 40));
      CHECK(IsParsedAs<MalformedItem>(
          "servers/i", With(ServerEntry(), absl::StrCat("/", field), value)));
    }
  }
  for (const char* field : {"service", "addr", "zone", "slots", "state"}) {
    Json entry = ServerEntry();
    entry.erase(field);
    CHECK(IsParsedAs<MalformedItem>("servers/i", entry.dump()));
  }
}

TEST_CASE(
    "server entry whose address is none that can be called names no server",
    "[platform][odd]") {
  for (const char* addr : {"",
                           ":",
                           "10.0.0.9",
                           "10.0.0.9:",
                           "10.0.0.9:0",
                           "10.0.0.9:-1",
                           "10.0.0.9:65536",
                           "10.0.0.9:70000",
                           "10.0.0.9:4294967376",
                           "10.0.0.9: 80",
                           "10.0.0.9:+80",
                           "10.0.0.9:080",
                           "10.0.0.9:80 ",
                           "10.0.0.256:80",
                           "10.0.9:80",
                           "host:80",
                           "[::1]:80",
                           "0.0.0.0:80",
                           "255.255.255.255:80",
                           "224.0.0.1:80",
                           "10.0.0.9:80\r\nX: y"}) {
    INFO(addr);
    Json entry = ServerEntry();
    entry["addr"] = addr;
    CHECK(IsParsedAs<MalformedItem>("servers/i", entry.dump()));
  }
}

// An id goes into a header field of every request to its server.
TEST_CASE("server id that could not be sent names no server",
          "[platform][odd]") {
  for (const std::string& id :
       {std::string(), std::string("a b"), std::string("a\r\nX-Stage: prefill"),
        std::string("a\0b", 3), std::string("\x7f"), std::string("\xc3\xa9"),
        std::string("\xff"), std::string(300, 'a')}) {
    INFO(absl::CEscape(id));
    CHECK(IsParsedAs<MalformedItem>("servers/" + id, ServerEntry().dump()));
  }
}

// All values of a table, by the paths of the fields that state them.
std::map<std::string, std::string> ValuesOf(const RouteTable& table) {
  std::map<std::string, std::string> values;
  values["/version"] = absl::StrCat(table.version.value());
  for (const Route& it : table.routes) {
    values["/routes/0/name"] = it.name;
    values["/routes/0/host"] = it.host;
    values["/routes/0/prefix"] = it.prefix;
    values["/routes/0/kind"] = absl::StrCat(static_cast<int>(it.kind));
    values["/routes/0/timeout_ms"] = absl::FormatDuration(it.timeout);
    values["/routes/0/goal_ms"] = absl::FormatDuration(it.objective);
    values["/routes/0/priority"] = absl::StrCat(it.priority);
    values["/routes/0/attempts"] = absl::StrCat(it.attempts);
    std::string& split = values["/routes/0/split"];
    for (const WeightedService& service : it.services) {
      absl::StrAppend(&split, service.service.value(), service.weight, " ");
    }
  }
  for (const auto& [name, traits] : table.services) {
    values["/services/0/name"] = name.value();
    const std::string engine = "/services/0/engine";
    if (!traits.engine) continue;
    values[engine + "/slots"] = absl::StrCat(traits.engine->slots);
    values[engine + "/kv_capacity"] =
        absl::StrCat(traits.engine->memory_tokens);
    values[engine + "/kv_ttl_s"] =
        absl::FormatDuration(traits.engine->handle_lifetime);
    values[engine + "/switch_s"] =
        absl::FormatDuration(traits.engine->stage_change_time);
  }
  const ClientLimits& limits = table.limits;
  values["/limits/max_header_bytes"] = absl::StrCat(limits.max_head_bytes);
  values["/limits/max_body_bytes"] = absl::StrCat(limits.max_body_bytes);
  values["/limits/header_timeout_ms"] =
      absl::FormatDuration(limits.head_timeout);
  values["/limits/idle_timeout_ms"] = absl::FormatDuration(limits.idle_timeout);
  return values;
}

// Path below which nothing is used if that field can't be.
std::string UnusableWith(const std::string& pointer) {
  if (pointer == "/routes/0/host" || pointer == "/routes/0/prefix") {
    return "/routes/0";
  }
  if (pointer == "/services/0/name") return "/services/0";
  if (pointer == "/services/0/engine/slots" ||
      pointer == "/services/0/engine/kv_capacity") {
    return "/services/0/engine";
  }
  return pointer;
}

// Guards against a version that is kept out of force for one part of it.
TEST_CASE("odd part of a configuration is left out and named, the rest is used",
          "[platform][odd]") {
  RouteTable sound = std::get<RouteTable>(Parse("op/config", Config().dump()));
  CHECK(sound.defects.empty());
  CHECK_FALSE(sound.has_unknown_routes);
  std::vector<std::pair<std::string, std::vector<std::string>>> cases = {
      {"/version", {"null", "-1", "1.5", "\"3\"", "[]", "1e999"}},
      {"/routes", {"null", "5", "{}", "\"x\"", "[5]", "[null]", "[{}]"}},
      {"/services", {"null", "5", "{}", "\"x\"", "[5]", "[{}]"}},
      {"/limits", {"null", "5", "[]", "\"x\""}},
      {"/limits/idle_timeout_ms", {"null", "\"x\"", "-1", "1e999", "[]"}},
      {"/limits/header_timeout_ms", {"null", "\"x\"", "-1", "{}"}},
      {"/limits/max_body_bytes", {"null", "-1", "1.5", "\"x\""}},
      {"/routes/0/name", {"null", "5"}},
      {"/routes/0/host", {"null", "5"}},
      {"/routes/0/prefix", {"null", "5"}},
      {"/routes/0/kind", {"null", "5", "\"x\""}},
      {"/routes/0/resumable", {"null", "5", "\"true\""}},
      {"/routes/0/public", {"null", "1", "\"true\""}},
      {"/routes/0/timeout_ms", {"null", "\"x\"", "-1", "-1e300", "1e999"}},
      {"/routes/0/goal_ms", {"null", "\"x\"", "-1"}},
      {"/routes/0/priority", {"null", "-1", "1.5", "4294967297"}},
      {"/routes/0/attempts", {"null", "-1", "\"1\"", "4294967297"}},
      {"/routes/0/split",
       {"null", "5", "{}", "[]", "\"x\"", "[5]", "[{\"service\":\"m\"}]",
        "[{\"service\":\"m\",\"weight\":0}]",
        "[{\"service\":\"m\",\"weight\":4294967296}]",
        "[{\"service\":5,\"weight\":1}]"}},
      {"/services/0/name", {"null", "5"}},
      {"/services/0/engine/slots", {"null", "-1", "4294967297", "0"}},
      {"/services/0/engine/kv_capacity", {"null", "-1", "1.5"}},
      {"/services/0/engine/kv_ttl_s", {"null", "-1", "\"x\"", "1e999"}},
      {"/services/0/engine/switch_s", {"null", "-1", "\"x\""}},
  };
  for (const auto& [pointer, values] : cases) {
    for (const std::string& value : values) {
      INFO(pointer << " = " << value);
      ParsedStoreItem item = Parse("op/config", With(Config(), pointer, value));
      REQUIRE(std::holds_alternative<RouteTable>(item));
      const auto& table = std::get<RouteTable>(item);
      REQUIRE_FALSE(table.defects.empty());
      for (const ConfigDefect& it : table.defects) {
        CHECK(absl::StartsWith(it.path, pointer));
        CHECK_FALSE(it.reason.empty());
      }
      std::map<std::string, std::string> values = ValuesOf(table);
      for (const auto& [path, text] : ValuesOf(sound)) {
        INFO(path);
        bool is_affected =
            absl::StartsWith(path, UnusableWith(pointer)) ||
            (pointer == "/routes/0/kind" && path == "/routes/0/split");
        if (!is_affected) CHECK(values[path] == text);
      }
      for (const Route& it : table.routes) {
        CHECK(it.timeout >= absl::ZeroDuration());
        CHECK_FALSE((it.resumable || it.is_public));
      }
      bool knows_no_prefix =
          pointer == "/routes" || UnusableWith(pointer) == "/routes/0";
      CHECK(table.has_unknown_routes == knows_no_prefix);
      bool is_blocked =
          pointer == "/routes/0/kind" || pointer == "/routes/0/split";
      if (is_blocked) CHECK(table.routes.at(0).services.empty());
    }
  }
}

// Guards against a list of defects that takes the memory of a host.
TEST_CASE("defects of a configuration are listed up to a bound and counted",
          "[platform][odd]") {
  Json config = Config();
  config["tenants"] = Json(std::vector<int>(100000, 0));
  auto table = std::get<RouteTable>(Parse("op/config", config.dump()));
  CHECK(table.defects.size() == RouteTable::kMaxListedDefects);
  CHECK(table.defects.size() + table.unlisted_defects == 100000);
}

TEST_CASE("a time without end in a configuration is a long one",
          "[platform][odd]") {
  ParsedStoreItem item =
      Parse("op/config", With(Config(), "/limits/idle_timeout_ms", "1e300"));
  REQUIRE(std::holds_alternative<RouteTable>(item));
  absl::Duration idle = std::get<RouteTable>(item).limits.idle_timeout;
  CHECK(idle >= absl::Hours(24));
  CHECK(idle < absl::Hours(24 * 365 * 10));
}

TEST_CASE("odd record of a broken run is none", "[platform][odd]") {
  for (const std::string& value : OddValues()) {
    CHECK(IsParsedAs<MalformedItem>("broken/1/2-3", value));
    CHECK(IsParsedAs<MalformedItem>(
        "broken/1/2-3",
        absl::StrCat(R"({"fingerprint":1,"server":2,"number":)",
                     value == "18446744073709551615" || value == "4294967297"
                         ? "null"
                         : value,
                     "}")));
  }
}

std::string Page(const std::string& items) {
  return absl::StrCat(R"({"current_rev":9,"has_more":true,"items":[)", items,
                      "]}");
}

std::string Item(const std::string& key) {
  return absl::StrCat(R"({"key":")", key, R"(","value":"e30=","rev":4})");
}

// Guards against a front that stops following the list: one such item made it
// reject the page, again and again.
TEST_CASE("an odd key or value does not hide a page's other items",
          "[platform][odd]") {
  for (const std::string& odd :
       {std::string(R"({"key":"servers/x","value":"!","rev":4})"),
        std::string(R"({"key":"servers/x","value":5,"rev":4})"),
        std::string(R"({"key":"servers/x","rev":4})"), Item("servers/\\ud800"),
        Item("servers/\\udfff\\ud800x"), Item("servers/\\ud83d\\ude00\\uDC00"),
        Item("servers/\xff"), Item("servers/\\u0000"),
        Item("servers/\\\\ud800"),
        R"({"key":"servers/x","value":"e30=","rev":4,"x":)" +
            Deep("[", "]", 100000) + "}"}) {
    INFO(odd.substr(0, 60));
    std::string items =
        absl::StrCat(Item("servers/a"), ",", odd, ",", Item("servers/z"));
    auto page = PlatformProtocol().ParsePage(Page(items));
    REQUIRE(page);
    CHECK(page->revision == 9);
    CHECK(page->has_more);
    REQUIRE(page->items.size() == 3);
    CHECK(page->items.front().key == "servers/a");
    CHECK(page->items.back().key == "servers/z");
    for (const StoreItem& it : page->items) {
      CHECK(std::holds_alternative<MalformedItem>(
          PlatformProtocol().ParseItem(it)));
    }
  }
}

// Key and revision are the store's own: without them it is not known what has
// changed.
TEST_CASE("a page with an item that has no key or revision is rejected",
          "[platform][odd]") {
  for (const char* odd : {"5", "null", "[]", "{}", R"({"key":"servers/x"})",
                          R"({"key":5,"value":"e30=","rev":4})",
                          R"({"key":"servers/x","value":"e30=","rev":"4"})",
                          R"({"key":"servers/x","value":"e30=","rev":-4})",
                          R"({"key":"servers/x","rev":4,"removed":"yes"})"}) {
    INFO(odd);
    CHECK_FALSE(PlatformProtocol().ParsePage(Page(odd)));
  }
  for (const char* list : {"null", "5", "{}", "\"x\""}) {
    CHECK_FALSE(PlatformProtocol().ParsePage(absl::StrCat(
        R"({"current_rev":9,"has_more":false,"items":)", list, "}")));
  }
}

TEST_CASE(
    "property: any value is parsed or malformed, and names only what can "
    "be called",
    "[platform][odd]") {
  std::vector<std::string> values = OddValues();
  values.resize(values.size() - 2);
  CHECK(rc::check([&](const std::vector<uint8_t>& bytes, uint16_t at,
                      bool is_server) {
    std::string text = is_server ? ServerEntry().dump() : Config().dump();
    const std::string& value = values[at % values.size()];
    text.replace(at % text.size(), bytes.size() % 9,
                 bytes.size() % 2 == 0
                     ? value
                     : std::string(bytes.begin(), bytes.end()));
    ParsedStoreItem item = Parse(is_server ? "servers/i" : "op/config", text);
    if (auto* record = std::get_if<BackendRecord>(&item)) {
      RC_ASSERT(record->slots > 0);
      RC_ASSERT(record->endpoint.port > 0);
      RC_ASSERT(record->born_unix_ms >= 0);
    }
    if (auto* table = std::get_if<RouteTable>(&item)) {
      for (const Route& it : table->routes) {
        RC_ASSERT(it.timeout >= absl::ZeroDuration());
        RC_ASSERT(it.timeout < absl::InfiniteDuration());
        bool is_blocked_silently =
            it.services.empty() && table->defects.empty();
        RC_ASSERT(!is_blocked_silently);
      }
    }
    PlatformProtocol().ParsePage(text);
    PlatformProtocol().ParseHandle(text);
    PlatformProtocol().ParseLease(text);
  }));
}

TEST_CASE("handle that could not be sent is none", "[platform][odd]") {
  PlatformProtocol protocol;
  CHECK(protocol.ParseHandle(R"({"handle":"3fa09c41b7d5"})"));
  for (const char* handle : {"", "a b", "a\\r\\nX-Stage: prefill", "a/b", "a?b",
                             "\\u00e9", "\\u0000"}) {
    INFO(handle);
    CHECK_FALSE(
        protocol.ParseHandle(absl::StrCat(R"({"handle":")", handle, "\"}")));
  }
  CHECK_FALSE(protocol.ParseHandle(
      absl::StrCat(R"({"handle":")", std::string(1000, 'a'), "\"}")));
}

}  // namespace
}  // namespace chervilwick
