#ifndef KNAPWEEDLIFT_DRIVERS_HTTP_H_
#define KNAPWEEDLIFT_DRIVERS_HTTP_H_

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "drivers/fiber_stream.h"
#include "drivers/reactor.h"

namespace knapweedlift {

inline constexpr size_t kMaxHttpBodyBytes = 4 << 20;

struct HttpRequest {
  std::string method;
  // Path and query.
  std::string target;
  std::string body;
};

struct HttpHeader {
  std::string name;
  std::string value;

  auto operator<=>(const HttpHeader&) const = default;
};

struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  // Other headers: all that a server sent, or those that a handler adds.
  std::vector<HttpHeader> headers;
};

// The values of all headers with a name, which is not case-sensitive.
std::vector<std::string> HeaderValues(const HttpResponse& response,
                                      const std::string& name);

// Sends one request over a new connection and suspends the calling fiber until
// the response arrives. Fails with kPlatformUnreachable if no connection is
// established before the deadline, and with kPlatformAnswer if the response is
// incomplete or malformed.
absl::StatusOr<HttpResponse> HttpCall(Reactor& reactor, const Endpoint& to,
                                      const HttpRequest& request,
                                      TimePoint deadline);

// A persistent connection to one server. Used by one fiber at a time.
class HttpConnection {
 public:
  HttpConnection(Reactor& reactor, const Endpoint& to)
      : reactor_(reactor), to_(to) {}

  // Sends one request and opens a connection first if none is open. Fails with
  // the same codes as HttpCall and then closes the connection.
  absl::StatusOr<HttpResponse> Call(const HttpRequest& request,
                                    TimePoint deadline);

  void Close() { stream_.reset(); }

 private:
  Reactor& reactor_;
  Endpoint to_;
  std::optional<FiberStream> stream_;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

// Serves requests, one fiber for each connection, until the reactor is stopped.
// Returns after all connections are closed.
void ServeHttp(Reactor& reactor, const FileDescriptor& listener,
               const HttpHandler& handler);

// The percent-decoded value of the query parameter `name` of `target`; empty if
// there is none.
std::string QueryParameter(const std::string& target, const std::string& name);

// Percent-encodes text for use as the value of a query parameter.
std::string PercentEncode(const std::string& text);

// The path of `target`, without its query.
std::string RequestPath(const std::string& target);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_HTTP_H_
