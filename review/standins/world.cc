#include "world.h"

#include <poll.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include "net.h"

namespace review {

World::World(const Options& options) : options_(options) {
  started_ns_ = SteadyNs();
  // A net of its own for each run, so that runs beside each other don't meet.
  net_ = (127U << 24) | (static_cast<uint32_t>(20 + getpid() % 200) << 16);
  std::vector<int> held;
  const uint32_t first = net_ | (1 << 8) | 1;
  data_port_ = FreePort(first, held);
  ready_port_ = FreePort(first, held);
  control_port_ = FreePort(first, held);
  admin_port_ = FreePort(first, held);
  for (const int fd : held) close(fd);
  if (!store.Listen(net_ | (2 << 8) | 1, store_port_)) std::exit(2);
}

void World::StopVms() {
  for (Vm& vm : vms) {
    if (vm.pid > 0) kill(vm.pid, SIGKILL);
    if (vm.pid > 0) waitpid(vm.pid, nullptr, 0);
  }
}

Ms World::Now() const { return (SteadyNs() - started_ns_) / 1'000'000; }

void World::Note(const std::string& line) {
  const Ms now = Now();
  std::fprintf(options_.record, "%4lld.%03lld  %s\n",
               static_cast<long long>(now / 1000),
               static_cast<long long>(now % 1000), line.c_str());
}

Ms World::PutConfig(uint64_t version, const std::vector<Route>& routes) {
  std::string list;
  for (const Route& route : routes) {
    if (!list.empty()) list += ",";
    list += "{\"name\":\"r-" + std::to_string(route.port) +
            "\",\"host\":" + Quoted(route.host) + ",\"prefix\":\"/" +
            std::to_string(route.port) +
            "/\",\"routeType\":\"unsafe\",\"timeoutMs\":1200,"
            "\"targetLatencyMs\":200,\"priority\":1,\"service\":" +
            Quoted(route.service) + ",\"maxAttempts\":2}";
  }
  store.Put("op/config",
            "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
                "],\"services\":[],\"limits\":{\"idleTimeoutMs\":" +
                std::to_string(kIdleTimeoutMs) + "}}");
  Note("the store acknowledges configuration " + std::to_string(version));
  return Now();
}

std::string World::Entry(const Endpoint& endpoint, int64_t born) {
  std::string text =
      "{\"service\":" + Quoted(endpoint.service) +
      ",\"address\":" + Quoted(Text(endpoint.address, endpoint.port)) +
      ",\"zone\":" + Quoted(endpoint.zone) +
      ",\"version\":\"v1\",\"slots\":" + std::to_string(kSlots) +
      ",\"state\":" + Quoted(endpoint.state) + ",\"coldLeftMs\":0" +
      ",\"sequence\":" + std::to_string(endpoint.sequence);
  if (born != 0) text += ",\"born\":" + std::to_string(born);
  return text + "}";
}

void World::Beat(Endpoint& endpoint) {
  endpoint.next_beat = Now() + kHeartbeat;
  ++endpoint.sequence;
  // An entry changes only when more than `sequence` changes.
  if (endpoint.written_state == endpoint.state) return;
  endpoint.written_state = endpoint.state;
  store.Put("servers/" + endpoint.id, Entry(endpoint, endpoint.born));
}

Endpoint& World::AddEndpoint(const std::string& service,
                             const std::string& zone) {
  endpoints.push_back(std::make_unique<Endpoint>());
  Endpoint& endpoint = *endpoints.back();
  const size_t number = endpoints.size();
  endpoint.instance = 0x7f3a9100 + number;
  std::ostringstream id;
  id << "i-" << std::hex << endpoint.instance;
  endpoint.id = id.str();
  endpoint.service = service;
  endpoint.zone = zone;
  endpoint.address = net_ | (3 << 8) | static_cast<uint32_t>(number);
  endpoint.born = UnixMs();
  std::vector<int> held;
  endpoint.port = FreePort(endpoint.address, held);
  for (const int fd : held) close(fd);
  endpoint.udp = OpenSocket(SOCK_DGRAM, endpoint.address, endpoint.port);
  endpoint.tcp = OpenSocket(SOCK_STREAM, endpoint.address, endpoint.port);
  if (endpoint.udp < 0 || endpoint.tcp < 0) std::exit(2);
  Beat(endpoint);
  Note("endpoint " + endpoint.id + " of " + service + " in " + zone + " at " +
       Text(endpoint.address, endpoint.port));
  return endpoint;
}

void World::RunUntil(Ms end) {
  while (Now() < end) {
    std::vector<pollfd> polled;
    for (const Client& client : clients_)
      polled.push_back({client.udp, POLLIN, 0});
    for (const auto& endpoint : endpoints) {
      polled.push_back({endpoint->udp, POLLIN, 0});
      polled.push_back({endpoint->tcp, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), 1);
    for (size_t i = 0; i < clients_.size(); ++i) ReadClient(i);
    for (const auto& endpoint : endpoints) {
      ReadEndpoint(*endpoint);
      ServeHealth(*endpoint);
    }
    TickEndpoints();
    TickClients();
    ProbeVms();
    WatchVms();
  }
}

}  // namespace review
