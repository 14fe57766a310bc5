// Stand-ins of the users' platform for the scripts of the third review: the
// metadata store, the operator, backend endpoints, routers and clients. They
// run in this process on loopback addresses; the daemons under test are
// processes of their own, started with the command of the deploy file.
//
// Usage: standin CASE DAEMON DIRECTORY RECORD [calm]
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

// Figures of the pages (deployment cuna-medellin and mondego-lift).
constexpr int64_t kHistoryMs = 20'000;
constexpr int64_t kHeartbeatMs = 1'200;
constexpr int64_t kDrainMs = 3'000;
constexpr int64_t kConfigApplyMs = 3'000;
constexpr int64_t kStableWindowMs = 4'000;
constexpr int64_t kMaxStretchMs = 12'000;
constexpr size_t kValueBytes = 1'048'576;
constexpr int64_t kGiveUpMs = 1'400;

constexpr int kVms = 6;
constexpr int kZones = 3;
constexpr uint8_t kSyn = 2, kAck = 16, kFin = 4, kRst = 32;

int64_t NowMs() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return time.tv_sec * 1'000 + time.tv_nsec / 1'000'000;
}
int64_t start_ms;
int64_t Elapsed() { return NowMs() - start_ms; }

FILE* record_file;
void Record(const char* format, ...) {
  fprintf(record_file, "%7.3f ", static_cast<double>(Elapsed()) / 1'000);
  va_list arguments;
  va_start(arguments, format);
  vfprintf(record_file, format, arguments);
  va_end(arguments);
  fputc('\n', record_file);
  fflush(record_file);
}
[[noreturn]] void CannotRun(const char* why) {
  fprintf(stderr, "the case could not run: %s\n", why);
  if (record_file != nullptr) Record("the case could not run: %s", why);
  exit(2);
}

std::string Format(const char* format, ...) {
  char text[2'048];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  return text;
}

uint32_t Address(int net, int host) {
  return (127u << 24) | (static_cast<uint32_t>(net) << 16) |
         static_cast<uint32_t>(host);
}
std::string Text(uint32_t a) {
  return Format("%u.%u.%u.%u", a >> 24, (a >> 16) & 255, (a >> 8) & 255,
                a & 255);
}
sockaddr_in SocketAddress(uint32_t address, uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address);
  result.sin_port = htons(port);
  return result;
}
int OpenSocket(int type, uint32_t address, uint16_t port, bool required) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in at = SocketAddress(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 128) != 0)) {
    close(fd);
    if (required) CannotRun("an address is in use");
    return -1;
  }
  return fd;
}
// Ports that are free for UDP and TCP on the addresses of all VMs.
uint16_t FreePort() {
  static std::set<uint16_t> taken;
  for (int attempt = 0; attempt < 200; ++attempt) {
    const uint16_t port = static_cast<uint16_t>(
        20'000 + (static_cast<unsigned>(getpid()) * 37u +
                  static_cast<unsigned>(NowMs()) + attempt * 131u) %
                     10'000);
    if (!taken.insert(port).second) continue;
    bool free = true;
    for (int net = 1; net <= 5 && free; ++net) {
      for (int host = 1; host <= 16 && free; ++host) {
        for (const int type : {SOCK_DGRAM, SOCK_STREAM}) {
          const int fd = OpenSocket(type, Address(net, host), port, false);
          free = free && fd >= 0;
          if (fd >= 0) close(fd);
        }
      }
    }
    if (free) return port;
  }
  CannotRun("no free port");
}

// ---- Packets -------------------------------------------------------------

