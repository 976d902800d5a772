// Calls on the administration interface of entries.

#ifndef CHERVILWICK_TOOLS_CTL_CLIENT_H_
#define CHERVILWICK_TOOLS_CTL_CLIENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace chervilwick {

// Answer of an entry.
struct AdminAnswer {
  int http_status = 0;
  nlohmann::json body;
};

// Asks entries in turn until one answers.
class AdminClient {
 public:
  explicit AdminClient(std::vector<std::string> entries)
      : entries_(std::move(entries)) {}

  // Only requests that may be repeated are passed on to the next entry.
  std::optional<AdminAnswer> Get(const std::string& path);
  // A submission carries its patch id, so that asking another entry is safe.
  std::optional<AdminAnswer> Post(const std::string& path,
                                  const nlohmann::json& body);
  std::optional<AdminAnswer> GetFrom(const std::string& entry,
                                     const std::string& path);
  const std::vector<std::string>& entries() const { return entries_; }
  const std::string& last_error() const { return last_error_; }

 private:
  const std::vector<std::string> entries_;
  std::string last_error_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_CTL_CLIENT_H_
