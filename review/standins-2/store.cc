#include "store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <vector>

namespace {

constexpr size_t kMaxItemsPerPage = 500;

std::string Base64(const std::string& text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = (group << 8) |
              (i + j < text.size() ? static_cast<uint8_t>(text[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > text.size();
      encoded += padding ? '=' : kDigits[(group >> (18 - 6 * j)) & 63];
    }
  }
  return encoded;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string Parameter(const std::string& target, const std::string& name) {
  for (size_t at = target.find('?'); at != std::string::npos;
       at = target.find('&', at + 1)) {
    if (target.compare(at + 1, name.size() + 1, name + "=") != 0) continue;
    const size_t begin = at + name.size() + 2;
    return Unescape(target.substr(begin, target.find('&', begin) - begin));
  }
  return {};
}

std::string ItemJson(const std::string& key, const std::string& value,
                     uint64_t revision, uint64_t created) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
         "\",\"rev\":" + std::to_string(revision) +
         ",\"createRevision\":" + std::to_string(created) + ",\"lease\":0}";
}

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += (joined.empty() ? "" : ",") + part;
  }
  return joined;
}

}  // namespace

Store::Store(Loop& loop, const Address& address)
    : loop_(loop), listener_(OpenListener(address)) {
  if (listener_ >= 0) loop_.OnReadable(listener_, [this] { Accept(); });
}

void Store::Write(const std::string& key, const std::string& value) {
  Item& item = items_[key];
  item.revision = ++revision_;
  if (item.created == 0) item.created = revision_;
  item.value = value;
  history_[revision_] = ItemJson(key, value, item.revision, item.created);
  Record("store      acknowledges %s, revision %lu", key.c_str(),
         static_cast<unsigned long>(revision_));
  WakeWatches();
}

void Store::Delete(const std::string& key) {
  items_.erase(key);
  ++revision_;
  history_[revision_] = "{\"key\":\"" + key +
                        "\",\"rev\":" + std::to_string(revision_) +
                        ",\"deleted\":true}";
  Record("store      removes %s, revision %lu", key.c_str(),
         static_cast<unsigned long>(revision_));
  WakeWatches();
}

void Store::Accept() {
  while (true) {
    const int fd =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const auto connection = std::make_shared<Connection>();
    connection->fd = fd;
    connections_[fd] = connection;
    loop_.OnReadable(fd, [this, connection] { Read(connection); });
  }
}

void Store::Read(const std::shared_ptr<Connection>& connection) {
  char buffer[4096];
  const ssize_t size = recv(connection->fd, buffer, sizeof(buffer), 0);
  if (size <= 0) {
    connections_.erase(connection->fd);
    loop_.Close(connection->fd);
    connection->fd = -1;
    return;
  }
  connection->input.append(buffer, static_cast<size_t>(size));
  const size_t end = connection->input.find("\r\n\r\n");
  if (end == std::string::npos) return;
  const size_t begin = connection->input.find(' ') + 1;
  const std::string target = connection->input.substr(
      begin, connection->input.find(' ', begin) - begin);
  connection->input.erase(0, end + 4);
  Answer(connection, target);
}

void Store::Answer(const std::shared_ptr<Connection>& connection,
                   const std::string& target) {
  const std::string after = Parameter(target, "after");
  if (target.starts_with("/-/kv-watch")) {
    connection->watching = true;
    connection->after = std::strtoull(after.c_str(), nullptr, 10);
    const uint64_t number = ++connection->watch_number;
    if (connection->after < revision_) return AnswerWatch(connection);
    const auto wait = std::atoll(Parameter(target, "waitMs").c_str());
    loop_.After(wait, [this, connection, number] {
      const bool due = connection->fd >= 0 && connection->watching &&
                       connection->watch_number == number;
      if (due) AnswerWatch(connection);
    });
    return;
  }
  if (!target.starts_with("/-/kv-range")) {
    return Send(connection, 404, "{}");
  }
  const std::string prefix = Parameter(target, "prefix");
  std::vector<std::string> page;
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    has_more = page.size() == kMaxItemsPerPage;
    if (has_more) break;
    page.push_back(ItemJson(key, item.value, item.revision, item.created));
  }
  Send(connection, 200,
       "{\"items\":[" + Join(page) +
           "],\"hasMore\":" + (has_more ? "true" : "false") +
           ",\"asOf\":" + std::to_string(revision_) + "}");
}

void Store::AnswerWatch(const std::shared_ptr<Connection>& connection) {
  connection->watching = false;
  std::vector<std::string> events;
  for (auto event = history_.upper_bound(connection->after);
       event != history_.end(); ++event) {
    events.push_back(event->second);
  }
  Send(connection, 200,
       "{\"events\":[" + Join(events) +
           "],\"asOf\":" + std::to_string(revision_) + "}");
}

void Store::Send(const std::shared_ptr<Connection>& connection, int status,
                 const std::string& body) {
  connection->output +=
      "HTTP/1.1 " + std::to_string(status) +
      (status == 200 ? " OK" : " Not Found") +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  Flush(connection);
}

void Store::Flush(const std::shared_ptr<Connection>& connection) {
  std::string& output = connection->output;
  while (connection->fd >= 0 && !output.empty()) {
    const ssize_t size =
        send(connection->fd, output.data(), output.size(), MSG_NOSIGNAL);
    if (size < 0) {
      loop_.OnWritable(connection->fd,
                       [this, connection] { Flush(connection); });
      return;
    }
    output.erase(0, static_cast<size_t>(size));
  }
}

void Store::WakeWatches() {
  for (const auto& [fd, connection] : connections_) {
    if (connection->watching && connection->after < revision_) {
      AnswerWatch(connection);
    }
  }
}
