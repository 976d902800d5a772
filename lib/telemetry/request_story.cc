// What decision logs tell of one request.

#include "chervilwick/telemetry/request_story.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

// Changes that long before and after a request are shown with it.
constexpr double kContextSeconds = 2.0;

struct Span {
  double first = 0;
  double last = 0;
};

std::optional<Json> ParseLine(const std::string& line) {
  size_t begin = line.find('{');
  if (begin == std::string::npos) return std::nullopt;
  Json json = Json::parse(line.substr(begin), nullptr, false);
  bool is_event = json.is_object() && json.contains("event") &&
                  json.contains("process") && json.contains("t") &&
                  json["event"].is_string() && json["process"].is_string() &&
                  json["t"].is_number();
  if (!is_event) return std::nullopt;
  return json;
}

StoryLine ToStoryLine(const Json& json) {
  StoryLine line;
  line.seconds = json["t"].get<double>();
  line.process = json["process"].get<std::string>();
  line.event = json["event"].get<std::string>();
  for (const auto& it : json.items()) {
    bool is_shown = it.key() == "t" || it.key() == "process" ||
                    it.key() == "event" || it.key() == "id";
    if (is_shown) continue;
    std::string value = it.value().is_string() ? it.value().get<std::string>()
                                               : it.value().dump();
    absl::StrAppend(&line.fields, line.fields.empty() ? "" : " ", it.key(), "=",
                    value);
  }
  return line;
}

std::string TextOf(const Json& json, const char* name) {
  auto it = json.find(name);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

std::optional<RequestStory> ReadStory(std::istream& logs,
                                      const std::string& request_id) {
  RequestStory story;
  std::map<std::string, Span> spans;
  std::vector<StoryLine> others;
  std::string text;
  while (std::getline(logs, text)) {
    std::optional<Json> json = ParseLine(text);
    if (!json) continue;
    StoryLine line = ToStoryLine(*json);
    if (!json->contains("id")) {
      line.is_context = true;
      others.push_back(std::move(line));
      continue;
    }
    if (TextOf(*json, "id") != request_id) continue;
    auto [it, is_new] =
        spans.try_emplace(line.process, Span{line.seconds, line.seconds});
    it->second.last = std::max(it->second.last, line.seconds);
    bool is_end =
        line.event == "request_done" || line.event == "request_rejected";
    if (is_end) {
      story.outcome = TextOf(*json, "outcome");
      if (story.outcome.empty()) story.outcome = "rejected";
      story.reason = TextOf(*json, "reason");
    }
    story.lines.push_back(std::move(line));
  }
  if (story.lines.empty()) return std::nullopt;
  for (StoryLine& it : others) {
    auto span = spans.find(it.process);
    if (span == spans.end()) continue;
    bool is_near = it.seconds >= span->second.first - kContextSeconds &&
                   it.seconds <= span->second.last + kContextSeconds;
    if (is_near) story.lines.push_back(std::move(it));
  }
  std::stable_sort(story.lines.begin(), story.lines.end(),
                   [](const StoryLine& a, const StoryLine& b) {
                     return std::tie(a.process, a.seconds) <
                            std::tie(b.process, b.seconds);
                   });
  return story;
}

std::string FormatStory(const RequestStory& story) {
  std::string out;
  for (const StoryLine& it : story.lines) {
    absl::StrAppend(
        &out,
        absl::StrFormat("%12.3f %s %s%s %s\n", it.seconds, it.process,
                        it.is_context ? "  (" : "",
                        it.event + (it.is_context ? ")" : ""), it.fields));
  }
  absl::StrAppend(&out,
                  "outcome: ", story.outcome.empty() ? "open" : story.outcome);
  if (!story.reason.empty()) absl::StrAppend(&out, " (", story.reason, ")");
  return out + "\n";
}

}  // namespace chervilwick
