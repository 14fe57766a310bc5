#include "main/commands.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "core/sheet/sheet_diff.h"
#include "core/sheet/sheet_parser.h"
#include "drivers/clock.h"
#include "drivers/http.h"
#include "drivers/log.h"
#include "main/settings.h"
#include "platform/platform.h"

namespace knapweedlift {
namespace {

constexpr Duration kAdminTimeout{5'000};
// Bounds the end of a daemon whose log nobody reads.
constexpr Duration kLogFlushTime{200};

// Called by signal handlers while a daemon runs; empty otherwise.
std::function<void()> stop_running_daemon;
std::function<void()> reload_running_daemon;

void HandleStopSignal(int) {
  if (stop_running_daemon) stop_running_daemon();
}

void HandleReloadSignal(int) {
  if (reload_running_daemon) reload_running_daemon();
}

// Blocks or unblocks the signals that a daemon handles, for the calling thread
// and those that it starts.
void MaskDaemonSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGINT, SIGTERM}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(how, &signals, nullptr);
}

// Runs the daemon until a signal stops it.
template <typename DaemonType>
int RunDaemon(DaemonType& daemon) {
  const absl::Status status = daemon.Open();
  if (!status.ok()) {
    LogError(
        "cannot_serve",
        {{"message", std::string(status.message())},
         {"action", "Free the address and port, or correct the settings."}});
    FlushLog(Now() + kLogFlushTime);
    return kExitCannotServe;
  }
  stop_running_daemon = [&daemon] { daemon.Stop(); };
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
  std::signal(SIGHUP, HandleReloadSignal);
  // The log may be a pipe whose reader has ended.
  std::signal(SIGPIPE, SIG_IGN);
  MaskDaemonSignals(SIG_UNBLOCK);
  daemon.Run();
  stop_running_daemon = nullptr;
  reload_running_daemon = nullptr;
  FlushLog(Now() + kLogFlushTime);
  return kExitOk;
}

// Returns nothing if the file cannot be read.
std::optional<std::string> ReadFileQuietly(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Prints an error as well if the file cannot be read.
std::optional<std::string> ReadFile(const std::string& path) {
  auto text = ReadFileQuietly(path);
  if (!text.has_value()) {
    std::cerr << path << ": cannot be read; check the path and the "
              << "permissions\n";
  }
  return text;
}

int RunMarkDaemon(const MarkDaemonSettings& settings,
                  const std::string& settings_path) {
  // A running daemon must not wait for the reader of its standard error.
  const auto read_settings = [settings_path] {
    const auto text = ReadFileQuietly(settings_path);
    if (!text.has_value()) return std::optional<MarkDaemonSettings>();
    return ParseSettings(*text, settings_path).mark_settings;
  };
  const auto codec = platform::MakePacketCodec();
  MarkDaemon daemon(settings, *codec, platform::MakeFactSource, read_settings);
  reload_running_daemon = [&daemon] { daemon.Reload(); };
  return RunDaemon(daemon);
}

std::optional<Sheet> ReadSheet(const std::vector<std::string>& paths) {
  std::vector<std::string> chunks;
  for (const std::string& path : paths) {
    auto text = ReadFile(path);
    if (!text.has_value()) return std::nullopt;
    chunks.push_back(*std::move(text));
  }
  auto sheet = ParseSheet(chunks);
  if (sheet.ok()) return *std::move(sheet);
  std::cerr << paths.front() << ": rejected: " << sheet.status().message()
            << "\n";
  return std::nullopt;
}

std::optional<Endpoint> ParseAdminEndpoint(const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint.has_value()) {
    std::cerr << "--admin " << text
              << ": give the address and port of a daemon's vm.admin, such as "
                 "127.0.0.1:9100\n";
  }
  return endpoint;
}

// Sends a GET request to a daemon. Prints the error and returns nothing if
// there is no response.
std::optional<HttpResponse> QueryDaemon(const Endpoint& admin,
                                        const std::string& target) {
  Reactor reactor;
  auto answer =
      HttpCall(reactor, admin, {.method = "GET", .target = target, .body = ""},
               Now() + kAdminTimeout);
  if (answer.ok()) return *std::move(answer);
  std::cerr << "no response from the daemon: " << answer.status().message()
            << "\n";
  return std::nullopt;
}

void PrintService(const nlohmann::json& service) {
  std::cout << "\n"
            << service.value("tenant", "") << "/" << service.value("name", "")
            << "  " << service.value("address", "") << "\n";
  if (!service.contains("buckets")) {
    std::cout << "  " << service.value("table", "") << "\n";
    return;
  }
  const auto& buckets = service["buckets"];
  std::cout << "  buckets " << buckets["all"] << ": stable "
            << buckets["stable"] << ", pending " << buckets["pending"]
            << ", ambiguous " << buckets["ambiguous"] << ", closing "
            << buckets["closing"] << "\n";
  if (!service.contains("servers")) return;
  for (const auto& server : service["servers"]) {
    std::cout << "  server " << server["number"] << "  "
              << server.value("address", "") << "  "
              << server.value("state", "") << "  buckets " << server["buckets"]
              << "  flows seen here " << server["flows_seen_here"] << "\n";
  }
}

void PrintMarkStatus(const nlohmann::json& status) {
  std::cout << "VM " << status.value("vm", "") << " in "
            << status.value("domain", "") << ": " << status.value("phase", "")
            << (status.value("fresh", false) ? ", fresh" : ", not fresh")
            << (status.value("watching", false) ? ", watches the platform" : "")
            << "\nfacts of revision " << status["revision"] << " of era "
            << status.value("era", 0) << ", confirmed "
            << status["facts_confirmed_ms_ago"] << " ms ago; configuration "
            << status["config_version"] << ", " << status["routes"]
            << " routes; platform " << status.value("platform", "")
            << "\ncontrol bytes sent " << status["control_sent_bytes"] << "\n";
  for (const auto& vm : status["vms"]) {
    std::cout << "  VM " << vm.value("address", "") << "  "
              << vm.value("domain", "") << "  " << vm.value("phase", "")
              << (vm.value("suspect", false) ? "  suspect" : "") << "\n";
  }
  for (const auto& server : status["servers"]) {
    std::cout << "  server " << server.value("name", "") << "  "
              << server.value("service", "") << "  "
              << server.value("address", "") << "  "
              << server.value("domain", "") << "  " << server.value("state", "")
              << "  flows seen here " << server["flows_seen_here"]
              << ", waiting " << server["callers_waiting_here"] << "\n";
  }
}

void PrintAdmission(const nlohmann::json& admission) {
  if (admission.is_null()) return;
  std::cout << (admission.value("admitted", true) ? "admitted" : "not admitted")
            << ": class " << admission.at("class") << ", share "
            << admission.at("share");
  if (admission.value("enabled", false)) {
    std::cout << absl::StrCat(
        "; callers waiting for each slot ",
        admission.at("waiting_per_slot").get<double>(), ", served ",
        admission.at("served_per_second").get<double>(), " a second, ",
        admission.at("updated_ms_ago").get<int64_t>(), " ms ago");
  }
  std::cout << "\n";
}

void PrintPlacement(const std::string& to, const nlohmann::json& answer) {
  const auto& placement = answer.at("placement");
  std::cout << "a new flow to " << to << ": "
            << answer.value("new_flow_would_be", "");
  if (answer.contains("server")) {
    std::cout << ", to server " << answer.at("server").value("name", "");
  }
  std::cout << "\nfacts of revision " << answer.at("revision") << " of era "
            << answer.value("era", 0) << ", confirmed "
            << answer.at("facts_confirmed_ms_ago") << " ms ago";
  if (!placement.value("service", "").empty()) {
    std::cout << "; service " << placement.value("service", "");
  }
  std::cout << "\n";
  PrintAdmission(placement.at("admission"));
  for (const auto& candidate : placement.at("candidates")) {
    std::cout << "  server " << candidate.value("name", "") << "  "
              << candidate.value("domain", "") << "  "
              << candidate.value("state", "");
    if (!candidate.at("cost").is_null()) {
      std::cout << absl::StrCat("  cost ", candidate.at("cost").get<double>());
    }
    std::cout << absl::StrCat("  expected requests ",
                              candidate.at("expected_requests").get<double>())
              << " on " << candidate.at("slots") << " slots";
    const std::string rule = candidate.value("excluded_by", "");
    std::cout << (rule == "none" ? "  selected" : "  excluded: " + rule)
              << "\n";
  }
}

void PrintStatus(const nlohmann::json& status) {
  std::cout << "VM " << status["vm"] << " in " << status.value("domain", "")
            << ": " << status.value("phase", "")
            << (status.value("fresh", false) ? ", fresh" : ", not fresh")
            << "; sheet revision " << status["sheet_revision"] << "; platform "
            << status.value("platform", "") << "\n"
            << "flows " << status["flows"] << "; control bytes sent "
            << status["control_sent_bytes"] << "\n";
  for (const auto& vm : status["vms"]) {
    std::cout << "  VM " << vm["id"] << "  " << vm.value("domain", "") << "  "
              << vm.value("phase", "")
              << (vm.value("suspect", false) ? "  suspect" : "")
              << (vm.value("listed", false) ? "" : "  not listed") << "\n";
  }
  for (const auto& service : status["services"]) PrintService(service);
}

}  // namespace

