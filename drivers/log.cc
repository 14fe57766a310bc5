#include "drivers/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <memory>
#include <mutex>
#include <utility>

#include "absl/base/const_init.h"
#include "absl/synchronization/mutex.h"
#include "drivers/clock.h"
#include "drivers/log_rate_limiter.h"
#include "drivers/output_queue.h"

// Easylogging++ is configured by the first line that is written, so that its
// setup does not delay the start of the program.
INITIALIZE_NULL_EASYLOGGINGPP

namespace knapweedlift {
namespace {

constexpr uint64_t kDefaultLinesPerSecond = 20;
constexpr char kDispatchCallback[] = "output_queue";

ABSL_CONST_INIT absl::Mutex limiter_mutex(absl::kConstInit);
LogRateLimiter limiter ABSL_GUARDED_BY(limiter_mutex){
    .lines_per_second = kDefaultLinesPerSecond};

// Lines on their way to standard output.
struct LogOutput {
  OutputQueue queue{STDOUT_FILENO};
  // Lines dropped while the queue was full, by event: since the reader last had
  // room, and since they were last taken.
  std::map<std::string, uint64_t> unreported_drops;
  std::map<std::string, uint64_t> untaken_drops;
};

ABSL_CONST_INIT absl::Mutex output_mutex(absl::kConstInit);

LogOutput& Output() ABSL_EXCLUSIVE_LOCKS_REQUIRED(output_mutex) {
  static auto* const output = new LogOutput();
  return *output;
}

// Passes formatted lines to the queue.
class QueueCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    absl::MutexLock lock(&output_mutex);
    Output().queue.Append(data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), /*appendNewLine=*/true));
  }
};

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
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<QueueCallback>(kDispatchCallback);
}

void EnsureLibraryConfigured() {
  static std::once_flag once;
  std::call_once(once, ConfigureEasylogging);
}

// Returns whether there is room for a line of the event, and counts it as
// dropped if not.
bool HasRoomFor(const std::string& event) {
  absl::MutexLock lock(&output_mutex);
  LogOutput& output = Output();
  output.queue.Write();
  if (!output.queue.full()) return true;
  ++output.unreported_drops[event];
  ++output.untaken_drops[event];
  return false;
}

// Returns the lines that were dropped until the reader had room again.
std::map<std::string, uint64_t> TakeUnreportedDrops() {
  absl::MutexLock lock(&output_mutex);
  return std::exchange(Output().unreported_drops, {});
}

// Writes a line that is within the rate limit. `write` passes it to the
// library, with its level.
template <typename Write>
void WriteLine(const char* level, const std::string& event,
               nlohmann::json fields, Write write) {
  if (!HasRoomFor(event)) return;
  EnsureLibraryConfigured();
  const auto drops = TakeUnreportedDrops();
  if (!drops.empty()) {
    LOG(INFO) << FormatLine("info", "log_lines_dropped", {{"lines", drops}});
  }
  write(FormatLine(level, event, std::move(fields)));
}

}  // namespace

void LogInfo(const std::string& event, nlohmann::json fields) {
  if (AllowEventLine(event)) LogInfoUnlimited(event, std::move(fields));
}

void LogInfoUnlimited(const std::string& event, nlohmann::json fields) {
  WriteLine("info", event, std::move(fields),
            [](const std::string& line) { LOG(INFO) << line; });
}

void LogWarning(const std::string& event, nlohmann::json fields) {
  if (!AllowEventLine(event)) return;
  WriteLine("warning", event, std::move(fields),
            [](const std::string& line) { LOG(WARNING) << line; });
}

void LogError(const std::string& event, nlohmann::json fields) {
  if (!AllowEventLine(event)) return;
  WriteLine("error", event, std::move(fields),
            [](const std::string& line) { LOG(ERROR) << line; });
}

void WriteQueuedLogLines() {
  absl::MutexLock lock(&output_mutex);
  Output().queue.Write();
}

void FlushLog(TimePoint deadline) {
  absl::MutexLock lock(&output_mutex);
  Output().queue.Flush(deadline);
}

std::map<std::string, uint64_t> TakeDroppedLineCounts() {
  absl::MutexLock lock(&output_mutex);
  return std::exchange(Output().untaken_drops, {});
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