struct Packet {
  uint16_t len = 0;
  uint32_t sum = 0;
  uint8_t flags = 0;
  uint32_t echo = 0, seq = 0, ack = 0, src = 0, dst = 0;
  uint16_t dport = 0, sport = 0;
  std::string data;
};
void Put(std::string& out, uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i));
}
uint64_t Get(const std::string& in, size_t offset, int bytes) {
  uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value |= static_cast<uint64_t>(static_cast<uint8_t>(in[offset + i]))
             << (8 * i);
  }
  return value;
}
uint32_t SumOf(const Packet& p) {
  uint64_t hash = 0x9E3779B97F4A7C15u;
  const auto add = [&hash](uint64_t v) {
    hash = (hash ^ v) * 0x100000001B3u;
    hash ^= hash >> 29;
  };
  add(p.len), add(p.flags), add(p.seq), add(p.ack), add(p.src), add(p.dst);
  add(p.dport), add(p.sport);
  for (const char c : p.data) add(static_cast<uint8_t>(c));
  return static_cast<uint32_t>(hash) | 1;
}
std::string Encode(Packet p) {
  p.len = static_cast<uint16_t>(p.data.size());
  std::string out;
  Put(out, p.len, 2), Put(out, SumOf(p), 4), Put(out, p.flags, 1);
  Put(out, 0, 1), Put(out, p.echo, 4), Put(out, p.seq, 4), Put(out, p.ack, 4);
  Put(out, p.src, 4), Put(out, p.dport, 2), Put(out, p.dst, 4);
  Put(out, p.sport, 2);
  return out + p.data;
}
bool Decode(const std::string& in, Packet& p) {
  if (in.size() < 32) return false;
  p.len = static_cast<uint16_t>(Get(in, 0, 2));
  p.sum = static_cast<uint32_t>(Get(in, 2, 4));
  p.flags = static_cast<uint8_t>(in[6]);
  p.echo = static_cast<uint32_t>(Get(in, 8, 4));
  p.seq = static_cast<uint32_t>(Get(in, 12, 4));
  p.ack = static_cast<uint32_t>(Get(in, 16, 4));
  p.src = static_cast<uint32_t>(Get(in, 20, 4));
  p.dport = static_cast<uint16_t>(Get(in, 24, 2));
  p.dst = static_cast<uint32_t>(Get(in, 26, 4));
  p.sport = static_cast<uint16_t>(Get(in, 30, 2));
  p.data = in.substr(32);
  return p.data.size() == p.len;
}
void SendTo(int fd, uint32_t address, uint16_t port, const std::string& bytes) {
  const sockaddr_in to = SocketAddress(address, port);
  sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}
bool ReceiveFrom(int fd, std::string& bytes) {
  char buffer[2'048];
  const ssize_t size = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
  if (size <= 0) return false;
  bytes.assign(buffer, static_cast<size_t>(size));
  return true;
}

// ---- The platform's store ------------------------------------------------

std::string Base64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t word = 0;
    for (size_t k = 0; k < 3; ++k) {
      word = word << 8 | (i + k < in.size() ? static_cast<uint8_t>(in[i + k])
                                            : 0);
    }
    for (int k = 0; k < 4; ++k) {
      out += i + k > in.size() ? '=' : kDigits[(word >> (18 - 6 * k)) & 63];
    }
  }
  return out;
}

struct Item {
  std::string value64;
  uint64_t rev = 0, created = 0;
};
struct Event {
  std::string key;
  std::string json;
  uint64_t rev = 0;
  int64_t at = 0;
};
struct Connection {
  int fd = -1;
  std::string in, out;
  size_t sent = 0;
  bool waiting = false;
  std::string prefix;
  uint64_t after = 0;
  int64_t deadline = 0;
};
struct Copy {
  int64_t at = 0;
  uint64_t rev = 0;
  std::map<std::string, Item> items;
};

class Store {
 public:
  uint16_t port = 0;
  // Watch answers whose body is larger than this are counted.
  size_t largest_answer = 0;

  void Open() {
    listener_ = OpenSocket(SOCK_STREAM, Address(1, 1), port, true);
    copies_.push_back({.at = NowMs(), .rev = rev_});
  }
  bool up() const { return listener_ >= 0; }
  uint64_t rev() const { return rev_; }

