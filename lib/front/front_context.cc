// State shared by the components of a front.

#include "chervilwick/front/front_context.h"

#include <ctime>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace chervilwick {
namespace {

// Part of the memory limit for answers that are being read. Requests, unsent
// output and everything else share the rest.
constexpr uint64_t kAnswerMemoryShare = 5;

absl::Time BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace

std::string FingerprintText(Fingerprint fingerprint) {
  return absl::StrCat(absl::Hex(fingerprint.value(), absl::kZeroPad16));
}

std::string FingerprintText(const std::vector<Fingerprint>& fingerprints) {
  return absl::StrJoin(fingerprints, ",", [](std::string* out, Fingerprint it) {
    out->append(FingerprintText(it));
  });
}

FrontContext::FrontContext(EventLoop& event_loop,
                           const ExternalProtocol& outside,
                           const FrontSettings& front_settings,
                           int log_descriptor)
    : loop(event_loop),
      protocol(outside),
      settings(front_settings),
      log(log_descriptor, front_settings.name),
      client(event_loop, front_settings.contact_limit),
      scheduler(backends, ZoneName(front_settings.zone),
                StreamSchedulerOptions()),
      quota({front_settings.retry_ratio, front_settings.retry_slack,
             front_settings.retry_window},
            event_loop.Now()),
      accounts({front_settings.account_window, front_settings.account_excess,
                front_settings.account_slack}),
      answers(front_settings.memory_limit / kAnswerMemoryShare),
      boot_time(BootTime) {}

void FrontContext::RecordAnswer(const BackendName& backend,
                                const ResponseMetadata& facts) {
  if (facts.is_wrong_server) return;
  BackendState* state = backends.Find(backend);
  if (state == nullptr) return;
  state->last_alive = loop.Now();
  if (facts.load) state->time_percent = facts.load->time_percent;
  absl::Time now = loop.Now();
  if (facts.is_leaving && backends.ReportLeaving(backend, now)) {
    log.Write(now, "backend",
              {{"backend", backend.value()}, {"change", "announced leaving"}});
    client.Forget(state->record.endpoint);
    wake_scheduler();
  }
  if (facts.retry_delay &&
      backends.ReportPauseRequest(backend, now + *facts.retry_delay, now)) {
    log.Write(now, "backend",
              {{"backend", backend.value()},
               {"change", "asked for quiet"},
               {"quiet_ms", *facts.retry_delay}});
  }
}

}  // namespace chervilwick
