// Calls on the administration interface.

#include "client.h"

#include <httplib.h>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/host_port.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr int kConnectTimeoutSeconds = 2;
constexpr int kReadTimeoutSeconds = 15;

std::optional<AdminAnswer> ToAnswer(const std::string& entry,
                                    const httplib::Result& result,
                                    std::string& error) {
  if (!result) {
    error = absl::StrCat(entry, ": ", httplib::to_string(result.error()));
    return std::nullopt;
  }
  AdminAnswer answer;
  answer.http_status = result->status;
  answer.body = json::parse(result->body, nullptr, false);
  if (answer.body.is_discarded()) {
    error = absl::StrCat(entry, ": answered something that is not JSON");
    return std::nullopt;
  }
  return answer;
}

httplib::Client Connect(const std::string& entry) {
  HostPort address = SplitAddress(entry);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kConnectTimeoutSeconds);
  client.set_read_timeout(kReadTimeoutSeconds);
  return client;
}

}  // namespace

std::optional<AdminAnswer> AdminClient::GetFrom(const std::string& entry,
                                                const std::string& path) {
  httplib::Client client = Connect(entry);
  return ToAnswer(entry, client.Get(path), last_error_);
}

std::optional<AdminAnswer> AdminClient::Get(const std::string& path) {
  for (const std::string& it : entries_) {
    if (auto answer = GetFrom(it, path)) return answer;
  }
  return std::nullopt;
}

std::optional<AdminAnswer> AdminClient::Post(const std::string& path,
                                             const json& body) {
  for (const std::string& it : entries_) {
    httplib::Client client = Connect(it);
    auto answer = ToAnswer(
        it, client.Post(path, body.dump(), "application/json"), last_error_);
    if (answer) return answer;
  }
  return std::nullopt;
}

}  // namespace chervilwick