int RunServe(const std::string& settings_path, bool check_only) {
  // A signal that comes before the daemon can handle it would end the process;
  // a reload is no reason to.
  if (!check_only) MaskDaemonSignals(SIG_BLOCK);
  const auto text = ReadFile(settings_path);
  if (!text.has_value()) return kExitUsage;
  const SettingsResult result = ParseSettings(*text, settings_path);
  for (const std::string& error : result.errors) std::cerr << error << "\n";
  if (!result.errors.empty()) {
    std::cerr << MakeStatus(ResultCode::kSettingsInvalid,
                            absl::StrCat(result.errors.size(),
                                         " errors; correct all of them"))
                     .message()
              << "\n";
    return kExitRejected;
  }
  if (check_only) {
    std::cout << settings_path << ": ok\n";
    return kExitOk;
  }
  DisableMutexDeadlockDetection();
  if (result.mark_settings.has_value()) {
    return RunMarkDaemon(*result.mark_settings, settings_path);
  }
  Daemon daemon(*result.settings);
  return RunDaemon(daemon);
}

int RunCheck(const std::vector<std::string>& paths,
             const std::string& against_path) {
  const auto sheet = ReadSheet(paths);
  if (!sheet.has_value()) return kExitRejected;
  if (!against_path.empty()) {
    const auto current = ReadSheet({against_path});
    if (!current.has_value()) return kExitRejected;
    const absl::Status status = CheckSheetChange(*current, *sheet);
    if (!status.ok()) {
      std::cerr << paths.front() << ": rejected: " << status.message() << "\n";
      return kExitRejected;
    }
  }
  std::cout << paths.front() << ": accepted: revision " << sheet->revision
            << ", " << sheet->services.size() << " services\n";
  return kExitOk;
}

