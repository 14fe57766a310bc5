#ifndef KNAPWEEDLIFT_LAB_MARKS_HTTP_MESSAGE_H_
#define KNAPWEEDLIFT_LAB_MARKS_HTTP_MESSAGE_H_

#include <optional>
#include <string>

namespace knapweedlift::lab {

// The requests and answers that flows carry, as HTTP/1.1.

std::string FormatRequest(const std::string& id);
std::string FormatResponse(const std::string& id, const std::string& service,
                           size_t body_bytes);

// What a whole request or answer says.
struct HttpMessage {
  std::string id;
  // The service that answered; empty in requests.
  std::string service;
  // The body is as long as it says, and is the one that belongs to the id.
  bool body_valid = false;

  auto operator<=>(const HttpMessage&) const = default;
};

// Takes one request or answer off the front of `input`; nothing where it is not
// complete yet.
std::optional<HttpMessage> ConsumeHttpMessage(std::string& input);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_HTTP_MESSAGE_H_
