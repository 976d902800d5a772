// RFC 7396 merge patches.

#include "chervilwick/config/merge_patch.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace chervilwick {
namespace {

using nlohmann::json;

json ParseObject(const std::string& text) {
  json value = json::parse(text, nullptr, false);
  return value.is_object() ? value : json(json::value_t::discarded);
}

json DiffObjects(const json& from, const json& to) {
  json patch = json::object();
  for (const auto& [key, value] : from.items()) {
    if (!to.contains(key)) patch[key] = nullptr;
  }
  for (const auto& [key, value] : to.items()) {
    auto it = from.find(key);
    if (it != from.end() && *it == value) continue;
    bool both_objects =
        it != from.end() && it->is_object() && value.is_object();
    patch[key] = both_objects ? DiffObjects(*it, value) : value;
  }
  return patch;
}

void CollectPaths(const json& patch, const std::string& path,
                  std::vector<std::string>& paths) {
  if (!patch.is_object() || patch.empty()) {
    paths.push_back(path);
    return;
  }
  for (const auto& [key, value] : patch.items()) {
    std::string escaped = absl::StrReplaceAll(key, {{"~", "~0"}, {"/", "~1"}});
    CollectPaths(value, absl::StrCat(path, "/", escaped), paths);
  }
}

// Returns whether `path` equals `other` or is below it.
bool IsWithin(const std::string& path, const std::string& other) {
  return path == other || absl::StartsWith(path, other + "/");
}

}  // namespace

std::optional<std::string> ApplyMergePatch(const std::string& content,
                                           const std::string& patch) {
  json target = ParseObject(content);
  json change = ParseObject(patch);
  if (target.is_discarded() || change.is_discarded()) return std::nullopt;
  target.merge_patch(change);
  return target.dump();
}

std::string MakeMergePatch(const std::string& from, const std::string& to) {
  return DiffObjects(ParseObject(from), ParseObject(to)).dump();
}

std::vector<std::string> PatchedPaths(const std::string& patch) {
  std::vector<std::string> paths;
  json change = ParseObject(patch);
  if (change.is_object() && !change.empty()) CollectPaths(change, "", paths);
  return paths;
}

std::vector<std::string> ConflictingPaths(const std::string& patch,
                                          const std::string& other) {
  std::vector<std::string> conflicts;
  std::vector<std::string> others = PatchedPaths(other);
  for (const std::string& path : PatchedPaths(patch)) {
    bool overlaps =
        std::any_of(others.begin(), others.end(), [&](const std::string& it) {
          return IsWithin(path, it) || IsWithin(it, path);
        });
    if (overlaps) conflicts.push_back(path);
  }
  return conflicts;
}

}  // namespace chervilwick
