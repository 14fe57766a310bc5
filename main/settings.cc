#include "main/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "main/settings_text.h"

namespace knapweedlift {
namespace {

constexpr int64_t kMaxWorkers = 64;
constexpr int64_t kDefaultWorkers = 2;
constexpr int64_t kMinFlows = 1'000;
constexpr int64_t kMaxFlows = 50'000'000;
constexpr int64_t kDefaultFlows = 600'000;
constexpr int64_t kMinControlBytes = 1'000;
constexpr int64_t kMaxControlBytes = 100'000'000;
constexpr int64_t kDefaultControlBytes = 5'000;
constexpr int64_t kDefaultControlBurstBytes = 1'000;
constexpr int64_t kMaxDrainSeconds = 86'400;
constexpr int64_t kDefaultDrainSeconds = 300;
constexpr int64_t kMaxIdleSeconds = 600;
constexpr int64_t kDefaultIdleSeconds = 3;
constexpr int64_t kMaxLogLines = 100'000;
constexpr int64_t kDefaultLogLines = 20;
constexpr size_t kMaxStringBytes = 64;
constexpr double kMaxGraceSeconds = 86'400;
constexpr double kMaxAddressReuseSeconds = 3'600;
constexpr double kMaxColdOvershoot = 1'000;
constexpr double kMaxColdSlack = 1'000'000;
constexpr int64_t kMaxHeartbeatMs = 60'000;
constexpr int64_t kDefaultHeartbeatMs = 1'200;
// A larger reserve would take capacity from urgent requests.
constexpr int64_t kMaxReservedPercent = 50;
constexpr int64_t kDefaultReservedPercent = 5;
// The platform removes a server after this many missed heartbeats.
constexpr int64_t kMissedHeartbeats = 3;
// Time from the removal until every VM knows of it, including one lost response
// of the platform and the repeated request.
constexpr Duration kMaxListingDelay{1'400};
// Time that the process needs to exit after its drain.
constexpr Duration kProcessExitTime{1'500};

// Reads values of a TOML document by key and collects all errors.
class TomlReader {
 public:
  TomlReader(const toml::table& root, std::string source)
      : root_(root), source_(std::move(source)) {}

  int64_t Integer(const std::string& key, int64_t min, int64_t max,
                  std::optional<int64_t> default_value) {
    const auto node = Find(key);
    const std::string accepted =
        absl::StrCat("an integer from ", min, " to ", max);
    if (!node) {
      if (!default_value.has_value()) AddError(key, "is missing", accepted);
      return default_value.value_or(min);
    }
    const auto value = node.value_exact<int64_t>();
    if (!value.has_value() || *value < min || *value > max) {
      AddError(key, "is out of range or not a number", accepted);
      return min;
    }
    return *value;
  }

  // An integer or a decimal number from 0 to `max`. `kind` describes it in the
  // error.
  std::optional<double> Number(const std::string& key, const char* kind,
                               double max) {
    const auto node = Find(key);
    if (!node) return {};
    const auto value = node.value<double>();
    const bool number = node.is_number() && value.has_value();
    if (!number || *value < 0 || *value > max) {
      AddError(key, "is out of range or not a number",
               absl::StrCat(kind, " from 0 to ", max));
      return {};
    }
    return value;
  }

  // An integer or a decimal number of seconds.
  Duration Seconds(const std::string& key, double max, Duration default_value) {
    const auto seconds = Number(key, "a number of seconds", max);
    if (!seconds.has_value()) return default_value;
    constexpr double kMsPerSecond = 1'000;
    return Duration(static_cast<int64_t>(*seconds * kMsPerSecond));
  }

  std::string String(const std::string& key) {
    const std::string accepted =
        absl::StrCat("a string of 1 to ", kMaxStringBytes, " bytes");
    const auto node = Find(key);
    if (!node) {
      AddError(key, "is missing", accepted);
      return {};
    }
    const auto value = node.value_exact<std::string>();
    if (!value.has_value() || value->empty() ||
        value->size() > kMaxStringBytes) {
      AddError(key, "has the wrong type or length", accepted);
      return {};
    }
    return *value;
  }

  Endpoint Address(const std::string& key) {
    const std::string accepted =
        "an IP address and a port, such as \"127.0.0.1:6081\" or "
        "\"[::1]:6081\"";
    const auto node = Find(key);
    if (!node) {
      AddError(key, "is missing", accepted);
      return {};
    }
    const auto text = node.value_exact<std::string>();
    const auto endpoint =
        text.has_value() ? ParseEndpoint(*text) : std::nullopt;
    if (!endpoint.has_value()) {
      AddError(key, "is not an address with a port", accepted);
      return {};
    }
    return *endpoint;
  }

  // One of `choices`, the first of which is the default.
  std::string OneOf(const std::string& key,
                    const std::vector<std::string>& choices) {
    const auto node = Find(key);
    if (!node) return choices.front();
    auto text = node.value_exact<std::string>().value_or("");
    if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
      AddError(key, "is unknown", absl::StrJoin(choices, ", "));
      return choices.front();
    }
    return text;
  }

  bool Boolean(const std::string& key, bool default_value) {
    const auto node = Find(key);
    if (!node) return default_value;
    const auto value = node.value_exact<bool>();
    if (!value.has_value()) AddError(key, "is not a boolean", "true or false");
    return value.value_or(default_value);
  }

  // A list of addresses with ports; each invalid one is reported as an error.
  std::vector<Endpoint> Addresses(const std::string& key) {
    std::vector<Endpoint> endpoints;
    for (const std::string& text : Strings(key)) {
      const auto endpoint = ParseEndpoint(text);
      if (endpoint.has_value()) {
        endpoints.push_back(*endpoint);
        continue;
      }
      AddError(key, absl::StrCat("contains \"", text, "\""),
               "addresses with ports, such as \"127.0.0.1:7000\"");
    }
    return endpoints;
  }

  std::vector<std::string> Strings(const std::string& key) {
    const auto node = Find(key);
    if (!node) return {};
    std::vector<std::string> names;
    const toml::array* list = node.as_array();
    if (list != nullptr) {
      for (const toml::node& item : *list) {
        const auto name = item.value_exact<std::string>();
        if (name.has_value()) names.push_back(*name);
      }
    }
    if (list == nullptr || names.size() != list->size()) {
      AddError(key, "has the wrong type", "a list of strings");
    }
    return names;
  }

  // Reports all keys that the caller has not requested.
  void ReportUnknownKeys() {
    for (const auto& [section, node] : root_) {
      const std::string name(section.str());
      const toml::table* table = node.as_table();
      if (table == nullptr) {
        AddError(name, "is unknown", "remove it or move it into its section");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const std::string path =
            absl::StrCat(name, ".", std::string(key.str()));
        if (std::find(requested_keys_.begin(), requested_keys_.end(), path) ==
            requested_keys_.end()) {
          AddError(path, "is unknown", "remove it or correct its name");
        }
      }
    }
  }

  std::vector<std::string> TakeErrors() { return std::move(errors_); }

 private:
  toml::node_view<const toml::node> Find(const std::string& key) {
    requested_keys_.push_back(key);
    return root_.at_path(key);
  }

  void AddError(const std::string& key, const std::string& problem,
                const std::string& accepted) {
    errors_.push_back(absl::StrCat(source_, ": ", key, " ", problem,
                                   "; accepted: ", accepted));
  }

  const toml::table& root_;
  std::string source_;
  std::vector<std::string> requested_keys_;
  std::vector<std::string> errors_;
};

void ReadDeployment(TomlReader& reader, uint64_t& number, uint64_t& hash_key) {
  constexpr int64_t kMaxInteger = std::numeric_limits<int64_t>::max();
  number = static_cast<uint64_t>(
      reader.Integer("deployment.number", 1, kMaxInteger, std::nullopt));
  hash_key = static_cast<uint64_t>(
      reader.Integer("deployment.hash_key", 1, kMaxInteger, std::nullopt));
}

DaemonSettings ReadTableSettings(TomlReader& reader) {
  DaemonSettings settings;
  settings.self.id = static_cast<VmId>(reader.Integer(
      "vm.id", 1, std::numeric_limits<VmId>::max(), std::nullopt));
  settings.self.domain = reader.String("vm.failure_domain");
  settings.self.control = reader.Address("vm.control");
  settings.self.data = reader.Address("vm.data");
  settings.admin = reader.Address("vm.admin");
  settings.tenants = reader.Strings("vm.tenants");
  settings.platform = reader.Address("platform.address");
  ReadDeployment(reader, settings.deployment, settings.hash_key);
  settings.workers = static_cast<size_t>(
      reader.Integer("limits.workers", 1, kMaxWorkers, kDefaultWorkers));
  settings.max_flows = static_cast<size_t>(
      reader.Integer("limits.flows", kMinFlows, kMaxFlows, kDefaultFlows));
  settings.control_bytes_per_second = static_cast<size_t>(
      reader.Integer("limits.control_bytes_per_second", kMinControlBytes,
                     kMaxControlBytes, kDefaultControlBytes));
  settings.control_burst_bytes = static_cast<size_t>(
      reader.Integer("limits.control_burst_bytes", kMinControlBytes,
                     kMaxControlBytes, kDefaultControlBurstBytes));
  settings.drain_timeout = std::chrono::seconds(reader.Integer(
      "shutdown.drain_timeout_s", 0, kMaxDrainSeconds, kDefaultDrainSeconds));
  settings.idle_time = std::chrono::seconds(reader.Integer(
      "shutdown.quiet_s", 1, kMaxIdleSeconds, kDefaultIdleSeconds));
  return settings;
}

// Reads the times that follow from how backend servers renew their entries in
// the store.
void ReadEntryTimes(TomlReader& reader, MarkDaemonSettings& settings) {
  settings.address_reuse.min_delay =
      reader.Seconds("platform.address_reuse_s", kMaxAddressReuseSeconds,
                     settings.address_reuse.min_delay);
  const int64_t heartbeat = reader.Integer(
      "platform.server_heartbeat_ms", 1, kMaxHeartbeatMs, kDefaultHeartbeatMs);
  settings.address_reuse.max_listing_delay =
      Duration(kMissedHeartbeats * heartbeat) + kMaxListingDelay;
  // When an outage starts, the last heartbeat is at most one period old.
  settings.entry_times.min_outage =
      Duration((kMissedHeartbeats - 1) * heartbeat);
}

ColdLimitSettings ReadColdLimit(TomlReader& reader) {
  ColdLimitSettings settings;
  settings.overshoot =
      reader.Number("platform.cold_overshoot", "a number", kMaxColdOvershoot)
          .value_or(settings.overshoot);
  settings.slack =
      reader.Number("platform.cold_slack", "a number of flows", kMaxColdSlack)
          .value_or(settings.slack);
  return settings;
}

AdmissionSettings ReadAdmission(TomlReader& reader) {
  constexpr double kPercent = 0.01;
  return {.enabled = reader.Boolean("admission.enabled", false),
          .reserved_share =
              kPercent * static_cast<double>(reader.Integer(
                             "admission.reserved_percent", 0,
                             kMaxReservedPercent, kDefaultReservedPercent))};
}

MarkDaemonSettings ReadMarkSettings(TomlReader& reader) {
  MarkDaemonSettings settings;
  settings.name = reader.String("vm.name");
  settings.domain = reader.String("vm.failure_domain");
  settings.control = reader.Address("vm.control");
  settings.data = reader.Address("vm.data");
  settings.admin = reader.Address("vm.admin");
  settings.ready = reader.Address("vm.ready");
  settings.platform = reader.Address("platform.address");
  settings.seeds = reader.Addresses("peers.seeds");
  ReadDeployment(reader, settings.deployment, settings.hash_key);
  settings.workers =
      static_cast<size_t>(reader.Integer("limits.workers", 1, kMaxWorkers, 1));
  settings.max_flows = static_cast<size_t>(
      reader.Integer("limits.flows", kMinFlows, kMaxFlows, kDefaultFlows));
  settings.flow_log_lines_per_second = static_cast<size_t>(reader.Integer(
      "log.flow_lines_per_second", 0, kMaxLogLines, kDefaultLogLines));
  settings.event_log_lines_per_second = static_cast<size_t>(reader.Integer(
      "log.event_lines_per_second", 1, kMaxLogLines, kDefaultLogLines));
  settings.drain_timeout = Duration(
      reader.Integer("shutdown.drain_timeout_ms", 0, kMaxDrainSeconds * 1'000,
                     kDefaultDrainSeconds * 1'000));
  const Duration grace =
      reader.Seconds("shutdown.grace_s", kMaxGraceSeconds,
                     settings.drain_timeout + kProcessExitTime);
  settings.drain_timeout = std::min(
      settings.drain_timeout, std::max(Duration(0), grace - kProcessExitTime));
  ReadEntryTimes(reader, settings);
  settings.cold_limit = ReadColdLimit(reader);
  settings.avoid_slow_servers =
      reader.Boolean("slow_answers.avoid_slow_servers", false);
  settings.admission = ReadAdmission(reader);
  return settings;
}

}  // namespace

SettingsResult ParseSettings(const std::string& text,
                             const std::string& source) {
  std::vector<std::string> text_errors = ValidateSettingsText(text, source);
  if (!text_errors.empty()) return {.errors = std::move(text_errors)};
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return {
        .errors = {absl::StrCat(source, ": line ", error.source().begin.line,
                                ": ", std::string(error.description()))}};
  }
  TomlReader reader(root, source);
  SettingsResult result;
  if (reader.OneOf("transport.kind", {"geneve", "marks"}) == "marks") {
    result.mark_settings = ReadMarkSettings(reader);
  } else {
    result.settings = ReadTableSettings(reader);
  }
  reader.ReportUnknownKeys();
  std::vector<std::string> errors = reader.TakeErrors();
  if (!errors.empty()) return {.errors = std::move(errors)};
  return result;
}

}  // namespace knapweedlift
