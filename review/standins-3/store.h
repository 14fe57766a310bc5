#ifndef REVIEW_STANDINS_3_STORE_H_
#define REVIEW_STANDINS_3_STORE_H_

// Stand-in of the platform's metadata store.

#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "packet.h"

namespace standin {

// ---- The platform's store ------------------------------------------------

inline std::string Base64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t word = 0;
    for (size_t k = 0; k < 3; ++k) {
      word =
          word << 8 | (i + k < in.size() ? static_cast<uint8_t>(in[i + k]) : 0);
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
    history_.push_back(
        {.key = key,
         .json = Format("{\"key\":\"%s\",\"rev\":%llu,"
                        "\"deleted\":true}",
                        key.c_str(), static_cast<unsigned long long>(rev_)),
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
      const int fd =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
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
      const std::string part =
          query.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.rfind(wanted, 0) == 0)
        return Unescape(part.substr(wanted.size()));
      at = end;
    }
    return {};
  }
  static std::string Unescape(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  void Answer(Connection& c, int status, const std::string& body) {
    c.out += Format(
        "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
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
      const ssize_t size =
          send(c.fd, c.out.data() + c.sent, c.out.size() - c.sent,
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

}  // namespace standin

#endif  // REVIEW_STANDINS_3_STORE_H_
