// Bounded recorder of spans on the OpenTracing API.

#ifndef CHERVILWICK_TELEMETRY_SPAN_RECORDER_H_
#define CHERVILWICK_TELEMETRY_SPAN_RECORDER_H_

#include <opentracing/tracer.h>

#include <memory>
#include <string>

#include "chervilwick/kernel/kernel.h"
#include "chervilwick/telemetry/span.h"

namespace chervilwick {

// Keeps the latest spans of this process and exports them as JSON. Thread-safe.
class SpanRecorder : public Service {
 public:
  explicit SpanRecorder(std::string process);
  ~SpanRecorder() override;

  void Record(const SpanEnded& span);
  // JSON array of the spans of a trace id, or of all kept when it is empty.
  std::string ExportJson(const std::string& trace_id) const;

 private:
  class Store;

  const std::string process_;
  Store* store_;  // owned by the tracer
  std::shared_ptr<opentracing::Tracer> tracer_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_SPAN_RECORDER_H_
