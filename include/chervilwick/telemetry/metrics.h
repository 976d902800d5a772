// Metrics in the Prometheus text format, made from counters when asked for.

#ifndef CHERVILWICK_TELEMETRY_METRICS_H_
#define CHERVILWICK_TELEMETRY_METRICS_H_

#include <string>
#include <vector>

namespace chervilwick {

enum class MetricType { kCounter, kGauge };

struct MetricLabel {
  std::string name;
  std::string value;
};

struct MetricSample {
  std::string name;
  std::string help;
  MetricType type = MetricType::kCounter;
  double value = 0;
  std::vector<MetricLabel> labels;
};

// Renders samples; those of the same name form one family.
std::string RenderMetrics(const std::vector<MetricSample>& samples);

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_METRICS_H_
