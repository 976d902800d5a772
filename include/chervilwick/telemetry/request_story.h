// What decision logs tell of one request.

#ifndef CHERVILWICK_TELEMETRY_REQUEST_STORY_H_
#define CHERVILWICK_TELEMETRY_REQUEST_STORY_H_

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace chervilwick {

// One line of a decision log.
struct StoryLine {
  double seconds = 0;  // by the process's own clock
  std::string process;
  std::string event;
  std::string fields;       // the others, as name=value
  bool is_context = false;  // not of the request itself
};

struct RequestStory {
  std::vector<StoryLine> lines;
  // From the last line of the request; empty while it is open.
  std::string outcome;
  std::string reason;
};

// Reads decision logs; text before the JSON object of a line is skipped.
// Returns the lines of the request, by process and time, and between them what
// changed in the same processes: backend servers, store, peers, versions,
// settings, shutdown. Nothing if the id is not found.
std::optional<RequestStory> ReadStory(std::istream& logs,
                                      const std::string& request_id);
std::string FormatStory(const RequestStory& story);

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_REQUEST_STORY_H_
