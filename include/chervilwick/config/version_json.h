// JSON encoding of version records, as stored and as shown to operators.

#ifndef CHERVILWICK_CONFIG_VERSION_JSON_H_
#define CHERVILWICK_CONFIG_VERSION_JSON_H_

#include <optional>
#include <string>

#include "chervilwick/wire/messages.h"

namespace chervilwick {

std::string VersionRecordToJson(const VersionRecord& record);
std::optional<VersionRecord> VersionRecordFromJson(const std::string& text);

}  // namespace chervilwick

#endif  // CHERVILWICK_CONFIG_VERSION_JSON_H_
