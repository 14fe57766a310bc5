#ifndef KNAPWEEDLIFT_DRIVERS_LOG_H_
#define KNAPWEEDLIFT_DRIVERS_LOG_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace knapweedlift {

// Each writes one JSON line with "time", "level" and "event", and `fields`, to
// standard output. Warnings and errors carry a field "action" that tells the
// operator what to do. Lines of one event beyond the limit of a second are left
// out and counted.
void LogInfo(const std::string& event, nlohmann::json fields);
void LogWarning(const std::string& event, nlohmann::json fields);
void LogError(const std::string& event, nlohmann::json fields);

// Writes a line of information whose caller bounds their number.
void LogInfoUnlimited(const std::string& event, nlohmann::json fields);

// The limit of one event's lines in a second, 20 until it is set.
void SetLogRateLimit(uint64_t lines_per_second);

// How many lines were left out since the last call, by event.
std::map<std::string, uint64_t> TakeSuppressedLineCounts();

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_LOG_H_
