// Days as pictures.

#include "day_plot.h"

#include <algorithm>
#include <functional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace chervilwick {
namespace {

// All in SVG units.
constexpr double kWidth = 380;
constexpr double kHeight = 130;
constexpr double kGap = 50;
constexpr double kTop = 40;

struct Line {
  const char* name;
  const char* color;
  std::function<double(const DaySample&)> value;
};

struct Panel {
  const char* title;
  std::vector<Line> lines;
};

std::vector<Panel> Panels() {
  return {
      {"requests by second of arrival",
       {{"asked", "#999999", [](const DaySample& it) { return it.asked; }},
        {"ideal", "#e08214", [](const DaySample& it) { return it.ideal; }},
        {"on time", "#1b7837",
         [](const DaySample& it) { return it.on_time; }}}},
      {"streams that wait",
       {{"waiting", "#762a83",
         [](const DaySample& it) { return it.waiting; }}}},
      {"memory in use, share",
       {{"memory", "#2166ac", [](const DaySample& it) { return it.memory; }}}},
  };
}

std::string Text(double x, double y, const std::string& text,
                 const char* color = "#000000") {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" fill=\"%s\">%s</text>\n",
                         x, y, color, text);
}

std::string DrawPanel(const Panel& panel, const std::vector<DaySample>& samples,
                      double left, double top) {
  double most = 0;
  for (const Line& line : panel.lines) {
    for (const DaySample& it : samples) most = std::max(most, line.value(it));
  }
  most = std::max(most, 1e-9);
  std::string out = absl::StrFormat(
      "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
      "fill=\"none\" stroke=\"#cccccc\"/>\n",
      left, top, kWidth, kHeight);
  absl::StrAppend(&out, Text(left, top - 6, panel.title),
                  Text(left + 2, top + 11, absl::StrFormat("%.4g", most)));
  double name_at = left + kWidth - 4;
  double last = static_cast<double>(std::max<size_t>(2, samples.size())) - 1;
  for (const Line& line : panel.lines) {
    std::string points;
    for (size_t it = 0; it < samples.size(); ++it) {
      double x = left + kWidth * static_cast<double>(it) / last;
      double y = top + kHeight * (1 - line.value(samples[it]) / most);
      absl::StrAppendFormat(&points, "%.1f,%.1f ", x, y);
    }
    absl::StrAppendFormat(
        &out, "<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>\n",
        line.color, points);
    name_at -= 55;
    absl::StrAppend(&out, Text(name_at, top + 11, line.name, line.color));
  }
  return out;
}

}  // namespace

std::string PlotDays(const std::vector<PlottedDay>& days) {
  std::vector<Panel> panels = Panels();
  double width = kGap + (kWidth + kGap) * static_cast<double>(panels.size());
  double height = (kTop + kHeight + kGap) * static_cast<double>(days.size());
  std::string out = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
      "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"#ffffff\"/>\n",
      width, height);
  double top = kTop;
  for (const PlottedDay& day : days) {
    absl::StrAppend(&out, Text(kGap, top - 22, day.title));
    double left = kGap;
    for (const Panel& panel : panels) {
      absl::StrAppend(&out, DrawPanel(panel, day.report.samples, left, top));
      left += kWidth + kGap;
    }
    top += kTop + kHeight + kGap;
  }
  absl::StrAppend(&out, "</svg>\n");
  return out;
}

}  // namespace chervilwick
