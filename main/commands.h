#ifndef KNAPWEEDLIFT_MAIN_COMMANDS_H_
#define KNAPWEEDLIFT_MAIN_COMMANDS_H_

#include <string>
#include <vector>

namespace knapweedlift {

// Exit codes of the program; docs/OPERATIONS.md lists them.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRejected = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;
inline constexpr int kExitCannotServe = 4;

// The functions below run one command each and return its exit code. Results go
// to standard output, errors to standard error.

// Runs the daemon until a signal stops it. With `check_only`, only reports all
// errors in the settings.
int RunServe(const std::string& settings_path, bool check_only);
// Checks a sheet, or its chunks in order; and, unless `against_path` is empty,
// whether it may replace the sheet in that file.
int RunCheck(const std::vector<std::string>& paths,
             const std::string& against_path);

// Checks a dump of the platform's configuration.
int RunCheckPlatformConfig(const std::string& path);

// Lists the differences between two sheets.
int RunDiff(const std::string& before_path, const std::string& after_path);

// Prints the status of a daemon, as text or as JSON. `admin` is ADDRESS:PORT of
// the daemon's admin endpoint.
int RunStatus(const std::string& admin, bool json);

// Asks about a flow if `service` is empty, otherwise about a service and,
// unless `server` is empty, one of its backend servers.
struct ExplainQuery {
  // ADDRESS:PORT of the caller and of the service. Without a caller, a VM of a
  // fleet with marks explains the placement of a new flow.
  std::string from;
  std::string to;
  // "tcp" or "udp".
  std::string protocol;
  // Numbers in the sheet.
  std::string service;
  std::string server;
};

// Prints the answer of a daemon, the placement of a new flow as text unless
// `json` is set, all else as JSON. `admin` is ADDRESS:PORT of the daemon's
// admin endpoint.
int RunExplain(const std::string& admin, const ExplainQuery& query, bool json);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_MAIN_COMMANDS_H_
