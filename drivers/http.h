#ifndef KNAPWEEDLIFT_DRIVERS_HTTP_H_
#define KNAPWEEDLIFT_DRIVERS_HTTP_H_

#include <functional>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "drivers/fiber_stream.h"
#include "drivers/reactor.h"

namespace knapweedlift {

inline constexpr size_t kMaxHttpBodyBytes = 4 << 20;

struct HttpRequest {
  std::string method;
  // Path with query.
  std::string target;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// Sends one request in the calling fiber. Fails with kPlatformUnreachable where
// no connection is made before the deadline, and with kPlatformAnswer where the
// answer is cut off or malformed.
absl::StatusOr<HttpResponse> HttpCall(Reactor& reactor, const Endpoint& to,
                                      const HttpRequest& request,
                                      TimePoint deadline);

// A connection to one server that is kept open between requests. Used by one
// fiber at a time.
class HttpConnection {
 public:
  HttpConnection(Reactor& reactor, const Endpoint& to)
      : reactor_(reactor), to_(to) {}

  // Sends one request, over a new connection where none is open. Fails as
  // HttpCall does; the connection is closed then.
  absl::StatusOr<HttpResponse> Call(const HttpRequest& request,
                                    TimePoint deadline);

  void Close() { stream_.reset(); }

 private:
  Reactor& reactor_;
  Endpoint to_;
  std::optional<FiberStream> stream_;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

// Answers requests, each connection in a fiber of its own, until the reactor is
// stopped. Returns when all of them have ended.
void ServeHttp(Reactor& reactor, const FileDescriptor& listener,
               const HttpHandler& handler);

// The value of `name` in the query of `target`, decoded; empty where absent.
std::string QueryParameter(const std::string& target, const std::string& name);

// Any text in the form that a query's value has.
std::string PercentEncode(const std::string& text);

// `target` without its query.
std::string RequestPath(const std::string& target);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_HTTP_H_
