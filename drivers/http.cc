#include "drivers/http.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <memory>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "core/result_code.h"
#include "drivers/clock.h"
#include "drivers/fiber_stream.h"

namespace knapweedlift {
namespace {

namespace http = boost::beast::http;

constexpr Duration kConnectionTimeout{65'000};
constexpr int kHttpVersion = 11;

absl::Status ResponseError(const Endpoint& to,
                           const boost::system::error_code& error) {
  return MakeStatus(
      ResultCode::kPlatformAnswer,
      absl::StrCat(FormatEndpoint(to),
                   " sent no complete HTTP response: ", error.message()));
}

HttpResponse CallHandler(const HttpHandler& handler,
                         const http::request<http::string_body>& request) {
  return handler({.method = std::string(request.method_string()),
                  .target = std::string(request.target()),
                  .body = request.body()});
}

// Handles one request and closes the connection.
void ServeConnection(FiberStream stream, const HttpHandler& handler) {
  boost::beast::flat_buffer buffer;
  http::request_parser<http::string_body> parser;
  parser.body_limit(kMaxHttpBodyBytes);
  boost::system::error_code error;
  http::read(stream, buffer, parser, error);
  if (error) return;
  const HttpResponse response = CallHandler(handler, parser.get());
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), kHttpVersion);
  message.set(http::field::content_type, response.content_type);
  for (const HttpHeader& header : response.headers) {
    message.insert(header.name, header.value);
  }
  message.keep_alive(false);
  message.body() = response.body;
  message.prepare_payload();
  http::write(stream, message, error);
}

std::string PercentDecode(absl::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                         absl::ascii_isxdigit(text[i + 1]) &&
                         absl::ascii_isxdigit(text[i + 2]);
    if (!escaped) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded += absl::HexStringToBytes(text.substr(i + 1, 2));
    i += 2;
  }
  return decoded;
}

}  // namespace

absl::StatusOr<HttpResponse> HttpCall(Reactor& reactor, const Endpoint& to,
                                      const HttpRequest& request,
                                      TimePoint deadline) {
  HttpConnection connection(reactor, to);
  return connection.Call(request, deadline);
}

absl::StatusOr<HttpResponse> HttpConnection::Call(const HttpRequest& request,
                                                  TimePoint deadline) {
  if (!stream_.has_value()) {
    auto stream = FiberStream::Connect(reactor_, to_, deadline);
    if (!stream.ok()) {
      return MakeStatus(ResultCode::kPlatformUnreachable,
                        stream.status().message());
    }
    stream_ = *std::move(stream);
  }
  stream_->set_deadline(deadline);
  http::request<http::string_body> message(http::string_to_verb(request.method),
                                           request.target, kHttpVersion);
  message.set(http::field::host, FormatEndpoint(to_));
  message.body() = request.body;
  message.prepare_payload();
  boost::system::error_code error;
  http::write(*stream_, message, error);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxHttpBodyBytes);
  if (!error) http::read(*stream_, buffer, parser, error);
  if (error || !parser.keep_alive()) Close();
  if (error) return ResponseError(to_, error);
  HttpResponse response{
      .status = parser.get().result_int(),
      .content_type = std::string(parser.get()[http::field::content_type]),
      .body = std::move(parser.get().body())};
  for (const auto& field : parser.get()) {
    response.headers.push_back({.name = std::string(field.name_string()),
                                .value = std::string(field.value())});
  }
  return response;
}

void ServeHttp(Reactor& reactor, const FileDescriptor& listener,
               const HttpHandler& handler) {
  const auto open_connections = std::make_shared<int>(0);
  while (!reactor.stopped()) {
    FileDescriptor accepted = AcceptConnection(reactor, listener, kNoDeadline);
    if (!accepted.valid()) continue;
    ++*open_connections;
    boost::fibers::fiber([&reactor, &handler, open_connections,
                          fd = std::move(accepted)]() mutable {
      ServeConnection(
          FiberStream(reactor, std::move(fd), Now() + kConnectionTimeout),
          handler);
      --*open_connections;
    }).detach();
  }
  while (*open_connections > 0) boost::this_fiber::sleep_for(Duration(1));
}

std::vector<std::string> HeaderValues(const HttpResponse& response,
                                      const std::string& name) {
  std::vector<std::string> values;
  for (const HttpHeader& header : response.headers) {
    if (absl::EqualsIgnoreCase(header.name, name)) {
      values.push_back(header.value);
    }
  }
  return values;
}

std::string PercentEncode(const std::string& text) {
  constexpr std::string_view kUnescaped = "-._~/";
  std::string encoded;
  for (const char byte : text) {
    const bool literal =
        absl::ascii_isalnum(static_cast<unsigned char>(byte)) ||
        kUnescaped.find(byte) != std::string_view::npos;
    if (literal) {
      encoded.push_back(byte);
    } else {
      absl::StrAppendFormat(&encoded, "%%%02X", static_cast<uint8_t>(byte));
    }
  }
  return encoded;
}

std::string QueryParameter(const std::string& target, const std::string& name) {
  const std::vector<std::string> path_and_query =
      absl::StrSplit(target, absl::MaxSplits('?', 1));
  if (path_and_query.size() < 2) return {};
  const std::vector<std::string> parameters =
      absl::StrSplit(path_and_query[1], '&');
  for (const std::string& parameter : parameters) {
    const std::vector<std::string> pair =
        absl::StrSplit(parameter, absl::MaxSplits('=', 1));
    if (pair.size() == 2 && pair[0] == name) return PercentDecode(pair[1]);
  }
  return {};
}

std::string RequestPath(const std::string& target) {
  return target.substr(0, target.find('?'));
}

}  // namespace knapweedlift
