#include "compat/golden.hpp"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <sys/wait.h>

namespace limemast::compat {
namespace {
std::string content_of(const std::filesystem::path& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw std::runtime_error("cannot read " + file.string());
  return {std::istreambuf_iterator<char>(in), {}};
}
}  // namespace

std::vector<ordered_json> read_lines(const std::filesystem::path& file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error("cannot read " + file.string());
  std::vector<ordered_json> out;
  for (std::string line; std::getline(in, line);) out.push_back(ordered_json::parse(line));
  return out;
}

void write_lines(const std::filesystem::path& file, const std::vector<ordered_json>& lines) {
  std::ofstream out(file);
  for (const auto& line : lines) out << line.dump() << '\n';
  if (!out) throw std::runtime_error("cannot write " + file.string());
}

ordered_json to_json(const CommandCase& c) {
  ordered_json out{{"arguments", c.arguments}};
  for (const auto& [name, content] : c.files) out["files"][name] = content;
  out["code"] = c.code;
  out["out"] = c.out;
  out["error"] = c.error;
  return out;
}

CommandCase command_case(const ordered_json& saved) {
  CommandCase c;
  c.arguments = saved.at("arguments").get<std::string>();
  if (saved.contains("files"))
    for (const auto& [name, content] : saved["files"].items())
      c.files.emplace_back(name, content.get<std::string>());
  c.code = saved.at("code").get<int>();
  c.out = saved.at("out").get<std::string>();
  c.error = saved.at("error").get<std::string>();
  return c;
}

void run_command(const std::string& binary, CommandCase& c) {
  char path[] = "/tmp/limemast-compat-XXXXXX";
  if (!mkdtemp(path)) throw std::runtime_error("cannot create a temporary directory");
  const std::filesystem::path directory(path);
  for (const auto& [file, content] : c.files) std::ofstream(directory / file) << content;
  // The program is called by its bare name, as users do, because help and errors show that name.
  const auto binary_directory = std::filesystem::path(binary).parent_path().string();
  const auto command = "cd " + directory.string() +
                       " && unset LIMEMAST_TUNING && PATH=" + binary_directory +
                       ":$PATH limemast " + c.arguments + " >.out 2>.error </dev/null";
  const int status = std::system(command.c_str());
  c.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  c.out = content_of(directory / ".out");
  c.error = content_of(directory / ".error");
  std::filesystem::remove_all(directory);
}
}  // namespace limemast::compat
