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
constexpr int64_t kDefaultControlBurst = 1'000;
constexpr int64_t kMaxDrainSeconds = 86'400;
constexpr int64_t kDefaultDrainSeconds = 300;
constexpr int64_t kMaxQuietSeconds = 600;
constexpr int64_t kDefaultQuietSeconds = 3;
constexpr int64_t kMaxLogLines = 100'000;
constexpr int64_t kDefaultLogLines = 20;
constexpr size_t kMaxNameBytes = 64;
constexpr double kMaxGraceSeconds = 86'400;
constexpr double kMaxReuseSeconds = 3'600;
constexpr int64_t kMaxHeartbeatMs = 60'000;
constexpr int64_t kDefaultHeartbeatMs = 1'200;
// The platform stops listing a server after so many silent heartbeats.
constexpr int64_t kSilentHeartbeats = 3;
// How much later than that every VM knows it: a lost answer of the platform and
// the repeated call.
constexpr Duration kListingDelay{1'400};
// What a process needs between the end of its drain and its end.
constexpr Duration kExitTime{1'500};

// Reads keys one after the other and gathers every fault.
class Reader {
 public:
  Reader(const toml::table& root, std::string source)
      : root_(root), source_(std::move(source)) {}

  int64_t Integer(const std::string& key, int64_t min, int64_t max,
                  std::optional<int64_t> fallback) {
    const auto node = Find(key);
    const std::string range =
        absl::StrCat("a whole number from ", min, " to ", max);
    if (!node) {
      if (!fallback.has_value()) Fault(key, "is missing", range);
      return fallback.value_or(min);
    }
    const auto value = node.value_exact<int64_t>();
    if (!value.has_value() || *value < min || *value > max) {
      Fault(key, "is out of range or not a number", range);
      return min;
    }
    return *value;
  }

  // Seconds, whole or not.
  Duration Seconds(const std::string& key, double max, Duration fallback) {
    const auto node = Find(key);
    if (!node) return fallback;
    const auto value = node.value<double>();
    const bool number = node.is_number() && value.has_value();
    if (!number || *value < 0 || *value > max) {
      Fault(key, "is out of range or not a number",
            absl::StrCat("a number of seconds from 0 to ", max));
      return fallback;
    }
    constexpr double kMsPerSecond = 1'000;
    return Duration(static_cast<int64_t>(*value * kMsPerSecond));
  }

  std::string Text(const std::string& key) {
    const std::string range =
        absl::StrCat("a text of 1 to ", kMaxNameBytes, " bytes");
    const auto node = Find(key);
    if (!node) {
      Fault(key, "is missing", range);
      return {};
    }
    const auto value = node.value_exact<std::string>();
    if (!value.has_value() || value->empty() || value->size() > kMaxNameBytes) {
      Fault(key, "has the wrong type or length", range);
      return {};
    }
    return *value;
  }

  Endpoint Address(const std::string& key) {
    const std::string range =
        "an IP address and a port, such as \"127.0.0.1:6081\" or "
        "\"[::1]:6081\"";
    const auto node = Find(key);
    if (!node) {
      Fault(key, "is missing", range);
      return {};
    }
    const auto text = node.value_exact<std::string>();
    const auto endpoint =
        text.has_value() ? ParseEndpoint(*text) : std::nullopt;
    if (!endpoint.has_value()) {
      Fault(key, "is not an address with a port", range);
      return {};
    }
    return *endpoint;
  }

  // One of `words`, the first of which is the default.
  std::string Word(const std::string& key,
                   const std::vector<std::string>& words) {
    const auto node = Find(key);
    if (!node) return words.front();
    auto text = node.value_exact<std::string>().value_or("");
    if (std::find(words.begin(), words.end(), text) == words.end()) {
      Fault(key, "is unknown", absl::StrJoin(words, ", "));
      return words.front();
    }
    return text;
  }

  // A list of addresses; those that are none are left out as faults.
  std::vector<Endpoint> Addresses(const std::string& key) {
    std::vector<Endpoint> endpoints;
    for (const std::string& text : Names(key)) {
      const auto endpoint = ParseEndpoint(text);
      if (endpoint.has_value()) {
        endpoints.push_back(*endpoint);
        continue;
      }
      Fault(key, absl::StrCat("holds \"", text, "\""),
            "addresses with ports, such as \"127.0.0.1:7000\"");
    }
    return endpoints;
  }

  std::vector<std::string> Names(const std::string& key) {
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
      Fault(key, "has the wrong type", "a list of names");
    }
    return names;
  }

  // Reports every key that was not read.
  void ReportUnknown() {
    for (const auto& [section, node] : root_) {
      const std::string name(section.str());
      const toml::table* table = node.as_table();
      if (table == nullptr) {
        Fault(name, "is unknown", "remove it or move it into its section");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const std::string path =
            absl::StrCat(name, ".", std::string(key.str()));
        if (std::find(read_.begin(), read_.end(), path) == read_.end()) {
          Fault(path, "is unknown", "remove it or correct its name");
        }
      }
    }
  }

  std::vector<std::string> TakeFaults() { return std::move(faults_); }

 private:
  toml::node_view<const toml::node> Find(const std::string& key) {
    read_.push_back(key);
    return root_.at_path(key);
  }

  void Fault(const std::string& key, const std::string& what,
             const std::string& range) {
    faults_.push_back(
        absl::StrCat(source_, ": ", key, " ", what, "; accepted: ", range));
  }

  const toml::table& root_;
  std::string source_;
  std::vector<std::string> read_;
  std::vector<std::string> faults_;
};

void ReadDeployment(Reader& reader, uint64_t& number, uint64_t& hash_key) {
  constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
  number = static_cast<uint64_t>(
      reader.Integer("deployment.number", 1, kMax, std::nullopt));
  hash_key = static_cast<uint64_t>(
      reader.Integer("deployment.hash_key", 1, kMax, std::nullopt));
}

DaemonSettings ReadAll(Reader& reader) {
  DaemonSettings settings;
  settings.self.id = static_cast<VmId>(reader.Integer(
      "vm.id", 1, std::numeric_limits<VmId>::max(), std::nullopt));
  settings.self.domain = reader.Text("vm.failure_domain");
  settings.self.control = reader.Address("vm.control");
  settings.self.data = reader.Address("vm.data");
  settings.admin = reader.Address("vm.admin");
  settings.tenants = reader.Names("vm.tenants");
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
                     kMaxControlBytes, kDefaultControlBurst));
  settings.drain_timeout = std::chrono::seconds(reader.Integer(
      "shutdown.drain_timeout_s", 0, kMaxDrainSeconds, kDefaultDrainSeconds));
  settings.idle_time = std::chrono::seconds(reader.Integer(
      "shutdown.quiet_s", 1, kMaxQuietSeconds, kDefaultQuietSeconds));
  return settings;
}