  void Write(const std::string& key, const std::string& value) {
    if (value.size() > kValueBytes) CannotRun("a value is too large");
    ++rev_;
    Item& item = items_[key];
    if (item.created == 0) item.created = rev_;
    item.rev = rev_;
    item.value64 = Base64(value);
    history_.push_back(
        {.key = key, .json = ItemJson(key, item), .rev = rev_, .at = NowMs()});
    AfterWrite();
  }
  void Delete(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++rev_;
    history_.push_back({.key = key,
                        .json = Format("{\"key\":\"%s\",\"rev\":%llu,"
                                       "\"deleted\":true}",
                                       key.c_str(),
                                       static_cast<unsigned long long>(rev_)),
                        .rev = rev_,
                        .at = NowMs()});
    AfterWrite();
  }
  bool Has(const std::string& key, const std::string& value) const {
    const auto found = items_.find(key);
    return found != items_.end() && found->second.value64 == Base64(value);
  }

  // The store is away: its connections end, and new ones are refused.
  void GoAway() {
    close(listener_);
    listener_ = -1;
    for (Connection& connection : connections_) close(connection.fd);
    connections_.clear();
  }
  // The store comes back from the newest copy that is `age_ms` old.
  void ComeBackFromCopy(int64_t copied_before) {
    while (copies_.size() > 1 && copies_.back().at > copied_before) {
      copies_.pop_back();
    }
    items_ = copies_.back().items;
    rev_ = copies_.back().rev;
    while (!history_.empty() && history_.back().rev > rev_) history_.pop_back();
    ++era_;
    listener_ = OpenSocket(SOCK_STREAM, Address(1, 1), port, true);
  }

