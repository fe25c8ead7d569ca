#include "emulator/ready_line.h"

#include <iostream>

namespace emulator {

void PrintReadyLine(absl::string_view names) {
  std::cout << "ready " << names << std::endl;
}

}  // namespace emulator
