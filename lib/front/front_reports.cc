// HTTP endpoints of a front for operators and other fronts.

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "chervilwick/front/front_daemon.h"
#include "chervilwick/telemetry/metrics.h"

namespace chervilwick {
namespace {

constexpr char kMetricsPath[] = "/metrics";
constexpr char kStatusPath[] = "/status";

using Json = nlohmann::json;

class SampleList {
 public:
  void Count(const char* name, const char* help, double value,
             std::vector<MetricLabel> labels = {}) {
    samples_.push_back(
        {name, help, MetricType::kCounter, value, std::move(labels)});
  }
  void Gauge(const char* name, const char* help, double value,
             std::vector<MetricLabel> labels = {}) {
    samples_.push_back(
        {name, help, MetricType::kGauge, value, std::move(labels)});
  }
  void Histogram(const std::string& name, const char* help,
                 const LatencyHistogram& counts,
                 const std::vector<MetricLabel>& labels) {
    uint64_t cumulative = 0;
    for (size_t n = 0; n <= LatencyHistogram::kBuckets; ++n) {
      cumulative += counts.counts[n];
      std::vector<MetricLabel> bucket_labels = labels;
      bucket_labels.push_back(
          {"le", n == LatencyHistogram::kBuckets
                     ? std::string("+Inf")
                     : absl::StrCat(LatencyHistogram::UpperBound(n))});
      samples_.push_back({name + "_bucket", help, MetricType::kCounter,
                          static_cast<double>(cumulative), bucket_labels});
    }
    samples_.push_back({name + "_sum", help, MetricType::kCounter,
                        counts.sum_seconds, labels});
    samples_.push_back({name + "_count", help, MetricType::kCounter,
                        static_cast<double>(counts.total), labels});
  }
  std::string Render() const { return RenderMetrics(samples_); }

