#ifndef KNAPWEEDLIFT_LAB_MARKS_HTTP_MESSAGE_H_
#define KNAPWEEDLIFT_LAB_MARKS_HTTP_MESSAGE_H_

#include <optional>
#include <string>

namespace knapweedlift::lab {

// Formats an HTTP/1.1 request that carries `id`.
std::string FormatRequest(const std::string& id);

// Formats the HTTP/1.1 response of `service` to request `id`, with a body of
// `body_bytes` bytes that is derived from the id.
std::string FormatResponse(const std::string& id, const std::string& service,
                           size_t body_bytes);

// Returns the response of a full server.
std::string FormatRejection(const std::string& id, const std::string& service);

// A complete request or response.
struct HttpMessage {
  std::string id;
  // Service that sent the response; empty in requests.
  std::string service;
  // True if the body has the length of its Content-Length header and the
  // content that belongs to the id.
  bool body_valid = false;

  auto operator<=>(const HttpMessage&) const = default;
};

// Parses one message and removes it from the front of `input`. Returns nothing,
// and leaves `input` unchanged, while the message is incomplete.
std::optional<HttpMessage> ConsumeHttpMessage(std::string& input);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_HTTP_MESSAGE_H_
