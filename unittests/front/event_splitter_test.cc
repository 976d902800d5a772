// Events of one stream that several engines send.

#include "chervilwick/front/event_splitter.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

std::string Events(uint64_t from, uint64_t to, uint64_t step = 1) {
  std::string out;
  for (uint64_t it = from; it <= to; it += step) {
    absl::StrAppend(&out, "id: ", it, "\ndata: e", it, "\n\n");
  }
  return out;
}

// What is forwarded of a second run after a first one.
std::string SecondRun(const std::string& first, const std::string& second) {
  EventSplitter splitter;
  splitter.Append(first);
  splitter.BeginRun(splitter.last_id());
  std::string out = splitter.Append(second);
  return splitter.IsOutOfOrder() ? out + "!" : out;
}

TEST_CASE("resumed run goes on at the event after the last one", "[splitter]") {
  CHECK(SecondRun(Events(1, 3), Events(4, 6)) == Events(4, 6));
  CHECK(SecondRun(Events(1, 3) + "id: 4\nda", Events(4, 6)) == Events(4, 6));
  CHECK(SecondRun(Events(1, 3), Events(1, 6)) == "!");
  CHECK(SecondRun(Events(1, 3), Events(3, 6)) == "!");
  CHECK(SecondRun(Events(1, 3), Events(5, 6)) == "!");
  CHECK(SecondRun(Events(1, 3), Events(4, 5) + Events(5, 6)) ==
        Events(4, 5) + "!");
  CHECK(SecondRun(Events(1, 3), "data: error\n\n" + Events(4, 6)) == "!");
  CHECK(SecondRun(Events(1, 3), ": alive\n\n\r\n" + Events(4, 6)) ==
        Events(4, 6));
  CHECK(SecondRun(Events(1, 3), "HTTP/1.1 500 Error\r\n\r\n").empty());
}

TEST_CASE("ids that were not consecutive may skip, but not go back",
          "[splitter]") {
  CHECK(SecondRun(Events(2, 6, 2), Events(8, 12, 2)) == Events(8, 12, 2));
  CHECK(SecondRun(Events(2, 6, 2), Events(6, 12, 2)) == "!");
}

TEST_CASE("stream can be resumed where its last event has an id",
          "[splitter]") {
  EventSplitter splitter;
  CHECK(splitter.CanResume());
  splitter.Append("data: a\n\n");
  CHECK_FALSE(splitter.CanResume());
  splitter.Append(Events(1, 1) + ": alive\n\n");
  CHECK(splitter.CanResume());
}

TEST_CASE("only a part of an event counts as one that broke off",
          "[splitter]") {
  for (const char* part : {"i", "id: 4\n", "data: x", "\nid: 4\r\n", "{}"}) {
    EventSplitter splitter;
    splitter.Append(part);
    CHECK(splitter.HasPartialEvent());
  }
  for (const char* part : {"", "\n", "\r\n", ": alive", ": alive\n"}) {
    EventSplitter splitter;
    splitter.Append(part);
    CHECK_FALSE(splitter.HasPartialEvent());
  }
}

TEST_CASE("lines end with LF, CR LF or CR, in whatever pieces they come",
          "[splitter]") {
  for (const char* line_end : {"\n", "\r\n", "\r"}) {
    std::string events;
    for (char c : Events(1, 3)) {
      events += c == '\n' ? line_end : std::string(1, c);
    }
    for (size_t width : {1, 2, 3, 5, 100}) {
      EventSplitter splitter;
      std::string out;
      for (size_t at = 0; at < events.size(); at += width) {
        absl::StrAppend(&out, splitter.Append(events.substr(at, width)));
      }
      CHECK(out == events);
      CHECK(splitter.events() == 3);
      CHECK_FALSE(splitter.HasPartialEvent());
      CHECK(splitter.UnfinishedLine().empty());
    }
  }
}

TEST_CASE("no event is forwarded before its end", "[splitter]") {
  std::string event = "id: 1\r\ndata: e\r\n\r\n";
  for (size_t cut = 0; cut < event.size(); ++cut) {
    EventSplitter splitter;
    CHECK(splitter.Append(event.substr(0, cut)).empty());
    CHECK(splitter.HasPartialEvent() == (cut > 0));
    CHECK(splitter.Append(event.substr(cut)) == event);
  }
}

TEST_CASE("unfinished comment is told from one that has ended", "[splitter]") {
  EventSplitter splitter;
  splitter.Append(Events(1, 1) + ": ali");
  CHECK(splitter.UnfinishedLine() == ": ali");
  splitter.Append("ve\n");
  CHECK(splitter.UnfinishedLine().empty());
  CHECK_FALSE(splitter.HasPartialEvent());
}

// Cuts the text at the given places, each taken modulo what is left.
std::vector<std::string> Pieces(std::string text,
                                const std::vector<size_t>& cuts) {
  std::vector<std::string> out;
  for (size_t it : cuts) {
    size_t n = it % (text.size() + 1);
    out.push_back(text.substr(0, n));
    text.erase(0, n);
  }
  out.push_back(text);
  return out;
}

TEST_CASE(
    "property: a client sees each event once and in order, however runs "
    "break off and overlap",
    "[splitter]") {
  CHECK(rc::check([](const std::vector<std::pair<uint8_t, uint8_t>>& runs,
                     const std::vector<size_t>& cuts, uint8_t torn) {
    EventSplitter splitter;
    std::string seen;
    uint64_t last = 0;
    for (const auto& [start, length] : runs) {
      bool is_first = seen.empty();
      splitter.BeginRun(splitter.last_id());
      uint64_t from = is_first ? 1
                               : last - std::min<uint64_t>(last, 2) +
                                     start % 5;  // two back to two on
      uint64_t to = from + length % 6;
      std::string text = Events(from, to);
      text.resize(text.size() - std::min<size_t>(text.size(), torn % 8));
      for (const std::string& it : Pieces(text, cuts)) {
        absl::StrAppend(&seen, splitter.Append(it));
      }
      last = splitter.last_id().value_or(0);
      RC_ASSERT(seen == Events(1, last));
    }
  }));
}

}  // namespace
}  // namespace chervilwick
