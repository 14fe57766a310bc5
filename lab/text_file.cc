#include "lab/text_file.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace knapweedlift::lab {

std::string ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": cannot open file for reading\n";
    std::exit(1);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteTextFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  if (!file) {
    std::cerr << path << ": cannot write file\n";
    std::exit(1);
  }
}

}  // namespace knapweedlift::lab
