// What decision logs tell of one request.

#include "chervilwick/telemetry/request_story.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "chervilwick/telemetry/log_line.h"

namespace chervilwick {
namespace {

// Changes that long before and after a request are shown with it.
constexpr double kContextSeconds = 2.0;

struct Span {
  double first = 0;
  double last = 0;
};

StoryLine ToStoryLine(const LogLine& from) {
  return {from.seconds, from.process, from.event, from.FieldsText()};
}

}  // namespace

std::optional<RequestStory> ReadStory(std::istream& logs,
                                      const std::string& request_id) {
  RequestStory story;
  std::map<std::string, Span> spans;
  std::vector<StoryLine> others;
  std::string text;
  while (std::getline(logs, text)) {
    std::optional<LogLine> from = ParseLogLine(text);
    if (!from) continue;
    StoryLine line = ToStoryLine(*from);
    if (!from->fields.contains("id")) {
      line.is_context = true;
      others.push_back(std::move(line));
      continue;
    }
    if (from->Text("id") != request_id) continue;
    auto [it, is_new] =
        spans.try_emplace(line.process, Span{line.seconds, line.seconds});
    it->second.last = std::max(it->second.last, line.seconds);
    bool is_end =
        line.event == "request_done" || line.event == "request_rejected";
    if (is_end) {
      story.outcome = from->Text("outcome");
      if (story.outcome.empty()) story.outcome = "rejected";
      story.reason = from->Text("reason");
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
