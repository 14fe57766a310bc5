#include "lab/plan.h"

#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "absl/strings/str_cat.h"
#include "drivers/socket.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;

constexpr uint32_t kBuckets = 4'096;
constexpr int kServersPerService = 6;
constexpr uint64_t kHashKey = 7'310'221'904;

// Allocates ports that are free for both UDP and TCP. Each stays bound until
// the plan is written, so that no port is allocated twice.
class PortAllocator {
 public:
  uint16_t Allocate() {
    while (true) {
      auto udp = BindUdp(Loopback(0), {});
      if (!udp.ok()) std::exit(1);
      const Endpoint endpoint = LocalEndpoint(*udp);
      auto tcp = ListenTcp(endpoint);
      if (!tcp.ok()) continue;
      reserved_sockets_.push_back(*std::move(udp));
      reserved_sockets_.push_back(*std::move(tcp));
      return endpoint.port;
    }
  }

 private:
  static Endpoint Loopback(uint16_t port) {
    return {.address = *ParseIpAddress("127.0.0.1"), .port = port};
  }

  std::vector<FileDescriptor> reserved_sockets_;
};

struct ServicePlan {
  uint32_t number;
  const char* name;
  const char* address;
  const char* protocol;
};

struct TenantPlan {
  uint64_t deployment_number;
  std::vector<std::string> domains;
  std::vector<ServicePlan> services;
};

TenantPlan TenantPlanFor(const std::string& tenant) {
  if (tenant == "mondego") {
    return {.deployment_number = 1,
            .domains = {"coimbra-a", "coimbra-b", "coimbra-c"},
            .services = {{101, "atelier", "10.10.0.1", "tcp"},
                         {102, "catalogue", "10.10.0.2", "tcp"}}};
  }
  return {
      .deployment_number = 2,
      .domains = {"antioquia-a", "antioquia-b", "antioquia-c", "antioquia-d"},
      .services = {{201, "suscripciones", "2001:db8:20::1", "tcp"},
                   {202, "guias", "10.20.0.2", "udp"}}};
}

json ServerJson(int number, uint16_t port, const TenantPlan& plan) {
  return {{"number", number},
          {"address", "127.0.0.1"},
          {"geneve_port", port},
          {"domain", plan.domains[number % plan.domains.size()]},
          {"slots", 2},
          {"state", "active"}};
}

json SheetJson(const TenantPlan& plan, const std::string& tenant,
               PortAllocator& ports) {
  json sheet = {{"format", 1},
                {"revision", 1},
                {"failure_domains", plan.domains},
                {"services", json::array()}};
  constexpr int kServicePort = 443;
  for (const ServicePlan& service : plan.services) {
    json servers = json::array();
    for (int i = 1; i <= kServersPerService; ++i) {
      servers.push_back(ServerJson(i, ports.Allocate(), plan));
    }
    sheet["services"].push_back({{"number", service.number},
                                 {"name", service.name},
                                 {"tenant", tenant},
                                 {"address", service.address},
                                 {"port", kServicePort},
                                 {"protocol", service.protocol},
                                 {"vni", service.number},
                                 {"buckets", kBuckets},
                                 {"idle_timeout_s", 3'600},
                                 {"servers", servers}});
  }
  return sheet;
}

// Writes the sheet of all servers and the three successive sheets: the first
// lacks the last server of each service, the second adds it, and in the third
// the first server of each service is leaving.
void WriteSheets(const std::string& directory, const json& all) {
  WriteTextFile(directory + "/sheet-all.json", all.dump(1));
  json first = all;
  for (json& service : first["services"]) {
    service["servers"].erase(service["servers"].size() - 1);
  }
  WriteTextFile(directory + "/sheet-1.json", first.dump(1));
  json second = all;
  second["revision"] = 2;
  WriteTextFile(directory + "/sheet-2.json", second.dump(1));
  json third = second;
  third["revision"] = 3;
  for (json& service : third["services"]) {
    service["servers"][0]["state"] = "leaving";
  }
  WriteTextFile(directory + "/sheet-3.json", third.dump(1));
}

json VmJson(uint32_t id, uint16_t control, uint16_t data,
            const TenantPlan& plan) {
  return {{"id", id},
          {"address", "127.0.0.1"},
          {"control_port", control},
          {"data_port", data},
          {"domain", plan.domains[id % plan.domains.size()]},
          {"state", "live"}};
}

std::string SettingsToml(const json& vm, uint16_t admin, uint16_t platform,
                         const TenantPlan& plan) {
  return absl::StrCat(
      "[vm]\nid = ", vm["id"].get<uint32_t>(), "\nfailure_domain = \"",
      vm["domain"].get<std::string>(),
      "\"\ncontrol = \"127.0.0.1:", vm["control_port"].get<int>(),
      "\"\ndata = \"127.0.0.1:", vm["data_port"].get<int>(),
      "\"\nadmin = \"127.0.0.1:", admin,
      "\"\n\n[deployment]\nnumber = ", plan.deployment_number,
      "\nhash_key = ", kHashKey,
      "\n\n[platform]\naddress = \"127.0.0.1:", platform,
      "\"\n\n[limits]\nworkers = 1\nflows = 50000\n\n[shutdown]\n"
      "drain_timeout_s = 20\nquiet_s = 2\n");
}

// Writes the VM list without the VM at `omitted_index`, as the platform
// publishes it after that VM has crashed or while it shuts down. A negative
// index omits none.
void WriteVmList(const std::string& path, uint64_t revision, json vms,
                 int omitted_index) {
  if (omitted_index >= 0) vms.erase(static_cast<size_t>(omitted_index));
  WriteTextFile(path, json({{"revision", revision}, {"vms", vms}}).dump(1));
}

}  // namespace

int RunPlan(const PlanOptions& options) {
  if (options.tenant != "mondego" && options.tenant != "cuna") {
    std::cerr << "--tenant must be mondego or cuna\n";
    return 2;
  }
  std::filesystem::create_directories(options.directory);
  const TenantPlan plan = TenantPlanFor(options.tenant);
  PortAllocator ports;
  WriteSheets(options.directory, SheetJson(plan, options.tenant, ports));
  const uint16_t platform = ports.Allocate();
  std::string shell_variables = absl::StrCat(
      "platform=127.0.0.1:", platform, "\nfabric=127.0.0.1:", ports.Allocate(),
      "\ncallers=127.0.0.1:", ports.Allocate(), "\n");
  json vms = json::array();
  for (uint32_t id = 1; id <= options.vms; ++id) {
    const uint16_t admin = ports.Allocate();
    vms.push_back(VmJson(id, ports.Allocate(), ports.Allocate(), plan));
    WriteTextFile(absl::StrCat(options.directory, "/vm-", id, ".toml"),
                  SettingsToml(vms.back(), admin, platform, plan));
    absl::StrAppend(&shell_variables, "admin_", id, "=127.0.0.1:", admin, "\n");
  }
  WriteVmList(options.directory + "/vms-1.json", 1, vms, -1);
  // VM 1 crashes, then VM 2 shuts down gracefully.
  WriteVmList(options.directory + "/vms-2.json", 2, vms, 0);
  vms.erase(0);
  WriteVmList(options.directory + "/vms-3.json", 3, vms, 0);
  WriteTextFile(options.directory + "/addresses.sh", shell_variables);
  return 0;
}

}  // namespace knapweedlift::lab
