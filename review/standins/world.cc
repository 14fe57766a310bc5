#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>

namespace review {
namespace {

constexpr Ms kHeartbeat = 1'200;
constexpr Ms kRestartDelay = 500;
constexpr Ms kProbeInterval = 500;
constexpr Ms kSynTimes[] = {0, 200, 600};
constexpr Ms kOpeningTime = 1'400;
constexpr Ms kMaxResendInterval = 1'600;
constexpr Ms kDeadline = 1'200;
constexpr uint32_t kResetWindow = 76'800;
constexpr size_t kSlots = 2;
constexpr int64_t kIdleTimeoutMs = 15'000;

sockaddr_in SocketAddress(uint32_t address, uint16_t port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(address);
  at.sin_port = htons(port);
  return at;
}

int OpenSocket(int type, uint32_t address, uint16_t port) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  const sockaddr_in at = SocketAddress(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 64) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

uint16_t PortOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

// A port that is free for TCP and UDP at the address. It stays bound until the
// sockets in `held` are closed, so that it is not returned twice.
uint16_t FreePort(uint32_t address, std::vector<int>& held) {
  while (true) {
    const int udp = OpenSocket(SOCK_DGRAM, address, 0);
    if (udp < 0) return 0;
    held.push_back(udp);
    const int tcp = OpenSocket(SOCK_STREAM, address, PortOf(udp));
    if (tcp < 0) continue;
    held.push_back(tcp);
    return PortOf(udp);
  }
}

std::string Text(uint32_t address) {
  const in_addr in{.s_addr = htonl(address)};
  char text[INET_ADDRSTRLEN];
  return inet_ntop(AF_INET, &in, text, sizeof(text));
}

std::string Text(uint32_t address, uint16_t port) {
  return Text(address) + ":" + std::to_string(port);
}

uint32_t Number(const std::string& address) {
  in_addr in{};
  inet_pton(AF_INET, address.c_str(), &in);
  return ntohl(in.s_addr);
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

void Replace(std::string& text, const std::string& what,
             const std::string& with) {
  for (size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + with.size())) {
    text.replace(at, what.size(), with);
  }
}

uint64_t FlowKey(uint32_t address, uint16_t port) {
  return (static_cast<uint64_t>(address) << 16) | port;
}

uint64_t Hash(uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

std::string Header(const std::string& text, const std::string& name) {
  const size_t at = text.find(name + ": ");
  if (at == std::string::npos) return {};
  const size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find('\r', begin) - begin);
}

int64_t SteadyNs() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

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

// ---- The programs under review -------------------------------------------

void World::AddVm(const std::string& zone) {
  const size_t number = vms.size() + 1;
  vms.push_back({.name = "frontend-" + zone + "-" + std::to_string(number),
                 .zone = zone,
                 .address = net_ | (1 << 8) | static_cast<uint32_t>(number)});
}

std::string World::Settings(const Vm& vm) const {
  std::ifstream file(options_.settings_template);
  std::stringstream stream;
  stream << file.rdbuf();
  std::string text = stream.str();
  std::string seeds;
  for (size_t i = 0; i < std::min<size_t>(3, vms.size()); ++i) {
    if (i > 0) seeds += ",";
    seeds += Quoted(Text(vms[i].address, control_port_));
  }
  Replace(text, "{{nodeId|json}}", Quoted(vm.name));
  Replace(text, "{{zone|json}}", Quoted(vm.zone));
  Replace(text, "{{listenAddrs.control|json}}",
          Quoted(Text(vm.address, control_port_)));
  Replace(text, "{{listenAddrs.datagramAddr|json}}",
          Quoted(Text(vm.address, data_port_)));
  Replace(text, "{{listenAddrs.readyAddr|json}}",
          Quoted(Text(vm.address, ready_port_)));
  Replace(text, "{{ip}}:9100", Text(vm.address, admin_port_));
  Replace(text, "{{seeds|json}}", "[" + seeds + "]");
  Replace(text, "{{platform.address|json}}",
          Quoted(Text(net_ | (2 << 8) | 1, store_port_)));
  Replace(text, "{{#bounds.addrReuseS}}address_reuse_s = {{.}}{{/bounds.addrReuseS}}",
          "address_reuse_s = 2");
  Replace(text, "{{#heartbeatMs}}server_heartbeat_ms = {{.}}{{/heartbeatMs}}",
          "server_heartbeat_ms = " + std::to_string(kHeartbeat));
  Replace(text, "{{#bounds.graceS}}grace_s = {{.}}{{/bounds.graceS}}",
          "grace_s = 6");
  return text;
}

void World::StartVms() {
  for (Vm& vm : vms) {
    StartVm(vm);
    // The first one is the one that has run for longest.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

void World::StartVm(Vm& vm) {
  const std::string settings = options_.directory + "/" + vm.name + ".toml";
  std::ofstream(settings) << Settings(vm);
  const std::string log = options_.directory + "/" + vm.name + ".log";
  int pipe_ends[2] = {-1, -1};
  if (!vm.output_is_read && pipe2(pipe_ends, O_CLOEXEC) != 0) std::exit(2);
  vm.restart_at = kNever;
  const pid_t pid = fork();
  if (pid == 0) {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        pipe_ends[1] >= 0 ? pipe_ends[1]
                          : open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    const std::string boot = "KNAPWEEDLIFT_BOOT=" + settings;
    const std::string path =
        std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "/usr/bin");
    char* const environment[] = {const_cast<char*>(boot.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    char* const arguments[] = {const_cast<char*>(options_.binary.c_str()),
                               const_cast<char*>("serve"),
                               const_cast<char*>("--settings"),
                               const_cast<char*>(settings.c_str()), nullptr};
    execve(options_.binary.c_str(), arguments, environment);
    _exit(127);
  }
  if (pipe_ends[1] >= 0) close(pipe_ends[1]);
  vm.output = pipe_ends[0];
  vm.pid = pid;
  Note("process of " + vm.name + " started");
}

void World::WatchVms() {
  for (Vm& vm : vms) {
    if (vm.pid == 0 && Now() >= vm.restart_at) StartVm(vm);
    int status = 0;
    if (vm.pid == 0 || waitpid(vm.pid, &status, WNOHANG) != vm.pid) continue;
    ++vm.own_ends;
    Note("process of " + vm.name + " ended by itself, " +
         (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit " + std::to_string(WEXITSTATUS(status))));
    vm.pid = 0;
    vm.restart_at = Now() + kRestartDelay;
    if (vm.output >= 0) close(vm.output);
    vm.output = -1;
  }
}

void World::ProbeVms() {
  const Ms now = Now();
  for (Vm& vm : vms) {
    if (vm.probe < 0 && now >= vm.probe_at) {
      vm.probe_at = now + kProbeInterval;
      vm.probe_sent = false;
      vm.probe = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const sockaddr_in to = SocketAddress(vm.address, ready_port_);
      connect(vm.probe, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    }
    if (vm.probe < 0) continue;
    if (!vm.probe_sent) {
      constexpr char kRequest[] =
          "GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n";
      vm.probe_sent = send(vm.probe, kRequest, sizeof(kRequest) - 1,
                           MSG_NOSIGNAL) > 0;
      if (!vm.probe_sent && errno != EAGAIN && errno != ENOTCONN) {
        FinishProbe(vm, false);
        continue;
      }
    }
    char buffer[512];
    const ssize_t count =
        vm.probe_sent ? recv(vm.probe, buffer, sizeof(buffer) - 1, 0) : -1;
    if (count > 0) {
      buffer[count] = '\0';
      FinishProbe(vm, std::strstr(buffer, " 200 ") != nullptr);
    } else if (count == 0 || now >= vm.probe_at) {
      FinishProbe(vm, false);
    }
  }
}

void World::FinishProbe(Vm& vm, bool ready) {
  close(vm.probe);
  vm.probe = -1;
  vm.missed_probes = ready ? 0 : vm.missed_probes + 1;
  const bool in_rotation = ready || (vm.in_rotation && vm.missed_probes < 2);
  if (ready) ++probes_answered[vm.name];
  if (in_rotation != vm.in_rotation) {
    Note(vm.name + (in_rotation ? " is in rotation" : " is out of rotation"));
  }
  vm.in_rotation = in_rotation;
}

// ---- The operator and the endpoints' entries ------------------------------

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

// ---- Clients ---------------------------------------------------------------

void World::AddTraffic(const Traffic& traffic) {
  const auto known = std::find_if(
      clients_.begin(), clients_.end(),
      [&](const Client& client) { return client.zone == traffic.zone; });
  if (known == clients_.end()) {
    const uint32_t address =
        net_ | (4 << 8) | static_cast<uint32_t>(clients_.size() + 1);
    clients_.push_back({.zone = traffic.zone,
                        .address = address,
                        .udp = OpenSocket(SOCK_DGRAM, address, data_port_)});
    if (clients_.back().udp < 0) std::exit(2);
  }
  traffic_.push_back(traffic);
  next_flow_at_.push_back(Now());
  for (int i = 0; i < traffic.lasting; ++i) OpenFlow(traffic, true);
}

const Vm* World::ChooseVm(const Client& client, const Packet& packet) const {
  std::vector<const Vm*> zone;
  std::vector<const Vm*> ready;
  std::vector<const Vm*> elsewhere;
  for (const Vm& vm : vms) {
    if (vm.zone == client.zone) {
      zone.push_back(&vm);
      if (vm.in_rotation) ready.push_back(&vm);
    } else if (vm.in_rotation) {
      elsewhere.push_back(&vm);
    }
  }
  const auto& set = ready.empty()                    ? elsewhere
                    : 2 * ready.size() < zone.size() ? zone
                                                     : ready;
  if (set.empty()) return nullptr;
  const uint64_t hash =
      Hash(FlowKey(packet.src, packet.sport) ^
           (static_cast<uint64_t>(packet.dst) << 32) ^ packet.dport);
  return set[hash % set.size()];
}

void World::SendFromClient(ClientFlow& flow, Packet packet) {
  packet.src = flow.route.src;
  packet.sport = flow.route.sport;
  packet.dst = flow.route.dst;
  packet.dport = flow.route.dport;
  packet.echo = (packet.flags & kSyn) != 0 ? 0 : flow.echo;
  const Client& client = clients_[flow.client];
  const Vm* vm = ChooseVm(client, packet);
  if (vm == nullptr) return;
  const std::string bytes = Encode(packet);
  const sockaddr_in to = SocketAddress(vm->address, data_port_);
  flow.last_packet_at = Now();
  sendto(client.udp, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void World::OpenFlow(const Traffic& traffic, bool lasting) {
  size_t index = 0;
  while (clients_[index].zone != traffic.zone) ++index;
  Client& client = clients_[index];
  ClientFlow flow;
  flow.client = index;
  flow.lasting = lasting;
  flow.route.src = client.address;
  flow.route.sport = client.next_port++;
  flow.route.dst = Number(traffic.route.host);
  flow.route.dport = traffic.route.port;
  flow.next = static_cast<uint32_t>(random_());
  flow.first_syn_at = Now();
  flow.interval = traffic.pause;
  flow_index_[FlowKey(flow.route.src, flow.route.sport)] = flows_.size();
  flows_.push_back(flow);
}

void World::StartRequest(ClientFlow& flow) {
  const std::string id = "q" + std::to_string(next_request_++);
  // Most requests take 15 to 35 ms, one in ten takes 150 to 250 ms.
  const Ms work = random_() % 10 == 0
                      ? 150 + static_cast<Ms>(random_() % 100)
                      : 15 + static_cast<Ms>(random_() % 20);
  flow.request = id;
  flow.unanswered = {.flags = kAck,
                     .seq = flow.next,
                     .ack = flow.ack,
                     .data = "POST /p HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " +
                             id + "\r\nX-Work: " + std::to_string(work) +
                             "\r\nContent-Length: 0\r\n\r\n"};
  flow.next += static_cast<uint32_t>(flow.unanswered.data.size());
  flow.resend_at = Now() + 200;
  flow.deadline = Now() + kDeadline;
  requests[id] = {.sent_at = Now(),
                  .flow_syn_at = flow.last_syn_at,
                  .route = Text(flow.route.dst, flow.route.dport)};
  Note("request " + id + " sent to " + requests[id].route + " from port " +
       std::to_string(flow.route.sport));
  SendFromClient(flow, flow.unanswered);
}

void World::ReadClient(size_t index) {
  uint8_t buffer[2048];
  while (true) {
    const ssize_t size =
        recv(clients_[index].udp, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size <= 0) return;
    const auto packet = Decode(buffer, static_cast<size_t>(size));
    const bool own_reset = packet.has_value() && packet->sum == 0 &&
                           packet->flags == kRst && packet->data.empty();
    if (!packet.has_value() || (!own_reset && packet->sum != KeyedSum(*packet))) {
      ++altered;
      Note("a client gets a packet that nobody wrote so");
      continue;
    }
    const auto found =
        flow_index_.find(FlowKey(packet->dst, packet->dport));
    if (found == flow_index_.end()) continue;
    HandleAtClient(flows_[found->second], *packet);
  }
}

void World::HandleAtClient(ClientFlow& flow, const Packet& packet) {
  if (flow.state == FlowState::kEnded) return;
  const std::string port = std::to_string(flow.route.sport);
  if ((packet.flags & kRst) != 0) {
    const bool in_window = packet.seq - flow.ack + kResetWindow <= 2 * kResetWindow;
    if (flow.state == FlowState::kOpen && !in_window) return;
    if (flow.state == FlowState::kOpening) {
      ++refused_flows;
      Note("flow of port " + port + " is refused with a reset");
    }
    if (flow.state == FlowState::kOpen && packet.sum == 0) {
      for (const auto& endpoint : endpoints) {
        const auto held =
            endpoint->flows.find(FlowKey(flow.route.src, flow.route.sport));
        const bool serves = endpoint->id == flow.endpoint && endpoint->alive &&
                            held != endpoint->flows.end() &&
                            held->second.open && !held->second.ended;
        if (!serves || flow.fin_sent) continue;
        ++resets_of_open_flows;
        Note("open flow of port " + port + " is reset by the system while " +
             flow.endpoint + " serves it" +
             (flow.request.empty() ? "" : ", request " + flow.request));
      }
    }
    flow.state = FlowState::kEnded;
    if (!flow.request.empty()) requests[flow.request].given_up = true;
    return;
  }
  flow.echo = packet.echo;
  if ((packet.flags & kSyn) != 0) {
    if (flow.state != FlowState::kOpening) return;
    flow.state = FlowState::kOpen;
    flow.opened_at = Now();
    flow.ack = packet.seq + 1;
    flow.next += 1;
    for (const auto& endpoint : endpoints) {
      const auto held =
          endpoint->flows.find(FlowKey(flow.route.src, flow.route.sport));
      if (held != endpoint->flows.end() && held->second.next == packet.seq + 1) {
        flow.endpoint = endpoint->id;
      }
    }
    Note("flow of port " + port + " opens at " + flow.endpoint);
    StartRequest(flow);
    return;
  }
  const bool is_new = packet.seq == flow.ack;
  if (!packet.data.empty() && is_new) {
    flow.ack += static_cast<uint32_t>(packet.data.size());
    const std::string id = Header(packet.data, "X-Attempt-Id");
    if (id != flow.request || !requests.contains(id)) {
      ++altered;
      Note("port " + port + " gets the answer to " + id);
    } else {
      requests[id].answered = true;
      Note("request " + id + " is answered");
    }
    flow.request.clear();
    flow.unanswered = {};
    flow.resend_at = kNever;
    flow.deadline = kNever;
    flow.next_request_at = flow.lasting ? Now() + flow.interval : kNever;
    if (!flow.lasting) {
      flow.fin_sent = true;
      SendFromClient(flow, {.flags = kAck | kFin,
                            .seq = flow.next,
                            .ack = flow.ack});
      flow.state = FlowState::kEnded;
      return;
    }
  }
  if (!packet.data.empty()) {
    SendFromClient(flow, {.flags = kAck, .seq = flow.next, .ack = flow.ack});
  }
}

void World::TickClients() {
  const Ms now = Now();
  for (size_t i = 0; i < traffic_.size(); ++i) {
    while (traffic_[i].per_second > 0 && now >= next_flow_at_[i]) {
      next_flow_at_[i] += std::max<Ms>(
          1, static_cast<Ms>(1000 / traffic_[i].per_second));
      OpenFlow(traffic_[i], false);
    }
  }
  for (ClientFlow& flow : flows_) {
    if (flow.state == FlowState::kEnded) continue;
    if (flow.state == FlowState::kOpening) {
      if (now >= flow.first_syn_at + kOpeningTime) {
        flow.state = FlowState::kEnded;
        ++unanswered_flows;
        Note("flow of port " + std::to_string(flow.route.sport) +
             " gets no answer");
        continue;
      }
      const bool due =
          flow.syns < 3 && now >= flow.first_syn_at + kSynTimes[flow.syns];
      if (!due) continue;
      flow.last_syn_at = now;
      SendFromClient(flow, {.flags = kSyn,
                            .seq = flow.next,
                            .ack = static_cast<uint32_t>(flow.syns)});
      ++flow.syns;
      continue;
    }
    if (now >= flow.deadline) {
      Note("request " + flow.request + " gets no answer by its deadline");
      requests[flow.request].given_up = true;
      flow.state = FlowState::kEnded;
      continue;
    }
    if (now >= flow.resend_at) {
      SendFromClient(flow, flow.unanswered);
      flow.resend_at = now + 400;
    }
    if (now >= flow.next_request_at) {
      flow.next_request_at = kNever;
      StartRequest(flow);
    }
  }
  // Lasting flows that have ended are opened again from a new port.
  for (size_t i = 0; i < flows_.size(); ++i) {
    if (!flows_[i].lasting || flows_[i].state != FlowState::kEnded) continue;
    flows_[i].lasting = false;
    for (const Traffic& traffic : traffic_) {
      if (Number(traffic.route.host) != flows_[i].route.dst ||
          traffic.route.port != flows_[i].route.dport ||
          traffic.zone != clients_[flows_[i].client].zone) {
        continue;
      }
      OpenFlow(traffic, true);
      break;
    }
  }
}

// ---- Endpoints -------------------------------------------------------------

void World::SendFromEndpoint(Endpoint& endpoint, const EndpointFlow& flow,
                             Packet packet) {
  packet.src = flow.route.src;
  packet.sport = flow.route.sport;
  packet.dst = flow.route.dst;
  packet.dport = flow.route.dport;
  packet.echo = flow.echo;
  const std::string bytes = Encode(packet);
  const sockaddr_in to = SocketAddress(packet.dst, data_port_);
  sendto(endpoint.udp, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void World::ReadEndpoint(Endpoint& endpoint) {
  uint8_t buffer[2048];
  while (true) {
    const ssize_t size = recv(endpoint.udp, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size <= 0) return;
    if (!endpoint.alive || size < 8) continue;
    uint64_t instance = 0;
    for (size_t i = 0; i < 8; ++i) instance = instance << 8 | buffer[i];
    if (instance != 0 && instance != endpoint.instance) continue;
    const auto packet = Decode(buffer + 8, static_cast<size_t>(size) - 8);
    if (!packet.has_value() || packet->sum != KeyedSum(*packet)) {
      ++altered;
      Note("endpoint " + endpoint.id + " gets a packet that nobody wrote so");
      continue;
    }
    HandleAtEndpoint(endpoint, *packet);
  }
}

void World::HandleAtEndpoint(Endpoint& endpoint, const Packet& packet) {
  const uint64_t key = FlowKey(packet.src, packet.sport);
  const auto found = endpoint.flows.find(key);
  if ((packet.flags & kRst) != 0) {
    if (found != endpoint.flows.end()) found->second.ended = true;
    return;
  }
  Packet back;
  back.src = packet.dst;
  back.sport = packet.dport;
  back.dst = packet.src;
  back.dport = packet.sport;
  if ((packet.flags & kSyn) != 0) {
    EndpointFlow& flow = endpoint.flows[key];
    if (flow.expected != packet.seq + 1) {
      flow = {.expected = packet.seq + 1,
              .next = static_cast<uint32_t>(random_()),
              .route = back};
      flow.next += 1;
    }
    flow.echo = packet.echo;
    SendFromEndpoint(endpoint, flow,
                     {.flags = kSyn | kAck,
                      .seq = flow.next - 1,
                      .ack = flow.expected});
    return;
  }
  if (found == endpoint.flows.end() ||
      (found->second.ended && !packet.data.empty())) {
    SendFromEndpoint(endpoint, {.echo = packet.echo, .route = back},
                     {.flags = kRst, .seq = packet.ack});
    return;
  }
  EndpointFlow& flow = found->second;
  flow.echo = packet.echo;
  if (packet.ack == flow.next) {
    flow.open = true;
    flow.resend_at = kNever;
    flow.unanswered = {};
  }
  if (!packet.data.empty() && packet.seq == flow.expected) {
    flow.expected += static_cast<uint32_t>(packet.data.size());
    const std::string id = Header(packet.data, "X-Attempt-Id");
    const Ms work = std::atol(Header(packet.data, "X-Work").c_str());
    endpoint.waiting.push_back({.flow = key, .request = id, .duration = work});
    SendFromEndpoint(endpoint, flow,
                     {.flags = kAck, .seq = flow.next, .ack = flow.expected});
  } else if (!packet.data.empty()) {
    SendFromEndpoint(endpoint, flow,
                     {.flags = kAck, .seq = flow.next, .ack = flow.expected});
  }
  if ((packet.flags & kFin) != 0) {
    flow.ended = true;
    SendFromEndpoint(endpoint, flow,
                     {.flags = kAck, .seq = flow.next, .ack = packet.seq + 1});
  }
}

void World::FinishWork(Endpoint& endpoint, const Work& work) {
  const auto found = endpoint.flows.find(work.flow);
  if (found == endpoint.flows.end() || found->second.ended) return;
  EndpointFlow& flow = found->second;
  flow.unanswered = {.flags = kAck,
                     .seq = flow.next,
                     .ack = flow.expected,
                     .data = "HTTP/1.1 200 OK\r\nX-Server-Seal: " +
                             endpoint.id + "\r\nX-Attempt-Id: " + work.request +
                             "\r\nContent-Length: 0\r\n\r\n"};
  flow.next += static_cast<uint32_t>(flow.unanswered.data.size());
  flow.interval = 200;
  flow.resends = 0;
  flow.resend_at = Now() + flow.interval;
  SendFromEndpoint(endpoint, flow, flow.unanswered);
}

void World::ServeHealth(Endpoint& endpoint) {
  while (true) {
    const int fd =
        accept4(endpoint.tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) break;
    endpoint.connections.push_back(fd);
  }
  std::erase_if(endpoint.connections, [](int fd) {
    char buffer[1024];
    const ssize_t count = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) return false;
    constexpr char kHealthy[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    if (count > 0) {
      send(fd, kHealthy, sizeof(kHealthy) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
      return false;
    }
    close(fd);
    return true;
  });
}

void World::TickEndpoints() {
  const Ms now = Now();
  for (const auto& owned : endpoints) {
    Endpoint& endpoint = *owned;
    if (!endpoint.alive) continue;
    if (endpoint.beats && now >= endpoint.next_beat) Beat(endpoint);
    std::erase_if(endpoint.running, [&](const Work& work) {
      if (now < work.ends_at) return false;
      FinishWork(endpoint, work);
      return true;
    });
    while (!endpoint.waiting.empty() && endpoint.running.size() < kSlots) {
      Work work = endpoint.waiting.front();
      endpoint.waiting.erase(endpoint.waiting.begin());
      work.ends_at = now + work.duration;
      Request& request = requests[work.request];
      ++request.runs;
      request.run_by = endpoint.id;
      Note("request " + work.request + " runs at " + endpoint.id);
      endpoint.running.push_back(work);
    }
    for (auto& [key, flow] : endpoint.flows) {
      if (flow.ended || now < flow.resend_at) continue;
      if (++flow.resends > 8) {
        flow.resend_at = kNever;
        continue;
      }
      flow.interval = std::min(2 * flow.interval, kMaxResendInterval);
      flow.resend_at = now + flow.interval;
      SendFromEndpoint(endpoint, flow, flow.unanswered);
    }
  }
}

// ---- The loop --------------------------------------------------------------

void World::At(Ms time, std::function<void()> action) {
  actions_.emplace_back(time, std::move(action));
}

void World::RunUntil(Ms end) {
  while (Now() < end) {
    std::vector<pollfd> polled;
    for (const Client& client : clients_) polled.push_back({client.udp, POLLIN, 0});
    for (const auto& endpoint : endpoints) {
      polled.push_back({endpoint->udp, POLLIN, 0});
      polled.push_back({endpoint->tcp, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), 1);
    for (size_t i = 0; i < actions_.size(); ++i) {
      if (Now() < actions_[i].first) continue;
      const auto action = std::move(actions_[i].second);
      actions_.erase(actions_.begin() + static_cast<ptrdiff_t>(i));
      --i;
      action();
    }
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
