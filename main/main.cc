#include <docopt/docopt.h>

#include <map>
#include <string>
#include <string_view>

#include "main/commands.h"

namespace {

constexpr char kUsage[] =
    R"(knapweedlift: a layer-4 load balancer that recovers from failures on its
own and explains its decisions.

Usage:
  knapweedlift serve --settings FILE [--check-settings]
  knapweedlift check [--against FILE] SHEET...
  knapweedlift check --platform-config FILE
  knapweedlift diff SHEET SHEET
  knapweedlift status --admin ADDRESS [--json]
  knapweedlift explain --admin ADDRESS --to SERVICE [--from CALLER] [--udp]
                       [--json]
  knapweedlift explain --admin ADDRESS --service NUMBER [--server NUMBER]
  knapweedlift (-h | --help)
  knapweedlift --version

Commands:
  serve    Runs the daemon of an entry VM.
  check    Validates a sheet, given whole or in chunks, or a dump of the
           platform's configuration, by the rules of the daemon.
  diff     Shows what the second sheet would change, by tenant and service.
  status   Shows the state of a daemon.
  explain  Shows why a flow is forwarded as it is or where a new flow would go
           now, or the recent decisions about a service or one of its backend
           servers.

Options:
  --settings FILE    Settings in TOML.
  --check-settings   Only check the settings.
  --platform-config FILE  Configuration as stored by the platform.
  --against FILE     The sheet in force; the new one must be a valid successor.
  --admin ADDRESS    ADDRESS:PORT of a daemon's admin endpoint.
  --json             Print JSON.
  --from CALLER      ADDRESS:PORT of the client.
  --to SERVICE       ADDRESS:PORT of the service.
  --udp              The flow is UDP; it is TCP otherwise.
  --service NUMBER   Number of a service.
  --server NUMBER    Number of a backend server.

Exit codes:
  0 success, 1 rejected, 2 wrong usage, 3 daemon unreachable, 4 cannot serve.
)";

constexpr char kVersion[] = "knapweedlift 0.1.0";

using Arguments = std::map<std::string, docopt::value>;

std::string StringArgument(const Arguments& arguments,
                           const std::string& name) {
  const docopt::value& value = arguments.at(name);
  return value.isString() ? value.asString() : std::string();
}

int Run(const Arguments& arguments) {
  using namespace knapweedlift;  // NOLINT(google-build-using-namespace)
  if (arguments.at("serve").asBool()) {
    return RunServe(StringArgument(arguments, "--settings"),
                    arguments.at("--check-settings").asBool());
  }
  const auto sheets = arguments.at("SHEET").asStringList();
  if (arguments.at("check").asBool()) {
    const std::string config = StringArgument(arguments, "--platform-config");
    if (!config.empty()) return RunCheckPlatformConfig(config);
    return RunCheck(sheets, StringArgument(arguments, "--against"));
  }
  if (arguments.at("diff").asBool()) return RunDiff(sheets[0], sheets[1]);
  const std::string admin = StringArgument(arguments, "--admin");
  if (arguments.at("status").asBool()) {
    return RunStatus(admin, arguments.at("--json").asBool());
  }
  return RunExplain(admin,
                    {.from = StringArgument(arguments, "--from"),
                     .to = StringArgument(arguments, "--to"),
                     .protocol = arguments.at("--udp").asBool() ? "udp" : "tcp",
                     .service = StringArgument(arguments, "--service"),
                     .server = StringArgument(arguments, "--server")},
                    arguments.at("--json").asBool());
}

// Returns the path of the settings file if the command line is exactly
// `serve --settings FILE`, else null. Daemons are started this way, and
// building docopt's parser takes 90 % of the instructions of a start.
const char* ServeSettingsPath(int argc, char** argv) {
  constexpr int kPlainArgumentCount = 4;
  const bool plain = argc == kPlainArgumentCount &&
                     std::string_view(argv[1]) == "serve" &&
                     std::string_view(argv[2]) == "--settings";
  return plain ? argv[3] : nullptr;
}

}  // namespace

int main(int argc, char** argv) {
  const char* settings_path = ServeSettingsPath(argc, argv);
  if (settings_path != nullptr) {
    return knapweedlift::RunServe(settings_path, false);
  }
  Arguments arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, {argv + 1, argv + argc});
  } catch (const docopt::DocoptExitHelp&) {
    std::puts(kUsage);
    return knapweedlift::kExitOk;
  } catch (const docopt::DocoptExitVersion&) {
    std::puts(kVersion);
    return knapweedlift::kExitOk;
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "%s\nSee knapweedlift --help.\n", error.what());
    return knapweedlift::kExitUsage;
  }
  return Run(arguments);
}
