// What the parts of a front share.

#include "chervilwick/front/front_context.h"

#include <ctime>

namespace chervilwick {
namespace {

absl::Time BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace

FrontContext::FrontContext(EventLoop& event_loop,
                           const OutsideProtocol& outside,
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
             front_settings.retry_window}),
      boot_time(BootTime) {}

}  // namespace chervilwick
