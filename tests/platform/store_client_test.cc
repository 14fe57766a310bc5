#include "platform/store_client.h"

#include <boost/fiber/operations.hpp>
#include <functional>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "core/result_code.h"
#include "drivers/clock.h"
#include "platform/names.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::platform;

namespace {

constexpr char kEmptyWatch[] = R"({"events": [], "asOf": 5})";

Endpoint Loopback() { return {.address = *ParseIpAddress("127.0.0.1")}; }

// HTTP server that passes each request target to a function of the test, sends
// the response that it returns, and records the targets.
class FakeStore {
 public:
  explicit FakeStore(std::function<HttpResponse(const std::string&)> answer)
      : listener_(*ListenTcp(Loopback())) {
    thread_ = std::thread([this, answer = std::move(answer)] {
      Reactor reactor;
      reactor.StopWhen([this] { return stopping_.load(); });
      ServeHttp(reactor, listener_, [&](const HttpRequest& request) {
        {
          absl::MutexLock lock(&mutex_);
          targets_.push_back(request.target);
        }
        return answer(request.target);
      });
    });
  }
  ~FakeStore() {
    stopping_ = true;
    thread_.join();
  }

  Endpoint endpoint() const { return LocalEndpoint(listener_); }
  std::vector<std::string> targets() {
    absl::MutexLock lock(&mutex_);
    return targets_;
  }

 private:
  FileDescriptor listener_;
  absl::Mutex mutex_;
  std::vector<std::string> targets_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

uint16_t CodeOf(const absl::Status& status) { return CodeOfStatus(status); }

}  // namespace

Test(store_client, reads_all_pages) {
  FakeStore store([](const std::string& target) {
    const bool first = target.find("after=") == std::string::npos;
    return HttpResponse{
        .body = first ? R"({"items": [{"key": "k1", "value": "", "rev": 1}],
                            "hasMore": true, "asOf": 5})"
                      : R"({"items": [{"key": "k2", "value": "", "rev": 7}],
                            "hasMore": false, "asOf": 8})"};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  const auto news = client.ReadAll(kAllPages, 0, Now());
  cr_assert(news.ok());
  cr_expect(news->is_snapshot);
  cr_expect(news->as_of == 5,
            "the first page may lack changes that the second has");
  cr_assert(store.targets().size() == 2);
  cr_expect(store.targets()[1].find("after=k1") != std::string::npos);
}

// The load: many VMs read a large store at the same time, and it refuses some
// pages.
Test(store_client, a_read_that_was_refused_continues_after_its_last_page) {
  std::atomic<bool> refused{false};
  FakeStore store([&refused](const std::string& target) {
    constexpr unsigned kTooManyRequests = 429;
    const bool first = target.find("after=") == std::string::npos;
    if (!first && !refused.exchange(true)) {
      return HttpResponse{.status = kTooManyRequests};
    }
    return HttpResponse{
        .body = first ? R"({"items": [{"key": "servers/i-1", "value": "",
                                       "rev": 1}],
                            "hasMore": true, "asOf": 5})"
                      : R"({"items": [{"key": "servers/i-2", "value": "",
                                       "rev": 7}],
                            "hasMore": false, "asOf": 8})"};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  cr_assert(!client.ReadAll(kAllPages, 0, Now()).ok());
  const auto update = client.ReadAll(kAllPages, 0, Now());
  cr_assert(update.ok());
  cr_expect(update->servers.size() == 2);
  cr_expect(update->as_of == 5);
  cr_expect(store.targets().size() == 3, "no page is read twice");
  // A later read starts anew.
  cr_assert(client.ReadAll(kAllPages, 0, Now()).ok());
  cr_expect(store.targets().size() == 5);
}

Test(store_client, a_read_of_one_page_can_be_continued) {
  FakeStore store([](const std::string& target) {
    const bool first = target.find("after=") == std::string::npos;
    return HttpResponse{
        .body = first ? R"({"items": [{"key": "servers/i-1", "value": "",
                                       "rev": 1}],
                            "hasMore": true, "asOf": 5})"
                      : R"({"items": [], "hasMore": false, "asOf": 8})"};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  const auto first = client.ReadAll(1, 0, Now());
  cr_assert(first.ok());
  cr_expect(first->is_partial);
  cr_expect(first->servers.empty());
  const auto complete = client.ReadAll(1, 0, Now());
  cr_assert(complete.ok());
  cr_expect(!complete->is_partial);
  cr_expect(complete->servers.size() == 1);
}

Test(store_client, a_page_that_took_too_long_gets_more_time) {
  FakeStore store([](const std::string& /*target*/) {
    boost::this_fiber::sleep_for(kMinPageTimeout + Duration(200));
    return HttpResponse{.body =
                            R"({"items": [], "hasMore": false, "asOf": 8})"};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  cr_expect(!client.ReadAll(kAllPages, 0, Now()).ok());
  cr_expect(client.ReadAll(kAllPages, 0, Now()).ok());
}

Test(store_client, continues_after_a_key_with_special_characters) {
  FakeStore store([](const std::string& target) {
    const bool first = target.find("after=") == std::string::npos;
    return HttpResponse{
        .body = first ? R"({"items": [{"key": "a b&c=%é", "value": "",
                                       "rev": 1}, {"value": ""}],
                            "hasMore": true, "asOf": 5})"
                      : R"({"items": [], "hasMore": false, "asOf": 8})"};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  cr_assert(client.ReadAll(kAllPages, 0, Now()).ok());
  cr_assert(store.targets().size() == 2);
  cr_expect(store.targets()[1].find("after=a%20b%26c%3D%25%C3%A9") !=
            std::string::npos);
}

