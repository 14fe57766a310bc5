#ifndef REVIEW_STANDINS_3_WORLD_H_
#define REVIEW_STANDINS_3_WORLD_H_

// Stand-ins of the operator, endpoints, routers and clients, and the daemons
// under test.

#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "store.h"

namespace standin {

// ---- The world -----------------------------------------------------------

struct FlowId {
  uint32_t src = 0;
  uint16_t sport = 0;
  uint32_t dst = 0;
  uint16_t dport = 0;
  auto operator<=>(const FlowId&) const = default;
};

struct EndpointFlow {
  uint32_t client_seq = 0, seq = 0;
};
struct Endpoint {
  std::string id, service, zone, state = "ready";
  uint64_t number = 0;
  uint32_t address = 0;
  int udp = -1, tcp = -1;
  int64_t next_beat = 0;
  int beats = 0;
  int64_t born = 0;
  int64_t drain_acked_at = 0;
  std::map<FlowId, EndpointFlow> flows;
};

struct Attempt {
  int number = 0;
  std::string what;
  int vm = 0;
  int64_t sent_at = 0;
  FlowId id;
  uint32_t isn = 0;
  int copies = 0;
  bool open = false;
  uint32_t server_seq = 0, echo = 0;
  std::string result;
};

struct Vm {
  std::string name, zone;
  uint32_t address = 0;
  pid_t pid = -1;
  bool ready = false;
  int misses = 0;
  int probe = -1;
  int64_t next_probe = 0;
};

struct Route {
  uint16_t port = 0;
  std::string service;
  int timeout_ms = 3'000;
};

class World {
 public:
  World(const std::string& daemon, const std::string& directory)
      : daemon_(daemon), directory_(directory) {
    store.port = FreePort();
    data_port_ = FreePort();
    control_port_ = FreePort();
    ready_port_ = FreePort();
    admin_port_ = FreePort();
    endpoint_port_ = FreePort();
    store.Open();
    for (int i = 0; i < kZones; ++i) {
      clients_.push_back(
          OpenSocket(SOCK_DGRAM, Address(4, i + 1), data_port_, true));
    }
    for (int i = 0; i < kVms; ++i) {
      vms.push_back({.name = Format("frontend-%c-%d", 'a' + i % kZones, i + 1),
                     .zone = Zone(i % kZones),
                     .address = Address(2, i + 1)});
    }
  }
  ~World() { StopVms(); }

  Store store;
  std::vector<Vm> vms;
  std::list<Endpoint> endpoints;
  std::vector<Attempt> ended;

  static std::string Zone(int i) { return Format("zone-%c", 'a' + i); }

