// Lines of decision logs.

#include "chervilwick/telemetry/log_line.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace chervilwick {

std::string LogLine::Text(const char* name) const {
  auto it = fields.find(name);
  return it != fields.end() && it->is_string() ? it->get<std::string>() : "";
}

std::string LogLine::FieldsText() const {
  std::string text;
  for (const auto& it : fields.items()) {
    bool is_common = it.key() == "t" || it.key() == "process" ||
                     it.key() == "event" || it.key() == "id";
    if (is_common) continue;
    std::string value = it.value().is_string() ? it.value().get<std::string>()
                                               : it.value().dump();
    absl::StrAppend(&text, text.empty() ? "" : " ", it.key(), "=", value);
  }
  return text;
}

std::optional<LogLine> ParseLogLine(const std::string& line) {
  size_t begin = line.find('{');
  if (begin == std::string::npos) return std::nullopt;
  nlohmann::json json =
      nlohmann::json::parse(line.substr(begin), nullptr, false);
  bool is_event = json.is_object() && json.contains("event") &&
                  json.contains("process") && json.contains("t") &&
                  json["event"].is_string() && json["process"].is_string() &&
                  json["t"].is_number();
  if (!is_event) return std::nullopt;
  LogLine out;
  out.seconds = json["t"].get<double>();
  out.process = json["process"].get<std::string>();
  out.event = json["event"].get<std::string>();
  out.fields = std::move(json);
  return out;
}

}  // namespace chervilwick