 private:
  std::vector<MetricSample> samples_;
};

// Returns null for an infinite duration, which stands for a value that is not
// known yet, for example before the store's first answer.
Json MillisecondsOrNull(absl::Duration duration) {
  if (duration == absl::InfiniteDuration()) return nullptr;
  return absl::ToInt64Milliseconds(duration);
}

// Returns the first state that applies, in order of how many requests it keeps
// from the server.
const char* StateName(const BackendState& backend, absl::Time now) {
  if (backend.IsLeaving()) return "draining";
  if (backend.removal_due) return "lapsed";
  if (backend.changing_until > now) return "changing";
  if (backend.pause_ends_at > now) return "quiet";
  if (backend.IsSuspect(now)) return "suspect";
  if (backend.full_until > now) return "full";
  return "ready";
}

// Adds the counters of outcomes, refusals and backend errors.
void AddRequestCounters(const FrontStats& stats, SampleList& list) {
  for (const auto& it : stats.outcomes) {
    list.Count("front_requests_total", "Requests that ended, by outcome.",
               static_cast<double>(it.second),
               {{"route", it.first.first}, {"outcome", it.first.second}});
  }
  for (const auto& it : stats.refusals) {
    list.Count("front_refusals_total", "Requests that were refused.",
               static_cast<double>(it.second),
               {{"route", it.first.first}, {"reason", it.first.second}});
  }
  for (const auto& it : stats.backend_errors) {
    list.Count("front_backend_trouble_total", "Calls that went wrong.",
               static_cast<double>(it.second),
               {{"backend", it.first.first}, {"event", it.first.second}});
  }
}

void AddAccountCounters(const FrontStats& stats, SampleList& list) {
  for (const auto& [name, account] : stats.accounts) {
    list.Count("front_account_requests_total", "Requests admitted, by account.",
               static_cast<double>(account.admitted), {{"account", name}});
    list.Count("front_account_units_total",
               "Requests or tokens that have run, by account.",
               static_cast<double>(account.units_run), {{"account", name}});
    list.Count("front_account_waits_total",
               "Times that a request waited for the peers to know the use.",
               static_cast<double>(account.waits), {{"account", name}});
    list.Count("front_account_returned_total",
               "Requests that gave back what they took from the cap.",
               static_cast<double>(account.returned), {{"account", name}});
    for (const auto& [reason, count] : account.refusals) {
      list.Count("front_account_refusals_total",
                 "Requests refused, by account.", static_cast<double>(count),
                 {{"account", name}, {"reason", reason}});
    }
  }
}

void AddLatencies(const FrontStats& stats, SampleList& list) {
  for (const auto& it : stats.answer_time) {
    list.Histogram("front_answer_seconds", "Time to the end of the answer.",
                   it.second, {{"route", it.first}});
  }
  for (const auto& it : stats.first_event) {
    list.Histogram("front_first_event_seconds", "Time to the first event.",
                   it.second, {{"route", it.first}});
  }
  for (const auto& it : stats.queue_time) {
    list.Histogram("front_queue_seconds", "Time until a place was found.",
                   it.second, {{"route", it.first}});
  }
  list.Histogram("front_prompt_seconds", "Time of the prefill step.",
                 stats.prompt_time, {});
}

void AddCounters(const FrontStats& stats, SampleList& list) {
  for (const auto& it : stats.store_calls) {
    list.Count("front_store_calls_total", "Calls to the store, by status.",
               static_cast<double>(it.second), {{"status", it.first}});
  }
  for (const auto& it : stats.origins) {
    list.Count("front_stream_origins_total",
               "Records of where streams began, by what was done.",
               static_cast<double>(it.second), {{"event", it.first}});
  }
  for (const auto& it : stats.start_queries) {
    list.Count("front_start_queries_total",
               "Questions to servers about their starts, by outcome.",
               static_cast<double>(it.second), {{"outcome", it.first}});
  }
  for (const auto& it : stats.lost_runs) {
    list.Count("front_lost_runs_total",
               "Runs that ended without the server's whole answer, by sign.",
               static_cast<double>(it.second), {{"sign", it.first}});
  }
  auto count = [&list](const char* name, const char* help, uint64_t n) {
    list.Count(name, help, static_cast<double>(n));
  };
  count("front_repeated_sends_total", "Sends beyond the first.",
        stats.repeated_sends);
  count("front_quota_refusals_total", "Sends that the retry budget refused.",
        stats.quota_refusals);
  count("front_resumed_streams_total", "Streams that went on elsewhere.",
        stats.resumed_streams);
  count("front_restarts_found_total",
        "Restarts of servers that were found before discovery told.",
        stats.restarts_found);
  count("front_reservations_total", "Places reserved at decode engines.",
        stats.reservations);
  count("front_reservations_dropped_total", "Places reserved and not used.",
        stats.reservations_dropped);
  count("front_foreign_answers_total", "Answers to another request, dropped.",
        stats.mismatched_answers);
  count("front_answers_given_up_total",
        "Answers dropped because no memory was left for them.",
        stats.answers_given_up);
  count("front_unframed_answers_total",
        "Answers without a length that end with their connection.",
        stats.unframed_answers);
  count("front_quarantined_total", "Requests refused as crash suspects.",
        stats.quarantined);
  count("front_store_items_malformed_total", "Store items that name nothing.",
        stats.malformed_items);
  count("front_store_items_outdated_total",
        "Store items that were passed over as older than known ones.",
        stats.outdated_items);
  count("front_process_stalls_total", "Times that the process stood still.",
        stats.stalls);
  count("front_peer_datagrams_bad_total", "Datagrams that were no digest.",
        stats.peer_datagrams_bad);
}

// Path without the positions in lists: the number of labels stays small.
std::string PartOf(const std::string& path) {
  std::string part;
  for (absl::string_view name : absl::StrSplit(path, '/', absl::SkipEmpty())) {
    bool is_position =
        std::all_of(name.begin(), name.end(), absl::ascii_isdigit);
    if (!is_position) absl::StrAppend(&part, "/", name);
  }
  return part;
}

void AddDefects(const RouteTable& table, SampleList& list) {
  std::map<std::string, size_t> counts;
  for (const ConfigDefect& it : table.defects) ++counts[PartOf(it.path)];
  if (table.unlisted_defects > 0) counts["other"] = table.unlisted_defects;
  for (const auto& [part, count] : counts) {
    list.Gauge("front_version_parts_unusable",
               "Parts of the version in force that can't be used.",
               static_cast<double>(count), {{"part", part}});
  }
}

}  // namespace

std::string FrontDaemon::Metrics() const {
  SampleList list;
  AddRequestCounters(context_.stats, list);
  AddAccountCounters(context_.stats, list);
  AddLatencies(context_.stats, list);
  AddCounters(context_.stats, list);
  list.Count("front_log_lines_dropped_total", "Log lines that found no room.",
             static_cast<double>(context_.log.dropped()));
  list.Count("front_backend_connections_total", "Connections made.",
             static_cast<double>(context_.client.connections_made()));
  list.Count("front_clients_cut_off_total",
             "Connections cut for requests or answers that took too long.",
             static_cast<double>(clients_.stalled_clients()));
  list.Count("front_connections_refused_total",
             "Connections closed as there were too many.",
             static_cast<double>(clients_.refused_connections()));
  list.Gauge("process_start_time_seconds", "Start, as Unix time.",
             absl::ToDoubleSeconds(started_ - absl::UnixEpoch()));
  list.Gauge("front_in_flight", "Requests in flight.",
             static_cast<double>(relays_.size()));
  list.Gauge("front_waiting_streams", "Streams without a place.",
             static_cast<double>(context_.scheduler.waiting()));
  list.Gauge("front_peers", "Other fronts that are heard.",
             static_cast<double>(peers_.live_peer_count()));
  list.Gauge("front_version", "Configuration version in force.",
             static_cast<double>(table_.version.value()));
  AddDefects(table_, list);
  list.Gauge("front_store_age_seconds", "Since the store's last answer.",
             absl::ToDoubleSeconds(loop_.Now() - store_.last_answer()));
  return list.Render();
}

std::string FrontDaemon::Status() {
  absl::Time now = loop_.Now();
  Json backends = Json::array();
  for (const auto& it : context_.backends.all()) {
    const BackendState& backend = it.second;
    BackendUse use = backend.Total();
    backends.push_back({{"id", it.first.value()},
                        {"address", backend.record.endpoint.ToString()},
                        {"service", backend.record.service.value()},
                        {"zone", backend.record.zone.value()},
                        {"stage", StageName(backend.record.stage)},
                        {"state", StateName(backend, now)},
                        {"failure_rate", backend.FailureRate(now)},
                        {"requests", use.requests},
                        {"memory_tokens", use.memory_tokens},
                        {"prompt_tokens", use.prompt_tokens},
                        {"time_percent", backend.time_percent}});
  }
  Json peers = Json::array();
  for (const auto& it : peers_.LastHeardTimes()) {
    peers.push_back(
        {{"name", it.first},
         {"silent_ms", absl::ToInt64Milliseconds(now - it.second)}});
  }
  Json budgets = Json::object();
  for (const auto& it : table_.services) {
    budgets[it.first.value()] = context_.quota.RetriesLeft(it.first, now);
  }
  Json accounts = Json::array();
  for (const auto& it : context_.stats.accounts) {
    std::optional<AccountLevel> cap =
        context_.accounts.LevelOf(AccountName(it.first), now);
    if (!cap) continue;
    accounts.push_back({{"name", it.first},
                        {"left", cap->left},
                        {"capacity", cap->capacity},
                        {"rate_per_s", cap->rate_per_s}});
  }
  Json defects = Json::array();
  for (const ConfigDefect& it : table_.defects) {
    defects.push_back({{"path", it.path}, {"reason", it.reason}});
  }
  Json status = {
      {"name", context_.settings.name},
      {"zone", context_.settings.zone},
      {"ready", IsReady()},
      {"version", table_.version.value()},
      {"unusable_parts", defects},
      {"store_era", store_.revision().era.value()},
      {"store_revision", store_.revision().number},
      {"store_reachable", store_.is_reachable()},
      {"store_age_ms", MillisecondsOrNull(now - store_.last_answer())},
      {"peers", peers},
      {"repeats_left", budgets},
      {"accounts", accounts},
      {"in_flight", relays_.size()},
      {"waiting_streams", context_.scheduler.waiting()},
      {"backends", backends}};
  return status.dump(2) + "\n";
}

void FrontDaemon::OnControlRequest(EventHttpServer& server, ExchangeId id,
                                   const HttpRequest& request) {
  const std::string& target = request.head.target;
  if (target == kMetricsPath) {
    server.Respond(id, {200, {{"Content-Type", "text/plain"}}, Metrics()});
  } else if (target == kStatusPath) {
    server.Respond(id, {200, {{"Content-Type", "application/json"}}, Status()});
  } else if (target == kPeerCopyPath && &server == &control_) {
    server.Respond(id, {200,
                        {{"Content-Type", "application/octet-stream"}},
                        store_.Snapshot()});
  } else {
    server.Respond(id, {404, {}, ""});
  }
}

}  // namespace chervilwick
