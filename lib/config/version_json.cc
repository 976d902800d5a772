// JSON encoding of version records.

#include "chervilwick/config/version_json.h"

#include <nlohmann/json.hpp>

namespace chervilwick {

using nlohmann::json;

std::string VersionRecordToJson(const VersionRecord& record) {
  json out = {{"number", record.number.value()},
              {"patch_id", record.patch_id.value()},
              {"author", record.author},
              {"reason", record.reason},
              {"accepted_unix_ms", record.accepted_unix_ms},
              {"content_hash", record.content_hash}};
  if (!record.patch.empty()) out["patch"] = record.patch;
  if (!record.content.empty()) out["content"] = record.content;
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<VersionRecord> VersionRecordFromJson(const std::string& text) {
  json in = json::parse(text, nullptr, false);
  if (!in.is_object()) return std::nullopt;
  try {
    VersionRecord record;
    record.number = VersionNumber(in.at("number").get<uint64_t>());
    record.patch_id = PatchId(in.at("patch_id").get<std::string>());
    record.author = in.at("author").get<std::string>();
    record.reason = in.at("reason").get<std::string>();
    record.accepted_unix_ms = in.at("accepted_unix_ms").get<int64_t>();
    record.content_hash = in.at("content_hash").get<uint64_t>();
    record.patch = in.value("patch", "");
    record.content = in.value("content", "");
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace chervilwick
