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

constexpr Duration kRevisionPollInterval{10};
constexpr Duration kSlowDelay{2'000};
constexpr unsigned kHttpNoContent = 204;
constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpUnavailable = 503;

// A document with its revision, and its previous version for the mode "stale".
struct PublishedDocument {
  std::string text;
  uint64_t revision = 0;
  std::string previous_text;
  uint64_t previous_revision = 0;
};

uint64_t ParseRevision(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("revision")) return 0;
  return json["revision"].get<uint64_t>();
}

void Publish(PublishedDocument& document, const std::string& text) {
  document.previous_text = document.text;
  document.previous_revision = document.revision;
  document.text = text;
  document.revision = ParseRevision(text);
}

class SimulatedPlatform {
 public:
  SimulatedPlatform(const std::string& sheet, const std::string& vms) {
    Publish(sheet_, sheet);
    Publish(vms_, vms);
  }

  HttpResponse HandleRequest(const HttpRequest& request) {
    const std::string path = RequestPath(request.target);
    if (path == "/admin/sheet") return HandleReplace(sheet_, request.body);
    if (path == "/admin/vms") return HandleReplace(vms_, request.body);
    if (path == "/admin/mode") {
      mode_ = QueryParameter(request.target, "mode");
      return {.body = "{}\n"};
    }
    ++call_count_;
    if (path == "/v1/sheet") return HandleRead(sheet_, request.target);
    if (path == "/v1/vms") return HandleRead(vms_, request.target);
    if (path == "/admin/calls") return {.body = std::to_string(call_count_)};
    return {.status = kHttpNotFound};
  }

 private:
  static HttpResponse HandleReplace(PublishedDocument& document,
                                    const std::string& text) {
    Publish(document, text);
    return {.body = "{}\n"};
  }

  HttpResponse HandleRead(const PublishedDocument& document,
                          const std::string& target) {
    int64_t after = 0;
    int64_t wait_s = 0;
    const bool valid =
        absl::SimpleAtoi(QueryParameter(target, "after"), &after) &&
        absl::SimpleAtoi(QueryParameter(target, "wait_s"), &wait_s);
    if (!valid) wait_s = 0;
    if (mode_ == "down") return {.status = kHttpUnavailable};
    if (mode_ == "garbage") return {.body = "{\"format\": 1, \"revi"};
    if (mode_ == "slow") boost::this_fiber::sleep_for(kSlowDelay);
    if (mode_ == "stale") return {.body = document.previous_text};
    const TimePoint deadline = Now() + std::chrono::seconds(wait_s);
    const auto known_revision = static_cast<uint64_t>(after);
    while (document.revision <= known_revision && Now() < deadline &&
           !StopRequested()) {
      boost::this_fiber::sleep_for(kRevisionPollInterval);
      if (mode_ == "down") return {.status = kHttpUnavailable};
    }
    if (document.revision <= known_revision) return {.status = kHttpNoContent};
    return {.body = document.text};
  }

  PublishedDocument sheet_;
  PublishedDocument vms_;
  std::string mode_ = "normal";
  uint64_t call_count_ = 0;
};

}  // namespace

int RunPlatform(const Endpoint& listen, const std::string& sheet_path,
                const std::string& vms_path) {
  SimulatedPlatform platform(ReadTextFile(sheet_path), ReadTextFile(vms_path));
  Reactor reactor;
  auto listener = ListenTcp(listen);
  if (!listener.ok()) {
    std::cerr << listener.status().message() << "\n";
    return 1;
  }
  reactor.StopWhen(StopRequested);
  ServeHttp(reactor, *listener, [&platform](const HttpRequest& request) {
    return platform.HandleRequest(request);
  });
  return 0;
}

}  // namespace knapweedlift::lab
