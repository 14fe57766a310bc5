#ifndef KNAPWEEDLIFT_LAB_TEXT_FILE_H_
#define KNAPWEEDLIFT_LAB_TEXT_FILE_H_

#include <string>

namespace knapweedlift::lab {

// Both functions print a message and exit the process with code 1 on an error.

// Returns the content of the file.
std::string ReadTextFile(const std::string& path);

// Creates the file or replaces its content.
void WriteTextFile(const std::string& path, const std::string& text);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_TEXT_FILE_H_
