// RFC 7396 merge patches on the content of configuration versions.

#ifndef CHERVILWICK_CONFIG_MERGE_PATCH_H_
#define CHERVILWICK_CONFIG_MERGE_PATCH_H_

#include <optional>
#include <string>
#include <vector>

namespace chervilwick {

// Returns the canonical JSON of `content` with `patch` applied, or nothing when
// either is not a JSON object.
std::optional<std::string> ApplyMergePatch(const std::string& content,
                                           const std::string& patch);

// Returns the patch that turns `from` into `to`; both are JSON objects without
// null members.
std::string MakeMergePatch(const std::string& from, const std::string& to);

// JSON pointers of the members that a patch sets or removes.
std::vector<std::string> PatchedPaths(const std::string& patch);

// Paths of `patch` that are equal to, above or below a path of `other`.
std::vector<std::string> ConflictingPaths(const std::string& patch,
                                          const std::string& other);

}  // namespace chervilwick

#endif  // CHERVILWICK_CONFIG_MERGE_PATCH_H_
