#ifndef KNAPWEEDLIFT_CORE_IDS_H_
#define KNAPWEEDLIFT_CORE_IDS_H_

#include <cstdint>

namespace knapweedlift {

// Identifies a service in the sheet; 1 to 2^24 - 1.
using ServiceNumber = uint32_t;

// Identifies a backend server within its service; 1 to kMaxServerNumber.
using ServerId = uint16_t;

// Identifies an entry VM; unique within the deployment.
using VmId = uint32_t;

inline constexpr ServerId kNoServer = 0xFFFF;
inline constexpr ServerId kMaxServerNumber = 65'533;
inline constexpr VmId kNoVm = 0;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_IDS_H_