int RunCheckPlatformConfig(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.has_value()) return kExitUsage;
  std::vector<std::string> errors;
  const auto config = platform::ParseConfig(*text, errors);
  for (const std::string& error : errors) {
    std::cerr << path << ": " << error << "; the daemon would ignore it\n";
  }
  if (!config.ok()) {
    std::cerr << path << ": rejected: " << config.status().message() << "\n";
    return kExitRejected;
  }
  if (!errors.empty()) return kExitRejected;
  std::cout << path << ": accepted: version " << config->limits.version << ", "
            << config->routes.size() << " routes, idle timeout "
            << config->limits.idle_timeout.count() << " ms\n";
  return kExitOk;
}

int RunDiff(const std::string& before_path, const std::string& after_path) {
  const auto before = ReadSheet({before_path});
  const auto after = ReadSheet({after_path});
  if (!before.has_value() || !after.has_value()) return kExitRejected;
  const absl::Status status = CheckSheetChange(*before, *after);
  if (!status.ok()) {
    std::cerr << after_path << ": would be rejected: " << status.message()
              << "\n";
    return kExitRejected;
  }
  const std::vector<std::string> lines = DiffSheets(*before, *after);
  for (const std::string& line : lines) std::cout << line << "\n";
  if (lines.empty()) std::cout << "no changes except the revision\n";
  return kExitOk;
}

int RunStatus(const std::string& admin, bool json) {
  const auto endpoint = ParseAdminEndpoint(admin);
  if (!endpoint.has_value()) return kExitUsage;
  const auto answer = QueryDaemon(*endpoint, "/v1/status");
  if (!answer.has_value()) return kExitUnreachable;
  if (json) {
    std::cout << answer->body;
    return kExitOk;
  }
  try {
    const auto status = nlohmann::json::parse(answer->body);
    const bool uses_marks = status.value("transport", "") == "marks";
    uses_marks ? PrintMarkStatus(status) : PrintStatus(status);
  } catch (const nlohmann::json::exception& error) {
    std::cerr << "the response is not the status of a daemon: " << error.what()
              << "; check the address\n";
    return kExitUnreachable;
  }
  return kExitOk;
}

int RunExplain(const std::string& admin, const ExplainQuery& query, bool json) {
  const auto endpoint = ParseAdminEndpoint(admin);
  if (!endpoint.has_value()) return kExitUsage;
  const std::string target =
      query.service.empty()
          ? absl::StrCat(
                "/v1/explain?to=", query.to, "&protocol=", query.protocol,
                query.from.empty() ? "" : absl::StrCat("&from=", query.from))
          : absl::StrCat("/v1/explain?service=", query.service,
                         "&server=", query.server);
  const auto answer = QueryDaemon(*endpoint, target);
  if (!answer.has_value()) return kExitUnreachable;
  constexpr unsigned kHttpOk = 200;
  if (answer->status != kHttpOk) {
    std::cerr << answer->body;
    return kExitRejected;
  }
  const auto explanation = nlohmann::json::parse(answer->body, nullptr, false);
  const bool as_text =
      !json && explanation.is_object() && explanation.contains("placement");
  if (!as_text) {
    std::cout << answer->body;
    return kExitOk;
  }
  try {
    PrintPlacement(query.to, explanation);
  } catch (const nlohmann::json::exception& error) {
    std::cerr << "the response is not the explanation of a daemon: "
              << error.what() << "; check the address\n";
    return kExitUnreachable;
  }
  return kExitOk;
}

}  // namespace knapweedlift
