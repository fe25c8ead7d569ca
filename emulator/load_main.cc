#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "emulator/load_plan.h"
#include "emulator/load_report.h"
#include "emulator/load_run.h"

DEFINE_string(plan, "", "JSON file with entries, phases and operations");
DEFINE_string(output, "", "file for the results in JSON");
DEFINE_string(
    ends,
    "",
    "file for one line per request: key, phase, class, service.operation, "
    "outcome, 1 if in time, attempts");

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteRequestResults(const emulator::LoadPlan& plan,
                         const emulator::LoadOutput& output,
                         const std::string& path) {
  std::ofstream file(path);
  for (const emulator::RequestResult& end : output.request_results) {
    const emulator::LoadOperation& operation = plan.operations[end.operation];
    file << end.key << " " << plan.phases[end.phase].name << " "
         << operation.call_class << " " << operation.service << "."
         << operation.operation << " " << emulator::ToString(end.outcome) << " "
         << end.in_time << " " << end.attempts << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto plan = emulator::ParseLoadPlan(ReadFile(FLAGS_plan));
  if (!plan) {
    std::cerr << "load: " << FLAGS_plan << ": "
              << emulator::ToString(plan.error()) << "\n";
    return 2;
  }
  emulator::LoadRun run(plan.value());
  const emulator::LoadOutput output = run.Run();
  std::cout << emulator::ReportTable(plan.value(), output);
  if (!FLAGS_output.empty()) {
    std::ofstream(FLAGS_output)
        << emulator::ReportJson(plan.value(), output) << "\n";
  }
  if (!FLAGS_ends.empty()) {
    WriteRequestResults(plan.value(), output, FLAGS_ends);
  }
  return 0;
}
