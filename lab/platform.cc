#include "lab/platform.h"

#include <boost/fiber/operations.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "drivers/clock.h"
#include "drivers/http.h"
#include "lab/stop_signal.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

constexpr Duration kPollPeriod{10};
constexpr Duration kSlowDelay{2'000};
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

// A published value with its revision and the one before it.
struct Published {
  std::string text;
  uint64_t revision = 0;
  std::string old_text;
  uint64_t old_revision = 0;
};

uint64_t RevisionOf(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("revision")) return 0;
  return json["revision"].get<uint64_t>();
}

void Publish(Published& value, const std::string& text) {
  value.old_text = value.text;
  value.old_revision = value.revision;
  value.text = text;
  value.revision = RevisionOf(text);
}

class Platform {
 public:
  Platform(const std::string& sheet, const std::string& vms) {
    Publish(sheet_, sheet);
    Publish(vms_, vms);
  }

  HttpResponse Answer(const HttpRequest& request) {
    const std::string path = RequestPath(request.target);
    if (path == "/admin/sheet") return Replace(sheet_, request.body);
    if (path == "/admin/vms") return Replace(vms_, request.body);
    if (path == "/admin/mode") {
      mode_ = QueryParameter(request.target, "mode");
      return {.body = "{}\n"};
    }
    ++calls_;
    if (path == "/v1/sheet") return Read(sheet_, request.target);
    if (path == "/v1/vms") return Read(vms_, request.target);
    if (path == "/admin/calls") return {.body = std::to_string(calls_)};
    return {.status = kNotFound};
  }

 private:
  static HttpResponse Replace(Published& value, const std::string& text) {
    Publish(value, text);
    return {.body = "{}\n"};
  }

  HttpResponse Read(const Published& value, const std::string& target) {
    int64_t after = 0;
    int64_t wait_s = 0;
    const bool numbers =
        absl::SimpleAtoi(QueryParameter(target, "after"), &after) &&
        absl::SimpleAtoi(QueryParameter(target, "wait_s"), &wait_s);
    if (!numbers) wait_s = 0;
    if (mode_ == "down") return {.status = kUnavailable};
    if (mode_ == "garbage") return {.body = "{\"format\": 1, \"revi"};
    if (mode_ == "slow") boost::this_fiber::sleep_for(kSlowDelay);
    if (mode_ == "stale") return {.body = value.old_text};
    const TimePoint deadline = Now() + std::chrono::seconds(wait_s);
    const auto known = static_cast<uint64_t>(after);
    while (value.revision <= known && Now() < deadline && !StopRequested()) {
      boost::this_fiber::sleep_for(kPollPeriod);
      if (mode_ == "down") return {.status = kUnavailable};
    }
    if (value.revision <= known) return {.status = kNoContent};
    return {.body = value.text};
  }

  Published sheet_;
  Published vms_;
  std::string mode_ = "normal";
  uint64_t calls_ = 0;
};

}  // namespace

int RunPlatform(const Endpoint& listen, const std::string& sheet_path,
                const std::string& vms_path) {
  Platform platform(ReadTextFile(sheet_path), ReadTextFile(vms_path));
  Reactor reactor;
  auto listener = ListenTcp(listen);
  if (!listener.ok()) {
    std::cerr << listener.status().message() << "\n";
    return 1;
  }
  reactor.StopWhen(StopRequested);
  ServeHttp(reactor, *listener, [&platform](const HttpRequest& request) {
    return platform.Answer(request);
  });
  return 0;
}

}  // namespace knapweedlift::lab
