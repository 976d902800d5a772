// Span recording with the OpenTracing mock tracer.

#include "chervilwick/telemetry/span_recorder.h"

#include <opentracing/mocktracer/tracer.h>

#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "chervilwick/support/mutex.h"

namespace chervilwick {
namespace {

constexpr size_t kMaxSpans = 4096;
constexpr size_t kTraceIdDigits = 32;
constexpr size_t kTraceparentFields = 4;

int64_t ToUnixMicros(opentracing::SystemTime time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             time.time_since_epoch())
      .count();
}

std::string TagOf(const opentracing::mocktracer::SpanData& span,
                  const std::string& name) {
  auto it = span.tags.find(name);
  if (it == span.tags.end() || !it->second.is<std::string>()) return "";
  return it->second.get<std::string>();
}

}  // namespace

std::string TraceIdOf(const std::string& traceparent) {
  std::vector<std::string> fields = absl::StrSplit(traceparent, '-');
  bool valid =
      fields.size() == kTraceparentFields && fields[1].size() == kTraceIdDigits;
  return valid ? fields[1] : "";
}

// Receives finished spans from the tracer.
class SpanRecorder::Store : public opentracing::mocktracer::Recorder {
 public:
  void RecordSpan(opentracing::mocktracer::SpanData&& span) noexcept override {
    MutexLock lock(&mutex_);
    spans_.push_back(std::move(span));
    if (spans_.size() > kMaxSpans) spans_.pop_front();
  }

  std::vector<opentracing::mocktracer::SpanData> Select(
      const std::string& trace_id) const {
    MutexLock lock(&mutex_);
    std::vector<opentracing::mocktracer::SpanData> selected;
    for (const auto& it : spans_) {
      if (trace_id.empty() || TagOf(it, "trace_id") == trace_id) {
        selected.push_back(it);
      }
    }
    return selected;
  }

 private:
  mutable Mutex mutex_;
  std::deque<opentracing::mocktracer::SpanData> spans_ ABSL_GUARDED_BY(mutex_);
};

SpanRecorder::SpanRecorder(std::string process) : process_(std::move(process)) {
  auto store = std::make_unique<Store>();
  store_ = store.get();
  opentracing::mocktracer::MockTracerOptions options;
  options.recorder = std::move(store);
  tracer_ =
      std::make_shared<opentracing::mocktracer::MockTracer>(std::move(options));
}

SpanRecorder::~SpanRecorder() = default;

void SpanRecorder::Record(const SpanEnded& span) {
  std::string trace_id = TraceIdOf(span.trace);
  if (trace_id.empty()) return;
  auto started = opentracing::SystemTime(absl::ToChronoTime(span.start));
  auto recorded =
      tracer_->StartSpan(span.name, {opentracing::StartTimestamp(started)});
  recorded->SetTag("trace_id", trace_id);
  recorded->SetTag("process", process_);
  recorded->SetTag("target", span.target);
  recorded->SetTag("result", span.result);
  // The API ends spans by the steady clock.
  auto finished = std::chrono::steady_clock::now() -
                  absl::ToChronoNanoseconds(absl::Now() - span.end);
  recorded->Finish({opentracing::FinishTimestamp(finished)});
}

std::string SpanRecorder::ExportJson(const std::string& trace_id) const {
  nlohmann::json out = nlohmann::json::array();
  for (const auto& it : store_->Select(trace_id)) {
    auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(it.duration);
    out.push_back({{"name", it.operation_name},
                   {"trace_id", TagOf(it, "trace_id")},
                   {"process", TagOf(it, "process")},
                   {"target", TagOf(it, "target")},
                   {"result", TagOf(it, "result")},
                   {"start_unix_us", ToUnixMicros(it.start_timestamp)},
                   {"duration_us", micros.count()}});
  }
  return out.dump();
}

}  // namespace chervilwick
