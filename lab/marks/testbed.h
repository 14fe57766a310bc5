#ifndef KNAPWEEDLIFT_LAB_MARKS_TESTBED_H_
#define KNAPWEEDLIFT_LAB_MARKS_TESTBED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/marks/fake_store.h"
#include "lab/marks/sim_clients.h"
#include "lab/marks/sim_router.h"
#include "lab/marks/sim_server.h"

namespace knapweedlift::lab {

// Addresses of a deployment on loopback. Each VM, server and client group has
// its own IP address; the ports were free on the first VM's address.
struct MarksPlan {
  std::vector<std::string> domains;
  std::vector<ServiceAddress> services;
  std::vector<RoutedVm> vms;
  uint16_t data_port = 0;
  uint16_t control_port = 0;
  uint16_t admin_port = 0;

  auto operator<=>(const MarksPlan&) const = default;
};

// Returns the endpoint of a VM at one of the plan's ports.
inline Endpoint EndpointAt(const RoutedVm& vm, uint16_t port) {
  return {.address = vm.data.address, .port = port};
}

// Returns a plan for `vms` VMs in three failure domains.
MarksPlan PlanMarks(size_t vms);

// The service of each route of a configuration.
using RouteServices = std::map<Endpoint, std::string>;

// Returns a configuration as the operator writes it to the store.
std::string FormatConfig(uint64_t version, const RouteServices& routes);

// Returns the settings file of the plan's VM with the index. `seeds` are
// indexes of VMs.
std::string FormatVmSettings(const MarksPlan& plan, size_t index,
                             const Endpoint& platform,
                             const std::vector<size_t>& seeds);

// When what the store lost in its return from a copy is written again, counted
// from the return.
struct RewriteTimes {
  Duration operator_delay{200};
  // Servers write at random times until then.
  Duration max_server_delay{1'500};
  // The entries of ended servers expire.
  Duration expiry{2'400};

  auto operator<=>(const RewriteTimes&) const = default;
};

// The environment of the VMs: metadata store, routers, backend servers and
// clients. Servers and clients run in the calling thread, the store and the
// routers' probes in threads of their own.
class MarksTestbed {
 public:
  explicit MarksTestbed(const MarksPlan& plan);

  FakeStore& store() { return store_; }
  // Address of the store's first listener.
  Endpoint platform() const { return store_endpoint_; }

  // Starts a server and registers it in the store. Returns its id, or an empty
  // string if its sockets cannot be bound.
  std::string AddServer(const std::string& service, const std::string& domain);
  // Sets the filter of all servers, also of those that are added later.
  void SetSynFilter(const SimServer::SynFilter& filter);
  // Marks the server as draining in the store; it still serves its flows.
  void Drain(const std::string& id);
  // Stops the server without notice; its store entry remains.
  void Crash(const std::string& id);
  // Starts a crashed server again under its id. Its store entry remains that of
  // the previous incarnation.
  void Restart(const std::string& id);
  // Writes the store entry of the restarted server.
  void RegisterAgain(const std::string& id);
  // Makes the server refuse connections while it answers most requests.
  void Overload(const std::string& id);
  // Sets the state of a server, whose store entry remains as it is.
  void SetServerState(const std::string& id, SimServerState state);
  // Sets the time from a request to the server's response.
  void SetResponseDelay(const std::string& id, Duration delay);
  // Deletes the server's store entry; the server keeps running.
  void Deregister(const std::string& id);
  // Begins and ends the evacuation of a failure domain.
  void Evacuate(const std::string& domain);
  void EndEvacuation(const std::string& domain);
  // Writes the configuration with the routes of the plan's services and
  // `extra_routes` others.
  void PutConfig(uint64_t version, int extra_routes = 0);

  // Writes something else in place of the configuration.
  void PutConfigText(const std::string& text);
  // Lets the store return from its last copy. What it loses is written again,
  // unless something else is written before.
  void ReturnStoreFromCopy(const RewriteTimes& times);

  // Starts clients in each failure domain: `long_flows` flows for each service
  // and `short_flows_per_second` in all.
  void StartClients(int long_flows, double short_flows_per_second);

  // Sets the rate of short flows of the clients of each failure domain.
  void SetShortFlowRate(double per_second);

  // Runs servers and clients for `time`.
  void Run(Duration time);
  // Runs until `condition` holds. Returns false if it does not within `limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  // Stops the clients, waits for outstanding responses and returns the results
  // of each service in the JSON format that the lab's report reads.
  nlohmann::json Finish();

  size_t ready_vms() const { return router_.ready_vms(); }
  const ServerTotals& server_totals() const { return server_totals_; }
  // Totals of all clients and services.
  ClientTotals SumTotals() const;
  // All flows that were opened, and those that servers accepted.
  std::vector<ClientFlowRecord> ClientFlows() const;
  std::vector<ServedFlowRecord> ServedFlows() const;
  std::vector<ForeignPacketRecord> ForeignPackets() const;
  // The failure domain of a server.
  const std::string& DomainOf(const std::string& id) const {
    return server_domains_.at(id);
  }
  // Number of flows on a server.
  size_t FlowCount(const std::string& id) const;

 private:
  struct Rewrite {
    TimePoint at;
    LostWrite write;
  };

  void Tick();
  // Writes to the store. An outstanding rewrite of the key is dropped.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void RunRewrites(TimePoint now);
  void PublishServer(const SimServer& server, const std::string& domain,
                     const char* state);

  MarksPlan plan_;
  FakeStore store_;
  Endpoint store_endpoint_;
  SimRouter router_;
  std::map<std::string, std::unique_ptr<SimServer>> servers_;
  std::map<std::string, std::string> server_domains_;
  // Restarts of each server, which tell its start times apart.
  std::map<std::string, int> restarts_;
  std::vector<std::unique_ptr<SimClients>> clients_;
  ServerTotals server_totals_;
  std::set<std::string> executed_requests_;
  SimServer::SynFilter syn_filter_;
  std::vector<Rewrite> rewrites_;
  std::minstd_rand random_;
  uint8_t next_server_ = 1;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_TESTBED_H_
