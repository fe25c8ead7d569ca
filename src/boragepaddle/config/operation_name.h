#ifndef BORAGEPADDLE_CONFIG_OPERATION_NAME_H_
#define BORAGEPADDLE_CONFIG_OPERATION_NAME_H_

#include <string>

namespace boragepaddle::config {

/// Identifies an operation of a service.
struct OperationName {
  std::string service;
  std::string operation;
};

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_OPERATION_NAME_H_
