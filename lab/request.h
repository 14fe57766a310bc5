#ifndef KNAPWEEDLIFT_LAB_REQUEST_H_
#define KNAPWEEDLIFT_LAB_REQUEST_H_

#include <cstdint>
#include <string>

namespace knapweedlift::lab {

// Requests and responses carry an id and a checksum that detects damage. All of
// them have the same size, which keeps the sequence numbers simple.

std::string BuildRequest(uint64_t id);
std::string BuildResponse(uint64_t id);

// Return the id of a request or a response, or 0 if the text is not an intact
// message of that kind.
uint64_t ParseRequestId(const std::string& text);
uint64_t ParseResponseId(const std::string& text);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_REQUEST_H_
