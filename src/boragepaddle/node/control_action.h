#ifndef BORAGEPADDLE_NODE_CONTROL_ACTION_H_
#define BORAGEPADDLE_NODE_CONTROL_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "boragepaddle/dissemination/config_folder.h"
#include "boragepaddle/membership/version_error.h"
#include "boragepaddle/membership/vm_list.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// Kind of data that a version refers to.
enum class Payload : uint8_t { kConfig, kList };

/// One error found by the configuration check.
struct ConfigFault {
  std::string file;
  std::string path;
  std::string value;
  std::string reason;
};

/// Send a message to the VM over any connection to it; without one, connect to
/// the address. The id is empty for a seed peer that has not answered yet.
struct SendMessage {
  std::string vm_id;
  std::string address;
  schema::Message message;
};

/// Open or close the watches on configuration and list.
struct WatchPlatform {
  bool enabled = false;
};

/// Query the platform once for a configuration and a list newer than those
/// held.
struct ReadPlatform {};

/// Apply an accepted configuration.
struct InstallConfig {
  dissemination::ConfigFolderPtr folder;
};

/// Apply a newer VM list.
struct InstallList {
  membership::VmListPtr list;
};

/// Write an audit record of an accepted or rejected configuration.
struct AuditConfig {
  dissemination::ConfigFolderPtr previous;
  dissemination::ConfigFolderPtr offered;
  /// Empty if accepted.
  std::vector<ConfigFault> faults;
};

/// Alert the operators to an inconsistent version.
struct RaiseAlarm {
  Payload payload = Payload::kConfig;
  membership::VersionError error;
  /// Id of the VM that sent it, or `platform`.
  std::string source;
};

/// Output of the control plane logic, to be carried out in order.
using ControlAction = std::variant<SendMessage,
                                   WatchPlatform,
                                   ReadPlatform,
                                   InstallConfig,
                                   InstallList,
                                   AuditConfig,
                                   RaiseAlarm>;

using ControlActions = std::vector<ControlAction>;

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_ACTION_H_
