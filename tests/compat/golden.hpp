#pragma once
#include <filesystem>
#include <string>
#include <vector>

#include "compat/schema.hpp"

/// The golden files in tests/compat/golden/ have one JSON value per line.
/// bench/golden/record_golden writes them.
namespace limemast::compat {
inline const std::string kSchemasFile = "forms.jsonl";      ///< {kind, seen, form}
inline const std::string kMessagesFile = "messages.jsonl";  ///< {kind, cbor, message}
inline const std::string kHttpFile = "http.jsonl";          ///< {kind, body, context}
inline const std::string kRecordsFile = "records.jsonl";    ///< {kind, key, value}
inline const std::string kInputsFile = "inputs.jsonl";      ///< {kind, text}
inline const std::string kStoreFile = "store.jsonl";  ///< {seed, epoch}, {job ...}s, {key ...}s
inline const std::string kCommandsFile =
    "commands.jsonl";  ///< {arguments, files, code, out, error}

/// Seeds of the simulated days whose traffic is recorded.
constexpr std::uint64_t kFirstTrafficSeed = 1, kLastTrafficSeed = 16;
/// Seed of the simulated day whose store is recorded.
constexpr std::uint64_t kStoreSeed = 41;

std::vector<ordered_json> read_lines(const std::filesystem::path& file);
void write_lines(const std::filesystem::path& file, const std::vector<ordered_json>& lines);

/// A run of the program: its input, exit code and output.
struct CommandCase {
  std::string arguments;
  std::vector<std::pair<std::string, std::string>>
      files;  ///< name and content, in the working directory
  int code = -1;
  std::string out, error;
};
ordered_json to_json(const CommandCase& c);
CommandCase command_case(const ordered_json& saved);
/// Runs the program in a temporary directory that contains only the case's files, and sets `code`,
/// `out` and `error`. Throws std::runtime_error if the directory cannot be created.
void run_command(const std::string& binary, CommandCase& c);
}  // namespace limemast::compat
