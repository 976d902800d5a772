// Rendering of metrics with prometheus-cpp.

#include "chervilwick/telemetry/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace chervilwick {
namespace {

prometheus::ClientMetric ToClientMetric(const MetricSample& sample) {
  prometheus::ClientMetric metric;
  for (const MetricLabel& it : sample.labels) {
    metric.label.push_back({it.name, it.value});
  }
  if (sample.type == MetricType::kCounter) {
    metric.counter.value = sample.value;
  } else {
    metric.gauge.value = sample.value;
  }
  return metric;
}

}  // namespace

std::string RenderMetrics(const std::vector<MetricSample>& samples) {
  std::vector<prometheus::MetricFamily> families;
  for (const MetricSample& sample : samples) {
    auto it = std::find_if(families.begin(), families.end(),
                           [&](const prometheus::MetricFamily& family) {
                             return family.name == sample.name;
                           });
    if (it == families.end()) {
      prometheus::MetricFamily family;
      family.name = sample.name;
      family.help = sample.help;
      family.type = sample.type == MetricType::kCounter
                        ? prometheus::MetricType::Counter
                        : prometheus::MetricType::Gauge;
      families.push_back(std::move(family));
      it = families.end() - 1;
    }
    it->metric.push_back(ToClientMetric(sample));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace chervilwick
