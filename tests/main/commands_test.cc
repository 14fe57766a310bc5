#include "main/commands.h"

#include <atomic>
#include <string>
#include <thread>

#include "drivers/http.h"
#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

// Runs the command `status` against an endpoint that responds with `body`.
int RunStatusOn(const std::string& body) {
  const FileDescriptor listener =
      *ListenTcp({.address = *ParseIpAddress("127.0.0.1")});
  std::atomic<bool> stopping{false};
  std::thread server([&] {
    Reactor reactor;
    reactor.StopWhen([&stopping] { return stopping.load(); });
    ServeHttp(reactor, listener, [&body](const HttpRequest&) {
      return HttpResponse{.body = body};
    });
  });
  const int exit_code =
      RunStatus(FormatEndpoint(LocalEndpoint(listener)), false);
  stopping = true;
  server.join();
  return exit_code;
}

}  // namespace

// Guards against an exception that ended the command.
Test(commands, status_rejects_a_response_of_another_program) {
  for (const char* body :
       {"", "<html>", "[1, 2]", "{\"transport\": 3}", "{\"vm\": 1e999}",
        "{\"transport\": \"marks\", \"vm\": 5}"}) {
    cr_expect(RunStatusOn(body) == kExitUnreachable, "%s", body);
  }
}