  Endpoint& AddEndpoint(const std::string& service, int zone) {
    const int n = static_cast<int>(endpoints.size()) + 1;
    Endpoint e{.id = Format("i-%010llx", 0xce78000000ull + 7'919ull * n),
               .service = service,
               .zone = Zone(zone),
               .number = 0xce78000000ull + 7'919ull * n,
               .address = Address(3, n)};
    e.udp = OpenSocket(SOCK_DGRAM, e.address, endpoint_port_, true);
    e.tcp = OpenSocket(SOCK_STREAM, e.address, endpoint_port_, true);
    e.next_beat = NowMs();
    e.born = 1'790'000'000'000 + n;
    endpoints.push_back(e);
    return endpoints.back();
  }

  std::string ConfigText(int version, const std::vector<Route>& routes) const {
    std::string list;
    const auto add = [&list](int n, uint32_t host, const Route& route) {
      if (!list.empty()) list += ',';
      list += Format(
          "{\"name\":\"r-a3h%05d\",\"host\":\"%s\",\"prefix\":\"/%u/\","
          "\"routeType\":\"download\",\"timeoutMs\":%d,"
          "\"targetLatencyMs\":500,\"priority\":2,\"service\":\"%s\","
          "\"maxAttempts\":2}",
          n, Text(host).c_str(), route.port, route.timeout_ms,
          route.service.c_str());
    };
    int n = 0;
    for (const Route& route : routes) add(++n, kHost, route);
    return Format("{\"version\":%d,\"routes\":[", version) + list +
           "],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\","
           "\"maxFlows\":4000,\"protocol\":\"h1\",\"tls\":false},{\"name\":"
           "\"wuno96b\",\"healthPath\":\"/health\",\"maxFlows\":4000,"
           "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
           "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }
  // Writes a configuration; the return is the store's acknowledgement.
  void WriteConfig(int version, const std::vector<Route>& routes) {
    config_ = ConfigText(version, routes);
    store.Write("op/config", config_);
    Record("operator: version %d acknowledged, revision %llu, %zu bytes",
           version, static_cast<unsigned long long>(store.rev()),
           config_.size());
  }
  // The operator writes its newest configuration again if the store lacks it.
  void RewriteConfig() {
    if (store.Has("op/config", config_)) return;
    store.Write("op/config", config_);
    Record("operator: newest configuration written again, revision %llu",
           static_cast<unsigned long long>(store.rev()));
  }
  void Drain(Endpoint& e) {
    e.state = "draining";
    Beat(e);
    e.drain_acked_at = NowMs();
    Record("endpoint %s: draining acknowledged, revision %llu", e.id.c_str(),
           static_cast<unsigned long long>(store.rev()));
  }

  void StartVm(int index) {
    Vm& vm = vms[index];
    const std::string path = directory_ + "/" + vm.name + ".toml";
    FILE* file = fopen(path.c_str(), "w");
    if (file == nullptr) CannotRun("no settings file");
    const std::string ip = Text(vm.address);
    fprintf(file,
            "[transport]\nkind = \"marks\"\n[vm]\nname = \"%s\"\n"
            "failure_domain = \"%s\"\ncontrol = \"%s:%u\"\ndata = \"%s:%u\"\n"
            "ready = \"%s:%u\"\nadmin = \"%s:%u\"\n[peers]\n"
            "seeds = [\"%s:%u\", \"%s:%u\", \"%s:%u\"]\n[platform]\n"
            "address = \"%s:%u\"\naddress_reuse_s = 2\n"
            "server_heartbeat_ms = 1200\n[deployment]\nnumber = 1\n"
            "hash_key = 7310221904\n[limits]\nflows = 20000\n[slow_answers]\n"
            "avoid_slow_servers = true\n[admission]\nenabled = true\n"
            "target_waiting_per_slot = 4.5\n[log]\n"
            "flow_lines_per_second = 20\n[shutdown]\ngrace_s = 6\n",
            vm.name.c_str(), vm.zone.c_str(), ip.c_str(), control_port_,
            ip.c_str(), data_port_, ip.c_str(), ready_port_, ip.c_str(),
            admin_port_, Text(vms[0].address).c_str(), control_port_,
            Text(vms[1].address).c_str(), control_port_,
            Text(vms[2].address).c_str(), control_port_,
            Text(Address(1, 1)).c_str(), store.port);
    fclose(file);
    const std::string log = directory_ + "/" + vm.name + ".log";
    const pid_t parent = getpid();
    vm.pid = fork();
    if (vm.pid < 0) CannotRun("fork failed");
    if (vm.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      execl(daemon_.c_str(), "knapweedlift", "serve", "--settings",
            path.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Record("platform: %s started", vm.name.c_str());
  }
  // Stops all daemons gracefully, then by force.
  void StopVms() {
    for (const Vm& vm : vms) {
      if (vm.pid > 0) kill(vm.pid, SIGTERM);
    }
    const int64_t until = NowMs() + 6'000;
    for (Vm& vm : vms) {
      while (vm.pid > 0) {
        if (waitpid(vm.pid, nullptr, WNOHANG) == vm.pid) break;
        if (NowMs() > until) {
          kill(vm.pid, SIGKILL);
          waitpid(vm.pid, nullptr, 0);
          break;
        }
        usleep(10'000);
      }
      vm.pid = -1;
    }
  }
  // A daemon that ended by itself.
  bool DaemonEnded() {
    bool ended_by_itself = false;
    for (Vm& vm : vms) {
      int status = 0;
      if (vm.pid <= 0 || waitpid(vm.pid, &status, WNOHANG) != vm.pid) continue;
      Record("%s ended by itself, status %d", vm.name.c_str(), status);
      vm.pid = -1;
      ended_by_itself = true;
    }
    return ended_by_itself;
  }

  // Opens a flow from a new port through a VM and sends one request on it.
  void Send(const std::string& what, uint16_t port, int vm) {
    Attempt a{
        .number = ++attempts_, .what = what, .vm = vm, .sent_at = NowMs()};
    a.id = {.src = Address(4, 1 + vm % kZones),
            .sport = static_cast<uint16_t>(10'000 + attempts_ % 50'000),
            .dst = kHost,
            .dport = port};
    a.isn = static_cast<uint32_t>(attempts_) * 2'654'435'761u;
    active_[a.id] = a;
    SendSyn(active_[a.id]);
  }
  // Sends through any ready VM of the client's zone, as routers do.
  void SendRouted(const std::string& what, uint16_t port) {
    std::vector<int> ready;
    const int zone = attempts_ % kZones;
    for (int i = 0; i < kVms; ++i) {
      if (vms[i].ready && i % kZones == zone) ready.push_back(i);
    }
    if (ready.empty()) return;
    Send(what, port,
         ready[(static_cast<uint32_t>(attempts_) * 40'503u >> 4) %
               ready.size()]);
  }

  int ReadyVms() const {
    int count = 0;
    for (const Vm& vm : vms) count += vm.ready ? 1 : 0;
    return count;
  }

  // Handles events for a millisecond or two.
  void Step() {
    std::vector<pollfd> polls;
    store.AddPolls(polls);
    for (const int fd : clients_) polls.push_back({fd, POLLIN, 0});
    for (const Endpoint& e : endpoints) {
      polls.push_back({e.udp, POLLIN, 0});
      polls.push_back({e.tcp, POLLIN, 0});
    }
    poll(polls.data(), polls.size(), 2);
    store.Run();
    for (Endpoint& e : endpoints) RunEndpoint(e);
    for (const int fd : clients_) RunClient(fd);
    RunAttempts();
    RunProbes();
  }
  void RunUntil(int64_t elapsed_ms) {
    while (Elapsed() < elapsed_ms) Step();
  }

 private:
  static constexpr uint32_t kHost = (127u << 24) | (5u << 16) | 1u;

  void Beat(Endpoint& e) {
    e.next_beat = NowMs() + kHeartbeatMs;
    if (!store.up()) return;
    ++e.beats;
    // The item changes when more than its sequence does.
    const std::string value = Format(
        "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":2,\"state\":\"%s\",\"coldLeftMs\":0,"
        "\"sequence\":1,\"born\":%lld}",
        e.service.c_str(), Text(e.address).c_str(), endpoint_port_,
        e.zone.c_str(), e.state.c_str(), static_cast<long long>(e.born));
    if (!store.Has("servers/" + e.id, value)) {
      store.Write("servers/" + e.id, value);
    }
  }
  void RunEndpoint(Endpoint& e) {
    if (NowMs() >= e.next_beat) Beat(e);
    while (true) {
      const int fd = accept4(e.tcp, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      close(fd);
    }
    std::string bytes;
    while (ReceiveFrom(e.udp, bytes)) {
      if (bytes.size() < 40) continue;
      uint64_t number = 0;
      for (int i = 0; i < 8; ++i) {
        number = number << 8 | static_cast<uint8_t>(bytes[i]);
      }
      Packet p;
      if ((number != 0 && number != e.number) || !Decode(bytes.substr(8), p) ||
          p.sum != SumOf(p)) {
        continue;
      }
      HandleAtEndpoint(e, p);
    }
  }
  void Reply(Endpoint& e, const Packet& p, uint8_t flags, uint32_t seq,
             uint32_t ack, const std::string& data) {
    const Packet out{.flags = flags,
                     .echo = p.echo,
                     .seq = seq,
                     .ack = ack,
                     .src = p.dst,
                     .dst = p.src,
                     .dport = p.sport,
                     .sport = p.dport,
                     .data = data};
    SendTo(e.udp, p.src, data_port_, Encode(out));
  }
  void HandleAtEndpoint(Endpoint& e, const Packet& p) {
    const FlowId id{p.src, p.sport, p.dst, p.dport};
    if (p.flags & kSyn) {
      EndpointFlow& flow = e.flows[id];
      if (flow.client_seq != p.seq) {
        flow = {.client_seq = p.seq, .seq = p.seq * 31u + 77u};
      }
      Reply(e, p, kSyn | kAck, flow.seq, p.seq + 1, {});
      return;
    }
    if (p.flags & kRst) return;
    const auto found = e.flows.find(id);
    if (found == e.flows.end()) return Reply(e, p, kRst, p.ack, 0, {});
    EndpointFlow& flow = found->second;
    if (p.data.empty()) return;
    Reply(e, p, kAck | kFin, flow.seq + 1,
          p.seq + static_cast<uint32_t>(p.data.size()),
          "served " + e.service + " " + e.id);
  }
  void SendSyn(Attempt& a) {
    const Packet syn{.flags = kSyn,
                     .seq = a.isn,
                     .ack = static_cast<uint32_t>(a.copies),
                     .src = a.id.src,
                     .dst = a.id.dst,
                     .dport = a.id.dport,
                     .sport = a.id.sport};
    ++a.copies;
    SendTo(clients_[a.vm % kZones], vms[a.vm].address, data_port_, Encode(syn));
  }
  void RunClient(int fd) {
    std::string bytes;
    while (ReceiveFrom(fd, bytes)) {
      Packet p;
      if (!Decode(bytes, p)) continue;
      const auto found = active_.find({p.dst, p.dport, p.src, p.sport});
      if (found == active_.end()) continue;
      Attempt& a = found->second;
      if (p.flags & kRst) {
        End(a, p.sum == 0 ? "reset by the system" : "reset by the endpoint");
        continue;
      }
      if (p.flags & kSyn) {
        if (!a.open) {
          a.open = true;
          a.server_seq = p.seq;
        }
        a.echo = p.echo;
        SendRequest(a);
        continue;
      }
      if (!p.data.empty()) End(a, p.data);
    }
  }
  void SendRequest(const Attempt& a) {
    const Packet request{
        .flags = kAck,
        .echo = a.echo,
        .seq = a.isn + 1,
        .ack = a.server_seq + 1,
        .src = a.id.src,
        .dst = a.id.dst,
        .dport = a.id.dport,
        .sport = a.id.sport,
        .data =
            Format("GET / HTTP/1.1\r\nX-Attempt-Id: a%d\r\n\r\n", a.number)};
    SendTo(clients_[a.vm % kZones], vms[a.vm].address, data_port_,
           Encode(request));
  }
  void End(Attempt& a, const std::string& result) {
    a.result = result;
    Record("request %d (%s, port %u) sent at %.3f through %s: %s", a.number,
           a.what.c_str(), a.id.dport,
           static_cast<double>(a.sent_at - start_ms) / 1'000,
           vms[a.vm].name.c_str(), result.c_str());
    ended.push_back(a);
    active_.erase(a.id);
  }
  void RunAttempts() {
    const int64_t now = NowMs();
    std::vector<FlowId> late;
    for (auto& [id, a] : active_) {
      const int64_t age = now - a.sent_at;
      if (!a.open) {
        if ((a.copies == 1 && age >= 200) || (a.copies == 2 && age >= 600)) {
          SendSyn(a);
        }
        if (age >= kGiveUpMs) late.push_back(id);
      } else if (age >= 3'000) {
        late.push_back(id);
      }
    }
    for (const FlowId& id : late) End(active_[id], "no answer");
  }
  // Two probes a second to each readiness port.
  void RunProbes() {
    const int64_t now = NowMs();
    for (Vm& vm : vms) {
      if (now < vm.next_probe) continue;
      vm.next_probe = now + 500;
      bool good = false;
      if (vm.probe >= 0) {
        char buffer[256] = {};
        good = recv(vm.probe, buffer, sizeof(buffer) - 1, MSG_DONTWAIT) > 12 &&
               strncmp(buffer + 9, "200", 3) == 0;
        close(vm.probe);
        vm.probe = -1;
      }
      vm.misses = good ? 0 : vm.misses + 1;
      if (good != vm.ready && (good || vm.misses >= 2)) {
        vm.ready = good;
        Record("routers: %s is %s", vm.name.c_str(),
               good ? "in rotation" : "out of rotation");
      }
      if (vm.pid <= 0) continue;
      vm.probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in to = SocketAddress(vm.address, ready_port_);
      const std::string request =
          "GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n";
      // Connecting to a loopback address returns at once.
      if (connect(vm.probe, reinterpret_cast<const sockaddr*>(&to),
                  sizeof(to)) != 0) {
        close(vm.probe);
        vm.probe = -1;
        continue;
      }
      send(vm.probe, request.data(), request.size(), MSG_NOSIGNAL);
    }
  }

  std::string daemon_, directory_, config_;
  uint16_t data_port_ = 0, control_port_ = 0, ready_port_ = 0;
  uint16_t admin_port_ = 0, endpoint_port_ = 0;
  std::vector<int> clients_;
  std::map<FlowId, Attempt> active_;
  int attempts_ = 0;
};

}  // namespace standin

#endif  // REVIEW_STANDINS_3_WORLD_H_
