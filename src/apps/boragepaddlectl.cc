#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "boragepaddle/ctl/folder_commands.h"
#include "boragepaddle/ctl/folder_reader.h"
#include "boragepaddle/ctl/node_commands.h"
#include "boragepaddle/schema/settings.h"

DEFINE_bool(json, false, "Print JSON for scripts.");
DEFINE_string(founding_members,
              "",
              "Founding members in order, separated by commas.");
DEFINE_string(settings, "", "Node settings file to read them from instead.");
DEFINE_string(node, "", "Operator address of a node, such as 127.0.0.1:7103.");
DEFINE_int32(timeout_ms, 5000, "Timeout for the response of a node.");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

using boragepaddle::ctl::CommandResult;
using boragepaddle::ctl::ExitCode;
using boragepaddle::ctl::Format;
namespace ctl = boragepaddle::ctl;
namespace config = boragepaddle::config;
namespace schema = boragepaddle::schema;

constexpr char kUsage[] =
    R"(usage: boragepaddlectl [FLAGS] COMMAND [ARGUMENT...]

Commands on configuration folders:
  check FOLDER              verdict, members, candidates and all errors
  merge FOLDER              merged rules of all members
  explain FOLDER SERVICE.OPERATION
                            rule that applies to a call, and its file
  diff FOLDER FOLDER        changed keys by member, service and operation
Commands on a running node (--node):
  status                    state of the node
  audit                     accepted and refused configuration changes
  drain                     graceful shutdown of the node

Flags:
  --json                    print JSON for scripts
  --founding_members=A,B    founding members in order (check, merge, explain)
  --settings=FILE           node settings file to read them from instead
  --node=IP:PORT            operator address (status, audit, drain)
  --timeout_ms=N            timeout for the node's response, default 5000
  --help, --version

Exit codes: 0 done; 1 wrong usage; 2 refused, different or no such rule;
3 file unreadable; 4 node unreachable; 5 node answered with an error.
)";

using Arguments = std::vector<std::string>;
using Names = std::vector<std::string>;
template <typename T>
using OrFailure = boragepaddle::base::Result<T, CommandResult>;

CommandResult Failure(ExitCode code, const std::string& reason) {
  return {code, "", reason + "\n"};
}

CommandResult WrongUsage(const std::string& reason) {
  return Failure(ExitCode::kUsage,
                 absl::StrCat(reason, "; see boragepaddlectl --help"));
}

Format OutputFormat() {
  return FLAGS_json ? Format::kJson : Format::kText;
}

OrFailure<Names> MembersOfSettings() {
  const auto text = ctl::ReadFile(FLAGS_settings);
  if (!text.has_value()) {
    return Failure(ExitCode::kUnreadable, Describe(text.error()));
  }
  auto settings = schema::ReadNodeSettings(FLAGS_settings, text.value());
  if (!settings.has_value()) {
    return Failure(ExitCode::kUnreadable, Describe(settings.error().front()));
  }
  return std::move(settings).value().founding_members;
}

OrFailure<Names> FoundingMembers() {
  if (FLAGS_settings.empty() == FLAGS_founding_members.empty()) {
    return WrongUsage("give either --founding_members or --settings");
  }
  if (!FLAGS_settings.empty()) {
    return MembersOfSettings();
  }
  return Names(absl::StrSplit(FLAGS_founding_members, ',', absl::SkipEmpty()));
}

OrFailure<config::Folder> FolderAt(const std::string& path) {
  auto folder = ctl::ReadFolder(path);
  if (!folder.has_value()) {
    return Failure(ExitCode::kUnreadable, Describe(folder.error()));
  }
  return std::move(folder).value();
}

CommandResult RunDiff(const Arguments& arguments) {
  const auto from = FolderAt(arguments[0]);
  const auto to = FolderAt(arguments[1]);
  if (!from.has_value() || !to.has_value()) {
    return from.has_value() ? to.error() : from.error();
  }
  return ctl::DiffFolders(from.value(), to.value(), OutputFormat());
}

CommandResult RunOnFolder(const std::string& command,
                          const Arguments& arguments) {
  const auto members = FoundingMembers();
  if (!members.has_value()) {
    return members.error();
  }
  const auto folder = FolderAt(arguments[0]);
  if (!folder.has_value()) {
    return folder.error();
  }
  if (command == "check") {
    return ctl::Check(folder.value(), members.value(), OutputFormat());
  }
  if (command == "merge") {
    return ctl::Merge(folder.value(), members.value(), OutputFormat());
  }
  return ctl::ExplainCall(folder.value(), members.value(), arguments[1],
                          OutputFormat());
}

CommandResult RunOnNode(const std::string& command) {
  if (FLAGS_node.empty()) {
    return WrongUsage(command + " needs --node");
  }
  const ctl::NodeTarget node = {FLAGS_node,
                                absl::Milliseconds(FLAGS_timeout_ms)};
  if (command == "status") {
    return ctl::Status(node, OutputFormat());
  }
  if (command == "audit") {
    return ctl::Audit(node, OutputFormat());
  }
  return ctl::Drain(node, OutputFormat());
}

struct CommandShape {
  const char* name;
  size_t arguments;
};

constexpr CommandShape kShapes[] = {{"check", 1}, {"merge", 1},  {"explain", 2},
                                    {"diff", 2},  {"status", 0}, {"audit", 0},
                                    {"drain", 0}};

CommandResult Run(const std::string& command, const Arguments& arguments) {
  for (const CommandShape& shape : kShapes) {
    if (command != shape.name) {
      continue;
    }
    if (arguments.size() != shape.arguments) {
      return WrongUsage(absl::StrCat(command, " takes ", shape.arguments,
                                     " arguments, not ", arguments.size()));
    }
    if (shape.arguments == 0) {
      return RunOnNode(command);
    }
    return command == "diff" ? RunDiff(arguments)
                             : RunOnFolder(command, arguments);
  }
  return WrongUsage(command.empty()
                        ? "no command given"
                        : absl::StrCat("unknown command ", command));
}

}  // namespace

int main(int argc, char** argv) {
  // gflags' own handling of --help lists the flags of all linked files and
  // exits with status 1.
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, /*remove_flags=*/true);
  if (FLAGS_help) {
    std::fputs(kUsage, stdout);
    return 0;
  }
  if (FLAGS_version) {
    std::puts("boragepaddlectl " BORAGEPADDLE_VERSION);
    return 0;
  }
  const std::string command = argc > 1 ? argv[1] : "";
  const Arguments arguments(argv + (argc > 1 ? 2 : argc), argv + argc);
  const CommandResult result = Run(command, arguments);
  std::fputs(result.output.c_str(), stdout);
  std::fputs(result.error.c_str(), stderr);
  return static_cast<int>(result.code);
}
