// Structured lines with log4cplus.

#include "chervilwick/telemetry/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

std::string Format(const std::string& event,
                   const std::vector<LogField>& fields) {
  std::string line = absl::StrCat("event=", event);
  for (const LogField& it : fields) {
    absl::StrAppend(&line, " ", it.name, "=\"", absl::CHexEscape(it.value),
                    "\"");
  }
  return line;
}

log4cplus::Logger ProcessLogger() {
  return log4cplus::Logger::getInstance("chervilwick");
}

}  // namespace

void InitLogging(const std::string& process) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      absl::StrCat("%D{%Y-%m-%dT%H:%M:%S.%q} %p ", process, " %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void LogState(const std::string& event, const std::vector<LogField>& fields) {
  LOG4CPLUS_INFO(ProcessLogger(), Format(event, fields));
}

void LogProblem(const std::string& event, const std::vector<LogField>& fields) {
  LOG4CPLUS_WARN(ProcessLogger(), Format(event, fields));
}

}  // namespace chervilwick
