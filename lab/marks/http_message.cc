#include "lab/marks/http_message.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "platform/names.h"

namespace knapweedlift::lab {
namespace {

constexpr char kServiceHeader[] = "X-Service";
constexpr char kContentLengthHeader[] = "Content-Length";
constexpr char kHeaderTerminator[] = "\r\n\r\n";

// Returns a body that the receiver can verify: the id, repeated.
std::string MakeBody(const std::string& id, size_t bytes) {
  std::string body;
  while (body.size() < bytes) body += id + ".";
  body.resize(bytes);
  return body;
}

std::string HeaderValue(const std::string& headers, const std::string& name) {
  const std::string start = absl::StrCat("\r\n", name, ": ");
  const size_t found = headers.find(start);
  if (found == std::string::npos) return {};
  const size_t begin = found + start.size();
  return headers.substr(begin, headers.find('\r', begin) - begin);
}

}  // namespace

std::string FormatRequest(const std::string& id) {
  return absl::StrCat("GET /stage HTTP/1.1\r\nHost: lab\r\n",
                      platform::names::kRequestIdHeader, ": ", id,
                      kHeaderTerminator);
}

namespace {

std::string FormatResponseWith(const std::string& status, const std::string& id,
                               const std::string& service, size_t body_bytes) {
  return absl::StrCat(
      "HTTP/1.1 ", status, "\r\n", platform::names::kRequestIdHeader, ": ", id,
      "\r\n", kServiceHeader, ": ", service, "\r\n", kContentLengthHeader, ": ",
      body_bytes, kHeaderTerminator, MakeBody(id, body_bytes));
}

}  // namespace

std::string FormatResponse(const std::string& id, const std::string& service,
                           size_t body_bytes) {
  return FormatResponseWith("200 OK", id, service, body_bytes);
}

std::string FormatRejection(const std::string& id, const std::string& service) {
  return FormatResponseWith("503 Service Unavailable", id, service, 0);
}

std::optional<HttpMessage> ConsumeHttpMessage(std::string& input) {
  const size_t end = input.find(kHeaderTerminator);
  if (end == std::string::npos) return {};
  const std::string headers = input.substr(0, end + 2);
  size_t length = 0;
  if (!absl::SimpleAtoi(HeaderValue(headers, kContentLengthHeader), &length)) {
    length = 0;
  }
  const size_t begin = end + sizeof(kHeaderTerminator) - 1;
  if (input.size() < begin + length) return {};
  HttpMessage message{
      .id = HeaderValue(headers, platform::names::kRequestIdHeader),
      .service = HeaderValue(headers, kServiceHeader)};
  message.body_valid =
      input.substr(begin, length) == MakeBody(message.id, length);
  input.erase(0, begin + length);
  return message;
}

}  // namespace knapweedlift::lab
