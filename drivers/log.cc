#include "drivers/log.h"

#include <easylogging++.h>

#include <memory>
#include <mutex>
#include <utility>

#include "absl/base/const_init.h"
#include "absl/synchronization/mutex.h"
#include "drivers/clock.h"
#include "drivers/log_rate_limiter.h"

// Easylogging++ is configured by the first line that is written, so that its
// setup does not delay the start of the program.
INITIALIZE_NULL_EASYLOGGINGPP

namespace knapweedlift {
namespace {

constexpr uint64_t kDefaultLinesPerSecond = 20;

ABSL_CONST_INIT absl::Mutex limiter_mutex(absl::kConstInit);
LogRateLimiter limiter ABSL_GUARDED_BY(limiter_mutex){
    .lines_per_second = kDefaultLinesPerSecond};

bool AllowEventLine(const std::string& event) {
  absl::MutexLock lock(&limiter_mutex);
  return AllowLine(limiter, event, Now());
}

std::string FormatLine(const char* level, const std::string& event,
                       nlohmann::json fields) {
  if (!fields.is_object()) fields = nlohmann::json::object();
  fields["time"] = WallClockText();
  fields["level"] = level;
  fields["event"] = event;
  return fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void ConfigureEasylogging() {
  const auto storage = std::make_shared<el::base::Storage>(
      el::LogBuilderPtr(new el::base::DefaultLogBuilder()));
  el::Helpers::setStorage(storage);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void EnsureLibraryConfigured() {
  static std::once_flag once;
  std::call_once(once, ConfigureEasylogging);
}

}  // namespace

void LogInfo(const std::string& event, nlohmann::json fields) {
  if (AllowEventLine(event)) LogInfoUnlimited(event, std::move(fields));
}

void LogInfoUnlimited(const std::string& event, nlohmann::json fields) {
  EnsureLibraryConfigured();
  LOG(INFO) << FormatLine("info", event, std::move(fields));
}

void LogWarning(const std::string& event, nlohmann::json fields) {
  if (!AllowEventLine(event)) return;
  EnsureLibraryConfigured();
  LOG(WARNING) << FormatLine("warning", event, std::move(fields));
}

void LogError(const std::string& event, nlohmann::json fields) {
  if (!AllowEventLine(event)) return;
  EnsureLibraryConfigured();
  LOG(ERROR) << FormatLine("error", event, std::move(fields));
}

void SetLogRateLimit(uint64_t lines_per_second) {
  absl::MutexLock lock(&limiter_mutex);
  limiter.lines_per_second = lines_per_second;
}

std::map<std::string, uint64_t> TakeSuppressedLineCounts() {
  absl::MutexLock lock(&limiter_mutex);
  return TakeSuppressedCounts(limiter);
}

}  // namespace knapweedlift