// What follows from how servers keep their entries alive.
void ReadEntries(Reader& reader, MarkDaemonSettings& settings) {
  settings.address_reuse.min_delay =
      reader.Seconds("platform.address_reuse_s", kMaxReuseSeconds,
                     settings.address_reuse.min_delay);
  const int64_t heartbeat = reader.Integer(
      "platform.server_heartbeat_ms", 1, kMaxHeartbeatMs, kDefaultHeartbeatMs);
  settings.address_reuse.max_listing_delay =
      Duration(kSilentHeartbeats * heartbeat) + kListingDelay;
  // The last heartbeat before an outage is one old at most.
  settings.entry_times.min_outage =
      Duration((kSilentHeartbeats - 1) * heartbeat);
}

MarkDaemonSettings ReadMarkSettings(Reader& reader) {
  MarkDaemonSettings settings;
  settings.name = reader.Text("vm.name");
  settings.domain = reader.Text("vm.failure_domain");
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
  const Duration grace = reader.Seconds("shutdown.grace_s", kMaxGraceSeconds,
                                        settings.drain_timeout + kExitTime);
  settings.drain_timeout = std::min(settings.drain_timeout,
                                    std::max(Duration(0), grace - kExitTime));
  ReadEntries(reader, settings);
  return settings;
}

}  // namespace

SettingsResult ParseSettings(const std::string& text,
                             const std::string& source) {
  std::vector<std::string> text_faults = FaultsOfSettingsText(text, source);
  if (!text_faults.empty()) return {.faults = std::move(text_faults)};
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return {
        .faults = {absl::StrCat(source, ": line ", error.source().begin.line,
                                ": ", std::string(error.description()))}};
  }
  Reader reader(root, source);
  SettingsResult result;
  if (reader.Word("transport.kind", {"geneve", "marks"}) == "marks") {
    result.mark_settings = ReadMarkSettings(reader);
  } else {
    result.settings = ReadAll(reader);
  }
  reader.ReportUnknown();
  std::vector<std::string> faults = reader.TakeFaults();
  if (!faults.empty()) return {.faults = std::move(faults)};
  return result;
}

}  // namespace knapweedlift
