// Tests of settings validation and of the settings reference page.

#include "chervilwick/settings/settings.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

namespace chervilwick {
namespace {

constexpr char kValidSettings[] =
    "name: e0\nzone: a\nlisten: 127.0.0.1:7000\nhttp: 127.0.0.1:8000\n"
    "store: 127.0.0.1:2379\nhost_list: 127.0.0.1:2380\n";

class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    std::ofstream out(name_);
    out << text;
  }
  ~TemporaryFile() { std::remove(name_.c_str()); }
  const std::string& name() const { return name_; }

 private:
  std::string name_ = "settings_test.yaml";
};

std::string ErrorOf(const std::string& text) {
  TemporaryFile file(text);
  SettingsError error;
  CHECK_FALSE(LoadEntrySettings(file.name(), error).has_value());
  return error.text;
}

TEST_CASE("valid settings are loaded with their units", "[settings]") {
  TemporaryFile file(std::string(kValidSettings) +
                     "shutdown_limit: 5s\nmax_body: 2MiB\n");
  SettingsError error;
  std::optional<EntrySettings> settings = LoadEntrySettings(file.name(), error);
  REQUIRE(settings.has_value());
  CHECK(settings->shutdown_limit == absl::Seconds(5));
  CHECK(settings->max_body_bytes == 2U << 20);
}

TEST_CASE("a settings error names the file, line, key and allowed values",
          "[settings]") {
  CHECK(ErrorOf(std::string(kValidSettings) + "colour: red\n")
            .find("settings_test.yaml:7: colour: unknown key; allowed are") ==
        0);
  CHECK(ErrorOf(std::string(kValidSettings) + "shutdown_limit: 5\n") ==
        "settings_test.yaml:7: shutdown_limit: must be a duration with its "
        "unit, from 1s to 1h");
  CHECK(ErrorOf(std::string(kValidSettings) + "max_connections: 3\n") ==
        "settings_test.yaml:7: max_connections: must be a whole number from 8 "
        "to 20000");
  CHECK(ErrorOf("name: e0\n").find("zone: is missing") != std::string::npos);
  CHECK(ErrorOf(std::string(kValidSettings) + "name: e1\n")
            .find("is set twice") != std::string::npos);
  CHECK(ErrorOf("name: e0\nzone: a\nlisten: localhost:7000\n")
            .find("must be an IP address with a port") != std::string::npos);
  CHECK(ErrorOf("name: [e0\n").find("settings_test.yaml:") == 0);
  CHECK(ErrorOf("- a\n").find("must be a map") != std::string::npos);
}

TEST_CASE("a missing settings file is reported", "[settings]") {
  SettingsError error;
  CHECK_FALSE(LoadAgentSettings("no-such.yaml", error).has_value());
  CHECK(error.text == "no-such.yaml: can't be read");
}

TEST_CASE("the reference page lists every settings key and its allowed values",
          "[settings]") {
  std::ifstream file(CHERVILWICK_SOURCE_DIR "/docs/operations/settings.md");
  std::stringstream text;
  text << file.rdbuf();
  std::string page = text.str();
  REQUIRE_FALSE(page.empty());
  for (const auto& keys :
       {EntrySettingsKeys(), AgentSettingsKeys(), FrontSettingsKeys()}) {
    for (const SettingsKey& it : keys) {
      INFO(it.key);
      CHECK(page.find("| `" + it.key + "` | " + it.allowed) !=
            std::string::npos);
    }
  }
}

}  // namespace
}  // namespace chervilwick
