#ifndef KNAPWEEDLIFT_LAB_MARKS_TESTBED_H_
#define KNAPWEEDLIFT_LAB_MARKS_TESTBED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/marks/fake_store.h"
#include "lab/marks/sim_clients.h"
#include "lab/marks/sim_router.h"
#include "lab/marks/sim_server.h"

namespace knapweedlift::lab {

// Addresses of a deployment on loopback: each VM, server and caller has an IP
// address of its own, and ports that were free on the first of them.
struct MarksPlan {
  std::vector<std::string> domains;
  std::vector<ServiceAddress> services;
  std::vector<RoutedVm> vms;
  uint16_t data_port = 0;
  uint16_t control_port = 0;
  uint16_t admin_port = 0;

  auto operator<=>(const MarksPlan&) const = default;
};

// Plans `vms` VMs in three failure domains.
MarksPlan PlanMarks(size_t vms);

// What stands around the VMs: the platform's store, routers, backend servers
// and callers. One thread runs all but the store.
class MarksTestbed {
 public:
  explicit MarksTestbed(const MarksPlan& plan);

  FakeStore& store() { return store_; }
  // The store's address for the VMs.
  Endpoint platform() const { return store_endpoint_; }

  // Starts a server and tells the store. Returns its id.
  std::string AddServer(const std::string& service, const std::string& domain);
  // The server says that it leaves, and serves its flows on.
  void Drain(const std::string& id);
  // The server falls silent; the store still lists it.
  void Crash(const std::string& id);
  // The store forgets the server.
  void Deregister(const std::string& id);
  // Writes the configuration with the plan's services and `more` other routes.
  void PutConfig(uint64_t version, int extra_routes = 0);

  // Starts callers in each failure domain.
  void StartClients(int long_flows, double short_flows_per_second);

  // Runs servers, callers and routers.
  void Run(Duration time);
  // Runs until `done`, or fails after `limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  // Ends the callers' flows and returns the figures of each service, in the
  // form that the lab's report reads.
  nlohmann::json Finish();

  size_t ready_vms() const { return router_.ready_vms(); }
  const ServerTotals& server_totals() const { return server_totals_; }
  ClientTotals SumTotals() const;
  size_t FlowCount(const std::string& id) const;

 private:
  void Tick();
  void PublishServer(const SimServer& server, const std::string& domain,
                     const char* state);

  MarksPlan plan_;
  FakeStore store_;
  Endpoint store_endpoint_;
  SimRouter router_;
  std::map<std::string, std::unique_ptr<SimServer>> servers_;
  std::map<std::string, std::string> server_domains_;
  std::vector<std::unique_ptr<SimClients>> clients_;
  ServerTotals server_totals_;
  std::set<std::string> executed_requests_;
  uint8_t next_server_ = 1;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_TESTBED_H_
