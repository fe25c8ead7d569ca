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

/// What a version belongs to.
enum class Payload : uint8_t { kConfig, kList };

/// One fault that the check of a configuration found.
struct ConfigFault {
  std::string file;
  std::string path;
  std::string value;
  std::string reason;
};

/// Send to the VM over any connection to it; without one, connect to the
/// address. The id is empty for a seed peer that has not answered yet.
struct SendMessage {
  std::string vm_id;
  std::string address;
  schema::Message message;
};

/// Keep watches on configuration and list open, or close them.
struct WatchPlatform {
  bool enabled = false;
};

/// Ask the platform once for a configuration and a list newer than those held.
struct ReadPlatform {};

/// Put an accepted configuration in force.
struct InstallConfig {
  dissemination::ConfigFolderPtr folder;
};

/// Use a newer VM list.
struct InstallList {
  membership::VmListPtr list;
};

/// Record that a configuration was accepted or refused.
struct AuditConfig {
  dissemination::ConfigFolderPtr previous;
  dissemination::ConfigFolderPtr offered;
  /// Empty if accepted.
  std::vector<ConfigFault> faults;
};

/// Report a version that contradicts itself to the operators.
struct RaiseAlarm {
  Payload payload = Payload::kConfig;
  membership::VersionError error;
  /// Id of the VM that sent it, or `platform`.
  std::string source;
};

/// Output of the control decisions, to be carried out in order.
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