  void AddPolls(std::vector<pollfd>& polls) {
    if (listener_ >= 0) polls.push_back({listener_, POLLIN, 0});
    for (const Connection& c : connections_) {
      const short events = c.sent < c.out.size() ? POLLIN | POLLOUT : POLLIN;
      polls.push_back({c.fd, events, 0});
    }
  }
  void Run() {
    const int64_t now = NowMs();
    while (!history_.empty() && now - history_.front().at > kHistoryMs) {
      dropped_ = history_.front().rev;
      history_.pop_front();
    }
    if (listener_ < 0) return;
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) break;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      connections_.push_back({.fd = fd});
    }
    for (auto it = connections_.begin(); it != connections_.end();) {
      it = Serve(*it, now) ? std::next(it) : connections_.erase(it);
    }
  }

 private:
  static std::string ItemJson(const std::string& key, const Item& item) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value64 +
           "\",\"rev\":" + std::to_string(item.rev) +
           ",\"createRevision\":" + std::to_string(item.created) +
           ",\"lease\":0}";
  }
  void AfterWrite() {
    copies_.push_back({.at = NowMs(), .rev = rev_, .items = items_});
    while (copies_.size() > 1 && NowMs() - copies_[1].at > kHistoryMs) {
      copies_.pop_front();
    }
  }
  static std::string Parameter(const std::string& query, const char* name) {
    const std::string wanted = std::string(name) + "=";
    size_t at = query.find('?');
    while (at != std::string::npos) {
      const size_t end = query.find('&', at + 1);
      const std::string part = query.substr(
          at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.rfind(wanted, 0) == 0) return Unescape(part.substr(wanted.size()));
      at = end;
    }
    return {};
  }
  static std::string Unescape(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr,
                                        16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  void Answer(Connection& c, int status, const std::string& body) {
    c.out += Format("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                    "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
                    status, status == 200 ? "OK" : "Error", era_, body.size());
    c.out += body;
  }
  bool Serve(Connection& c, int64_t now) {
    char buffer[4'096];
    while (true) {
      const ssize_t size = recv(c.fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (size > 0) {
        c.in.append(buffer, static_cast<size_t>(size));
        continue;
      }
      if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
        close(c.fd);
        return false;
      }
      break;
    }
    const size_t end = c.in.find("\r\n\r\n");
    if (!c.waiting && end != std::string::npos) {
      const size_t first = c.in.find(' ');
      const std::string target =
          c.in.substr(first + 1, c.in.find(' ', first + 1) - first - 1);
      c.in.erase(0, end + 4);
      Handle(c, target, now);
    }
    if (c.waiting) AnswerWatch(c, now);
    while (c.sent < c.out.size()) {
      const ssize_t size = send(c.fd, c.out.data() + c.sent,
                                c.out.size() - c.sent,
                                MSG_DONTWAIT | MSG_NOSIGNAL);
      if (size <= 0) break;
      c.sent += static_cast<size_t>(size);
    }
    if (c.sent == c.out.size()) {
      c.out.clear();
      c.sent = 0;
    }
    return true;
  }
  void Handle(Connection& c, const std::string& target, int64_t now) {
    c.prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    if (target.rfind("/-/kv-range", 0) == 0) return AnswerRange(c, after);
    if (target.rfind("/-/kv-watch", 0) != 0) return Answer(c, 404, "{}");
    c.waiting = true;
    c.after = strtoull(after.c_str(), nullptr, 10);
    c.deadline = now + atoll(Parameter(target, "waitMs").c_str());
  }
  void AnswerRange(Connection& c, const std::string& after) {
    std::string body = "{\"items\":[";
    size_t count = 0;
    bool more = false;
    for (const auto& [key, item] : items_) {
      if (key.rfind(c.prefix, 0) != 0 || key <= after) continue;
      more = count > 0 && (count == 500 || body.size() > (1u << 20));
      if (more) break;
      if (count++ > 0) body += ',';
      body += ItemJson(key, item);
    }
    Answer(c, 200,
           body + "],\"hasMore\":" + (more ? "true" : "false") +
               ",\"asOf\":" + std::to_string(rev_) + "}");
  }
  void AnswerWatch(Connection& c, int64_t now) {
    if (c.after < dropped_ || c.after > rev_) {
      c.waiting = false;
      return Answer(c, 410, "{}");
    }
    std::string events;
    for (const Event& event : history_) {
      if (event.rev <= c.after || event.key.rfind(c.prefix, 0) != 0) continue;
      if (!events.empty()) events += ',';
      events += event.json;
    }
    if (events.empty() && now < c.deadline) return;
    c.waiting = false;
    const std::string body =
        "{\"events\":[" + events + "],\"asOf\":" + std::to_string(rev_) + "}";
    if (body.size() > largest_answer) {
      largest_answer = body.size();
      Record("store: largest answer to a watch so far: %zu bytes", body.size());
    }
    Answer(c, 200, body);
  }

  int listener_ = -1;
  int era_ = 1;
  uint64_t rev_ = 1'000;
  uint64_t dropped_ = 0;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::deque<Copy> copies_;
  std::list<Connection> connections_;
};

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
    Attempt a{.number = ++attempts_, .what = what, .vm = vm,
              .sent_at = NowMs()};
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
      if ((number != 0 && number != e.number) ||
          !Decode(bytes.substr(8), p) || p.sum != SumOf(p)) {
        continue;
      }
      HandleAtEndpoint(e, p);
    }
  }
  void Reply(Endpoint& e, const Packet& p, uint8_t flags, uint32_t seq,
             uint32_t ack, const std::string& data) {
    const Packet out{.flags = flags, .echo = p.echo, .seq = seq, .ack = ack,
                     .src = p.dst, .dst = p.src, .dport = p.sport,
                     .sport = p.dport, .data = data};
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
    const Packet syn{.flags = kSyn, .seq = a.isn,
                     .ack = static_cast<uint32_t>(a.copies),
                     .src = a.id.src, .dst = a.id.dst, .dport = a.id.dport,
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
        .flags = kAck, .echo = a.echo, .seq = a.isn + 1,
        .ack = a.server_seq + 1, .src = a.id.src, .dst = a.id.dst,
        .dport = a.id.dport, .sport = a.id.sport,
        .data = Format("GET / HTTP/1.1\r\nX-Attempt-Id: a%d\r\n\r\n",
                       a.number)};
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

// ---- Cases ---------------------------------------------------------------

constexpr uint16_t kOldPort = 8'443, kDroppedPort = 8'080, kNewPort = 9'443;
const Route kOld{.port = kOldPort, .service = "huvo11a"};
const Route kDropped{.port = kDroppedPort, .service = "wuno96b"};
const Route kNew{.port = kNewPort, .service = "wuno96b"};

void StartAll(World& world, const std::vector<Route>& routes) {
  for (int i = 0; i < 4; ++i) world.AddEndpoint("huvo11a", i % kZones);
  for (int i = 0; i < 3; ++i) world.AddEndpoint("wuno96b", i % kZones);
  world.WriteConfig(7, routes);
  world.RunUntil(100);
  for (int i = 0; i < kVms; ++i) world.StartVm(i);
  const int64_t until = Elapsed() + 8'000;
  while (world.ReadyVms() < kVms && Elapsed() < until) world.Step();
  if (world.ReadyVms() < kVms) CannotRun("the daemons did not become ready");
}

// Sends usual requests until `until`, and probes of routes through each ready
// VM every 500 ms.
void SendUntil(World& world, int64_t until, bool probes) {
  int64_t next = Elapsed(), next_probe = Elapsed();
  while (Elapsed() < until) {
    if (Elapsed() >= next) {
      next += 50;
      world.SendRouted("usual", kOldPort);
    }
    if (probes && Elapsed() >= next_probe) {
      next_probe += 500;
      for (int i = 0; i < kVms; ++i) {
        if (!world.vms[i].ready) continue;
        world.Send("added route", kNewPort, i);
        world.Send("dropped route", kDroppedPort, i);
      }
    }
    world.Step();
  }
}

// CONFIG: requests sent later than `from` and handled as an older version.
int CountOldConfig(const World& world, int64_t from, std::set<int>& through) {
  int broken = 0;
  for (const Attempt& a : world.ended) {
    if (a.sent_at - start_ms <= from) continue;
    const bool served = a.result.rfind("served", 0) == 0;
    const bool old =
        (a.what == "added route" && a.result == "reset by the system") ||
        (a.what == "dropped route" && served);
    if (!old) continue;
    ++broken;
    through.insert(a.vm);
  }
  return broken;
}
// DRAIN: requests that reach `e` later than the bound.
int CountLateAt(const World& world, const Endpoint& e, int64_t from) {
  int broken = 0;
  for (const Attempt& a : world.ended) {
    const bool reached = a.result == "served " + e.service + " " + e.id;
    if (reached && a.sent_at > e.drain_acked_at + from) ++broken;
  }
  return broken;
}
int Served(const World& world, const std::string& what, int64_t from) {
  int count = 0;
  for (const Attempt& a : world.ended) {
    count += a.what == what && a.sent_at - start_ms > from &&
             a.result.rfind("served", 0) == 0;
  }
  return count;
}

int Conclude(World& world, const char* rule, int broken) {
  const bool ended = world.DaemonEnded();
  world.StopVms();
  Record(broken > 0 || ended ? "result: %s is broken" : "result: %s held",
         rule);
  printf("%s: %s (%d requests)\n", rule, broken > 0 ? "BROKEN" : "held",
         broken);
  return broken > 0 || ended ? 1 : 0;
}

// The store comes back from a copy that is some seconds old, and gives out its
// revisions again.
int RunRewind(World& world, bool calm) {
  StartAll(world, {kOld, kDropped});
  SendUntil(world, 6'000, false);
  // Two corrections of a time-out within the seconds that the copy lacks.
  Route slower = kOld;
  for (int version = 9; version <= 13; version += 2) {
    slower.timeout_ms += 100;
    world.WriteConfig(version, {slower, kDropped});
    SendUntil(world, Elapsed() + 600, false);
  }
  if (!calm) {
    const int64_t copied_before = NowMs() - 3'000;
    Record("store: away");
    world.store.GoAway();
    SendUntil(world, Elapsed() + 1'000, false);
    world.store.ComeBackFromCopy(copied_before);
    Record("store: back from a copy that is 3 s old, revision %llu",
           static_cast<unsigned long long>(world.store.rev()));
    SendUntil(world, Elapsed() + 200, false);
    world.RewriteConfig();
  }
  SendUntil(world, Elapsed() + kStableWindowMs + 2'000, false);
  world.WriteConfig(20, {slower, kNew});
  const int64_t acked = Elapsed();
  Endpoint& leaving = world.endpoints.front();
  world.Drain(leaving);
  SendUntil(world, Elapsed() + kConfigApplyMs + kMaxStretchMs + 10'000, true);
  std::set<int> within, through;
  const int at_bound =
      CountOldConfig(world, acked + kConfigApplyMs, within);
  const int broken = CountOldConfig(
      world, acked + kConfigApplyMs + kMaxStretchMs, through);
  const int late = CountLateAt(world, leaving, kDrainMs + kMaxStretchMs);
  Record("requests handled as an older version: %d through %zu of %d VMs later "
         "than configApplyMs, %d through %zu VMs later than configApplyMs + "
         "maxStretchMs",
         at_bound, within.size(), kVms, broken, through.size());
  Record("DRAIN as well: %d requests reached %s later than drainMs + "
         "maxStretchMs after its draining was acknowledged",
         late, leaving.id.c_str());
  Record("requests of the added route that were served: %d",
         Served(world, "added route", acked));
  return Conclude(world, "CONFIG", broken);
}

// The store comes back from a copy that is some seconds old, and its revisions
// soon pass those that the VMs have. A version that was written in between has a
// revision that they had already.
int RunLostVersion(World& world, bool calm) {
  StartAll(world, {kOld, kDropped});
  SendUntil(world, 6'000, false);
  Route slower = kOld;
  for (int version = 9; version <= 13; version += 2) {
    slower.timeout_ms += 100;
    world.WriteConfig(version, {slower, kDropped});
    SendUntil(world, Elapsed() + 600, false);
  }
  if (!calm) {
    const int64_t copied_before = NowMs() - 3'000;
    Record("store: away");
    world.store.GoAway();
    SendUntil(world, Elapsed() + 1'000, false);
    world.store.ComeBackFromCopy(copied_before);
    Record("store: back from a copy that is 3 s old, revision %llu",
           static_cast<unsigned long long>(world.store.rev()));
    world.RewriteConfig();
  }
  SendUntil(world, Elapsed() + 300, false);
  world.WriteConfig(20, {slower, kNew});
  const int64_t acked = Elapsed();
  // One endpoint is replaced: the new one starts first, the old one drains.
  Endpoint& leaving = world.endpoints.front();
  SendUntil(world, Elapsed() + 300, false);
  Endpoint& added = world.AddEndpoint("huvo11a", 0);
  SendUntil(world, Elapsed() + 700, false);
  world.Drain(leaving);
  SendUntil(world, Elapsed() + 1'000, false);
  const int64_t stable = Elapsed() + kStableWindowMs;
  SendUntil(world, acked + kConfigApplyMs + kMaxStretchMs + 10'000, true);
  std::set<int> through;
  const int broken = CountOldConfig(
      world, std::max(acked + kConfigApplyMs + kMaxStretchMs, stable), through);
  int at_added = 0;
  for (const Attempt& a : world.ended) {
    at_added += a.result == "served huvo11a " + added.id;
  }
  Record("requests handled as an older version: %d through %zu of %d VMs later "
         "than configApplyMs + maxStretchMs",
         broken, through.size(), kVms);
  Record("changes after it arrived: %d requests were served by the endpoint that "
         "was added, %d reached the draining one later than drainMs",
         at_added, CountLateAt(world, leaving, kDrainMs));
  return Conclude(world, "CONFIG", broken);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  signal(SIGPIPE, SIG_IGN);
  start_ms = NowMs();
  record_file = fopen(argv[4], "w");
  if (record_file == nullptr) return 2;
  alarm(115);
  const std::string name = argv[1];
  const bool calm = argc > 5 && std::string(argv[5]) == "calm";
  World world(argv[2], argv[3]);
  if (name == "rewind") return RunRewind(world, calm);
  if (name == "lost-version") return RunLostVersion(world, calm);
  return 2;
}
