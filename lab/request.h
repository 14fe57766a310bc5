#ifndef KNAPWEEDLIFT_LAB_REQUEST_H_
#define KNAPWEEDLIFT_LAB_REQUEST_H_

#include <cstdint>
#include <string>

namespace knapweedlift::lab {

// Requests and answers carry their id and a body that can be checked to be
// whole. All of them have the same size, so that sequence numbers stay simple.

std::string BuildRequest(uint64_t id);
std::string BuildResponse(uint64_t id);

// The id of a request or an answer; 0 where the text is neither, or not whole.
uint64_t ParseRequestId(const std::string& text);
uint64_t ParseResponseId(const std::string& text);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_REQUEST_H_
