// JSON encoding of calls on the key-value service.

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/store/kv_client.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

using nlohmann::json;

std::string EncodeBase64(const std::string& text) {
  return absl::Base64Escape(text);
}

std::string DecodeBase64(const std::string& text) {
  std::string out;
  return absl::Base64Unescape(text, &out) ? out : "";
}

// The etcd gateway encodes 64-bit numbers as strings.
int64_t ReadNumber(const json& object, const char* member) {
  auto it = object.find(member);
  int64_t value = 0;
  if (it == object.end()) return 0;
  if (it->is_number_integer()) return it->get<int64_t>();
  if (!it->is_string() || !absl::SimpleAtoi(it->get<std::string>(), &value)) {
    return 0;
  }
  return value;
}

json ToJson(const KvRange& range) {
  json out = {{"key", EncodeBase64(range.key)}};
  if (!range.range_end.empty()) {
    out["range_end"] = EncodeBase64(range.range_end);
  }
  if (range.limit > 0) out["limit"] = absl::StrCat(range.limit);
  return out;
}

json ToJson(const KvTxn& txn) {
  json out = {{"compare", json::array()},
              {"success", json::array()},
              {"failure", json::array()}};
  for (const KvCompare& it : txn.compares) {
    out["compare"].push_back({{"key", EncodeBase64(it.key)},
                              {"target", "MOD"},
                              {"result", "EQUAL"},
                              {"mod_revision", absl::StrCat(it.mod_revision)}});
    out["failure"].push_back(
        {{"request_range", {{"key", EncodeBase64(it.key)}}}});
  }
  for (const KvPut& it : txn.puts) {
    json put = {{"key", EncodeBase64(it.key)},
                {"value", EncodeBase64(it.value)}};
    if (it.lease != 0) put["lease"] = absl::StrCat(it.lease);
    out["success"].push_back({{"request_put", std::move(put)}});
  }
  for (const KvDelete& it : txn.deletes) {
    out["success"].push_back({{"request_delete_range",
                               {{"key", EncodeBase64(it.key)},
                                {"range_end", EncodeBase64(it.range_end)}}}});
  }
  return out;
}

json ToJson(const KvLeaseGrant& grant) {
  return {{"TTL", absl::StrCat(absl::ToInt64Seconds(grant.time_to_live))}};
}

void ReadValues(const json& range, std::vector<KvValue>& values) {
  auto kvs = range.find("kvs");
  if (kvs == range.end()) return;
  for (const json& it : *kvs) {
    values.push_back({DecodeBase64(it.at("key").get<std::string>()),
                      DecodeBase64(it.value("value", "")),
                      ReadNumber(it, "mod_revision")});
  }
}

void ReadTxn(const json& in, KvReply& reply) {
  bool succeeded = in.value("succeeded", false);
  reply.outcome = succeeded ? KvOutcome::kOk : KvOutcome::kCompareFailed;
  if (succeeded || !in.contains("responses")) return;
  for (const json& it : in.at("responses")) {
    if (it.contains("response_range")) {
      ReadValues(it.at("response_range"), reply.values);
    }
  }
}

}  // namespace

std::string KvRequestPath(const KvCall& call) {
  return std::visit(Overloaded{
                        [](const KvRange&) { return "/v3/kv/range"; },
                        [](const KvTxn&) { return "/v3/kv/txn"; },
                        [](const KvLeaseGrant&) { return "/v3/lease/grant"; },
                    },
                    call.body);
}

std::string KvRequestBody(const KvCall& call) {
  return std::visit([](const auto& it) { return ToJson(it).dump(); },
                    call.body);
}

KvReply ParseKvReply(const KvCall& call, const std::string& body) {
  KvReply reply;
  reply.call_id = call.call_id;
  reply.outcome = KvOutcome::kUnknown;
  json in = json::parse(body, nullptr, false);
  if (!in.is_object()) return reply;
  try {
    if (in.contains("header")) {
      reply.revision = ReadNumber(in.at("header"), "revision");
    }
    if (std::holds_alternative<KvTxn>(call.body)) {
      ReadTxn(in, reply);
      return reply;
    }
    ReadValues(in, reply.values);
    reply.lease = ReadNumber(in, "ID");
    reply.outcome = KvOutcome::kOk;
  } catch (const json::exception&) {
    reply.outcome = KvOutcome::kUnknown;
  }
  return reply;
}

}  // namespace chervilwick
