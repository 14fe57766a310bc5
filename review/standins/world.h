// A small deployment on loopback addresses: the programs under review as
// processes, and stand-ins for the platform (store, routers), the endpoints and
// the clients. One thread drives everything but the store.
#ifndef REVIEW_STANDINS_WORLD_H_
#define REVIEW_STANDINS_WORLD_H_

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "packet.h"
#include "store.h"

namespace review {

// Milliseconds since the world was made.
using Ms = int64_t;

inline constexpr Ms kNever = INT64_MAX;

struct Vm {
  std::string name;
  std::string zone;
  uint32_t address = 0;
  pid_t pid = 0;
  // Read end of the pipe that takes the program's output; -1 if a file does.
  int output = -1;
  Ms restart_at = kNever;
  // False if nobody reads the program's output.
  bool output_is_read = true;
  // Ends that the platform did not ask for.
  int own_ends = 0;
  // Readiness as the routers see it.
  bool in_rotation = false;
  int missed_probes = 0;
  int probe = -1;
  Ms probe_at = 0;
  bool probe_sent = false;
};

struct EndpointFlow {
  bool open = false;
  bool ended = false;
  uint32_t expected = 0;
  uint32_t next = 0;
  uint32_t echo = 0;
  Packet route;  // Addresses of the endpoint's own packets.
  Packet unanswered;
  Ms resend_at = kNever;
  Ms interval = 0;
  int resends = 0;
};

struct Work {
  uint64_t flow = 0;
  std::string request;
  Ms duration = 0;
  Ms ends_at = kNever;
};

struct Endpoint {
  std::string id;
  uint64_t instance = 0;
  std::string service;
  std::string zone;
  uint32_t address = 0;
  uint16_t port = 0;
  int64_t born = 0;
  std::string state = "ready";
  // The state in the store.
  std::string written_state;
  bool alive = true;
  bool beats = true;
  uint64_t sequence = 0;
  Ms next_beat = 0;
  int udp = -1;
  int tcp = -1;
  std::vector<int> connections;
  std::map<uint64_t, EndpointFlow> flows;
  std::vector<Work> running;
  std::vector<Work> waiting;
};

enum class FlowState { kOpening, kOpen, kEnded };

struct ClientFlow {
  size_t client = 0;
  Packet route;  // Addresses of the client's packets.
  FlowState state = FlowState::kOpening;
  bool lasting = false;
  uint32_t next = 0;
  uint32_t ack = 0;
  uint32_t echo = 0;
  int syns = 0;
  Ms first_syn_at = 0;
  Ms last_syn_at = 0;
  Ms opened_at = kNever;
  Ms last_packet_at = 0;
  std::string endpoint;
  // The request in progress; no id if there is none.
  std::string request;
  Packet unanswered;
  Ms resend_at = kNever;
  Ms interval = 0;
  Ms deadline = kNever;
  Ms next_request_at = kNever;
  bool fin_sent = false;
};

struct Client {
  std::string zone;
  uint32_t address = 0;
  int udp = -1;
  uint16_t next_port = 20'000;
};

struct Request {
  Ms sent_at = 0;
  Ms flow_syn_at = 0;
  std::string route;
  int runs = 0;
  std::string run_by;
  bool answered = false;
  bool given_up = false;
};

struct Route {
  std::string host;
  uint16_t port = 0;
  std::string service;
};

struct Traffic {
  Route route;
  std::string zone;
  // Flows that stay open, and the pause between their requests.
  int lasting = 0;
  Ms pause = 0;
  // Flows of one request each, per second.
  double per_second = 0;
};

struct Options {
  std::string directory;
  std::string binary;
  std::string settings_template;
  FILE* record = nullptr;
};

class World {
 public:
  explicit World(const Options& options);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void AddVm(const std::string& zone);
  Endpoint& AddEndpoint(const std::string& service, const std::string& zone);
  void AddTraffic(const Traffic& traffic);
  // Writes the configuration; returns when the store had acknowledged it.
  Ms PutConfig(uint64_t version, const std::vector<Route>& routes);
  void Beat(Endpoint& endpoint);
  // An endpoint's entry as the endpoint itself writes it, without `born` if
  // that is 0.
  static std::string Entry(const Endpoint& endpoint, int64_t born);

  void StartVms();
  // Kills the processes and waits for their ends.
  void StopVms();
  void RunUntil(Ms end);
  Ms Now() const;

  void Note(const std::string& line);

  Store store;
  std::vector<Vm> vms;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::map<std::string, Request> requests;
  // Resets of open flows whose endpoint holds them and is alive.
  int resets_of_open_flows = 0;
  // SYNs that got no answer at all, and flows refused with a reset.
  int unanswered_flows = 0;
  int refused_flows = 0;
  // Packets or answers that nobody wrote so.
  int altered = 0;
  std::map<std::string, int> probes_answered;

 private:
  void StartVm(Vm& vm);
  void WatchVms();
  void ProbeVms();
  void FinishProbe(Vm& vm, bool ready);
  std::string Settings(const Vm& vm) const;

  void SendFromClient(ClientFlow& flow, Packet packet);
  void SendFromEndpoint(Endpoint& endpoint, const EndpointFlow& flow,
                        Packet packet);
  const Vm* ChooseVm(const Client& client, const Packet& packet) const;

  void OpenFlow(const Traffic& traffic, bool lasting);
  void StartRequest(ClientFlow& flow);
  void ReadClient(size_t index);
  void HandleAtClient(ClientFlow& flow, const Packet& packet);
  void TickClients();

  void ReadEndpoint(Endpoint& endpoint);
  void HandleAtEndpoint(Endpoint& endpoint, const Packet& packet);
  void ServeHealth(Endpoint& endpoint);
  void TickEndpoints();
  void FinishWork(Endpoint& endpoint, const Work& work);

  Options options_;
  uint32_t net_ = 0;
  uint16_t data_port_ = 0;
  uint16_t ready_port_ = 0;
  uint16_t control_port_ = 0;
  uint16_t admin_port_ = 0;
  uint16_t store_port_ = 0;
  int64_t started_ns_ = 0;
  std::mt19937_64 random_{1};
  uint64_t next_request_ = 1;
  std::vector<Client> clients_;
  std::vector<ClientFlow> flows_;
  std::map<uint64_t, size_t> flow_index_;
  std::vector<Traffic> traffic_;
  std::vector<Ms> next_flow_at_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_WORLD_H_
