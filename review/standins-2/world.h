#ifndef REVIEW_STANDINS_2_WORLD_H_
#define REVIEW_STANDINS_2_WORLD_H_

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clients.h"
#include "endpoints.h"
#include "loop.h"
#include "store.h"
#include "vms.h"

// The address of all routes.
constexpr uint32_t kRouteIp = 127u << 24 | 35 << 16 | 1;

struct Route {
  std::string name;
  Address address;
  std::string service;
};

// The deployment and all that acts in it.
class World {
 public:
  World(std::string folder, bool trouble)
      : folder_(std::move(folder)), trouble_(trouble) {}

  bool ChoosePorts();
  bool AddEndpoint(const std::string& service, const std::string& zone,
                   EndpointSettings settings = {});
  void AddVms(const std::string& zone, int count);
  void AddClients(const std::string& zone, int count);
  // The operator writes the configuration with these routes.
  void Configure(const std::vector<Route>& routes);
  // Starts the machines, and waits until they are ready and in touch.
  bool StartSystem();

  Loop& loop() { return loop_; }
  Store& store() { return *store_; }
  Platform& platform() { return *platform_; }
  std::vector<std::unique_ptr<Endpoint>>& endpoints() { return endpoints_; }
  std::vector<std::unique_ptr<Client>>& clients() { return clients_; }
  bool trouble() const { return trouble_; }
  int broken() const { return broken_; }
  // Work on the machines is planned, so that resets count in any case.
  void set_planned(bool planned) { planned_ = planned; }

 private:
  void JudgeReset(const Client& client, const FlowId& flow, bool by_system,
                  const Vm* taken_by);

  std::string folder_;
  bool trouble_;
  Loop loop_;
  Ports ports_;
  Address store_address_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::set<Address> routes_;
  uint64_t version_ = 1;
  bool planned_ = false;
  int broken_ = 0;
};

#endif  // REVIEW_STANDINS_2_WORLD_H_
