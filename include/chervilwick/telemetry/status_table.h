// The state of a front as a table.

#ifndef CHERVILWICK_TELEMETRY_STATUS_TABLE_H_
#define CHERVILWICK_TELEMETRY_STATUS_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace chervilwick {

// Formats what a front's control address serves at /status. Fields that are
// missing, as from an older front, are shown as "-".
std::string FormatFrontStatus(const nlohmann::json& status);

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_STATUS_TABLE_H_
