// rehearse CASE TROUBLE RECORD COMMAND DIRECTORY: plays one case. Exits with 1 if a rule was
// broken, 0 if none was, and 2 if the case could not run.
#include <cstdlib>
#include <iostream>

#include "cases.hpp"
#include "net.hpp"

int main(int argc, char** argv) {
  constexpr int kCannotRun = 2;
  if (argc != 6) {
    std::cerr << "usage: rehearse CASE TROUBLE RECORD COMMAND DIRECTORY\n";
    return kCannotRun;
  }
  auto& record = standins::Record::get();
  record.open(argv[3]);
  if (!standins::play(argv[1], {std::string(argv[2]) != "0", argv[4], argv[5]})) return kCannotRun;
  const int code = record.exit_code();
  record.line("exit code " + std::to_string(code));
  // Threads of the stand-ins may still wait in system calls.
  std::_Exit(code);
}
