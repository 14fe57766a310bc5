#ifndef KNAPWEEDLIFT_DRIVERS_LOG_H_
#define KNAPWEEDLIFT_DRIVERS_LOG_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "core/time.h"

namespace knapweedlift {

// Write one JSON line to standard output with the keys "time", "level" and
// "event" in addition to `fields`. They never wait for the reader: lines beyond
// a bounded queue are dropped and counted, and the line "log_lines_dropped"
// says how many once the reader has room. Warnings and errors have a field
// "action" that tells the operator what to do. Lines of an event beyond the
// limit per second are suppressed and counted.
void LogInfo(const std::string& event, nlohmann::json fields);
void LogWarning(const std::string& event, nlohmann::json fields);
void LogError(const std::string& event, nlohmann::json fields);

// Writes a line of level "info" without rate limiting, for callers that limit
// their lines themselves.
void LogInfoUnlimited(const std::string& event, nlohmann::json fields);

// Writes lines that the reader had no room for before.
void WriteQueuedLogLines();

// Writes the queued lines before the program ends; those that the reader has no
// room for until the deadline are lost.
void FlushLog(TimePoint deadline);

// Returns the number of dropped lines by event since the last call, and resets
// it.
std::map<std::string, uint64_t> TakeDroppedLineCounts();

// Sets the maximum number of lines per second for each event. The default
// is 20.
void SetLogRateLimit(uint64_t lines_per_second);

// Returns the number of suppressed lines by event since the last call, and
// resets it.
std::map<std::string, uint64_t> TakeSuppressedLineCounts();

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_LOG_H_
