#include "lab/report.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"
#include "drivers/clock.h"
#include "drivers/http.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;

constexpr Duration kPostTimeout{5'000};

// Merges the results of clients and backend servers by tenant and service.
std::map<std::string, json> MergeResults(
    const std::vector<std::string>& paths) {
  std::map<std::string, json> services;
  for (const std::string& path : paths) {
    for (const json& result : json::parse(ReadTextFile(path))) {
      const std::string name =
          result.value("tenant", "") + "/" + result.value("service", "");
      services[name].update(result);
    }
  }
  return services;
}

void PrintTable(const std::map<std::string, json>& services) {
  absl::PrintF("%-24s %8s %7s %7s %6s %7s %6s %9s %8s %8s\n", "service",
               "flows", "broken", "refused", "wrong", "doubled", "lost",
               "imbalance", "p50 ms", "p99 ms");
  for (const auto& [name, result] : services) {
    absl::PrintF(
        "%-24s %8d %7d %7d %6d %7d %6d %9.3f %8.2f %8.2f\n", name,
        result.value("flows", 0), result.value("broken_flows", 0),
        result.value("refused", 0), result.value("wrong_service", 0),
        result.value("doubled_requests", 0), result.value("lost_answers", 0),
        result.value("imbalance", 0.0), result.value("latency_ms_p50", 0.0),
        result.value("latency_ms_p99", 0.0));
  }
}

uint64_t Sum(const std::map<std::string, json>& services,
             const std::string& field) {
  uint64_t sum = 0;
  for (const auto& [name, result] : services) {
    sum += result.value(field, uint64_t{0});
  }
  return sum;
}

}  // namespace

int RunPost(const Endpoint& endpoint, const std::string& target,
            const std::string& path) {
  Reactor reactor;
  const auto response =
      HttpCall(reactor, endpoint,
               {.method = "POST",
                .target = target,
                .body = path.empty() ? std::string() : ReadTextFile(path)},
               Now() + kPostTimeout);
  if (response.ok()) return 0;
  std::cerr << response.status().message() << "\n";
  return 1;
}

int RunReport(const std::vector<std::string>& paths,
              uint32_t control_bytes_per_vm_s) {
  const auto services = MergeResults(paths);
  PrintTable(services);
  double imbalance = 0;
  for (const auto& [name, result] : services) {
    imbalance = std::max(imbalance, result.value("imbalance", 0.0));
  }
  json totals = {{"flows", Sum(services, "flows")},
                 {"opened", Sum(services, "opened")},
                 {"answers", Sum(services, "answers")},
                 {"imbalance", imbalance},
                 {"control_bytes_per_vm_s", control_bytes_per_vm_s}};
  uint64_t violation_count = 0;
  for (const char* violation :
       {"broken_flows", "wrong_service", "doubled_requests", "lost_answers",
        "wrong_answers", "late_new_work", "split_flows"}) {
    totals[violation] = Sum(services, violation);
    violation_count += totals[violation].get<uint64_t>();
  }
  const bool served = totals["answers"].get<uint64_t>() > 0;
  std::cout << totals.dump() << "\n";
  return violation_count == 0 && served ? 0 : 1;
}

}  // namespace knapweedlift::lab