// Treating such a page as the whole state would remove every server that was
// not read.
Test(store_client, a_page_without_a_key_to_continue_from_fails) {
  FakeStore store([](const std::string&) {
    return HttpResponse{
        .body = R"({"items": [{"value": ""}], "hasMore": true, "asOf": 5})"};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  cr_expect(CodeOf(client.ReadAll(kAllPages, 0, Now()).status()) ==
            static_cast<uint16_t>(ResultCode::kPlatformAnswer));
}

Test(store_client, a_watch_sends_its_wait_time) {
  FakeStore store(
      [](const std::string&) { return HttpResponse{.body = kEmptyWatch}; });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  const TimePoint now = Now();
  const auto news = client.WaitForChanges(4, now + Duration(750), now);
  cr_assert(news.ok());
  cr_expect(news->after == 4);
  cr_expect(news->as_of == 5);
  cr_expect(not news->is_snapshot);
  const std::string target = store.targets()[0];
  cr_expect(target.find("after=4") != std::string::npos);
  cr_expect(target.find("waitMs=750") != std::string::npos);
}

Test(store_client, http_errors_map_to_result_codes) {
  for (const auto& [status, code] :
       std::vector<std::pair<unsigned, ResultCode>>{
           {410, ResultCode::kPlatformHistoryGone},
           {429, ResultCode::kPlatformRefused},
           {503, ResultCode::kPlatformRefused},
           {500, ResultCode::kPlatformRefused}}) {
    FakeStore store([status = status](const std::string&) {
      return HttpResponse{.status = status};
    });
    Reactor reactor;
    StoreClient client(reactor, store.endpoint());
    const auto news = client.WaitForChanges(4, Now(), Now());
    cr_expect(CodeOf(news.status()) == static_cast<uint16_t>(code));
  }
}

Test(store_client, an_invalid_body_fails) {
  FakeStore store([](const std::string&) { return HttpResponse{.body = "{"}; });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  cr_expect(CodeOf(client.ReadAll(kAllPages, 0, Now()).status()) ==
            static_cast<uint16_t>(ResultCode::kPlatformAnswer));
}

Test(store_client, a_watch_times_out_if_the_store_does_not_respond) {
  // Connections stay in the listener's backlog and are never accepted.
  const FileDescriptor listener = *ListenTcp(Loopback());
  Reactor reactor;
  StoreClient client(reactor, LocalEndpoint(listener));
  const TimePoint start = Now();
  const auto news = client.WaitForChanges(4, start + Duration(100), start);
  cr_expect(CodeOf(news.status()) ==
            static_cast<uint16_t>(ResultCode::kPlatformAnswer));
  cr_expect(Now() - start >= Duration(100));
}

Test(store_client, an_unreachable_store_fails) {
  Endpoint unreachable;
  {
    const FileDescriptor listener = *ListenTcp(Loopback());
    unreachable = LocalEndpoint(listener);
  }
  Reactor reactor;
  StoreClient client(reactor, unreachable);
  cr_expect(CodeOf(client.ReadAll(kAllPages, 0, Now()).status()) ==
            static_cast<uint16_t>(ResultCode::kPlatformUnreachable));
}

Test(store_client, reconnects_after_a_broken_connection) {
  int calls = 0;
  FakeStore store([&calls](const std::string&) {
    ++calls;
    return HttpResponse{.body = calls == 1 ? "" : kEmptyWatch};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  cr_expect(not client.WaitForChanges(4, Now(), Now()).ok());
  cr_expect(client.WaitForChanges(4, Now(), Now()).ok());
}

// A watch of an old revision may succeed after the store's return (review case
// 13).
Test(store_client, a_watch_that_is_answered_in_another_era_fails) {
  FakeStore store([](const std::string&) {
    return HttpResponse{.body = kEmptyWatch,
                        .headers = {{.name = "Store-Era", .value = "3"}}};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  const auto update = client.WaitForChanges({3, 4}, Now(), Now());
  cr_assert(update.ok());
  cr_expect(update->as_of == Revision(3, 5));
  for (const Revision after : {Revision(2, 4), Revision(4)}) {
    cr_expect(HasCode(client.WaitForChanges(after, Now(), Now()).status(),
                      ResultCode::kPlatformNewEra));
  }
  cr_expect(HasCode(client.WaitForChanges({4, 4}, Now(), Now()).status(),
                    ResultCode::kPlatformEarlierEra));
}

Test(store_client, a_read_with_pages_of_two_eras_starts_anew) {
  int pages = 0;
  FakeStore store([&pages](const std::string& target) {
    const bool first = target.find("after=") == std::string::npos;
    return HttpResponse{
        .body = first ? R"({"items": [{"key": "servers/i-1", "value": "",
                                       "rev": 1}],
                            "hasMore": true, "asOf": 5})"
                      : R"({"items": [], "hasMore": false, "asOf": 8})",
        .headers = {{.name = "Store-Era", .value = ++pages == 1 ? "1" : "2"}}};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  cr_expect(HasCode(client.ReadAll(kAllPages, 0, Now()).status(),
                    ResultCode::kPlatformNewEra));
  const auto update = client.ReadAll(kAllPages, 0, Now());
  cr_assert(update.ok());
  cr_expect(update->as_of == Revision(2, 5));
  cr_expect(update->servers.size() == 1);
  cr_expect(update->servers[0].revision == Revision(2, 1));
}

Test(store_client, a_read_without_the_header_is_of_the_known_era) {
  FakeStore store([](const std::string&) {
    return HttpResponse{.body =
                            R"({"items": [], "hasMore": false, "asOf": 8})"};
  });
  Reactor reactor;
  StoreClient client(reactor, store.endpoint());
  const auto update = client.ReadAll(kAllPages, 6, Now());
  cr_assert(update.ok());
  cr_expect(update->as_of == Revision(6, 8));
}
