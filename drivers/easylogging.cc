// Easylogging++ is distributed as a source file that each program compiles.
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
