#include "jobs/completion_codec.hpp"

#include "cluster/records.hpp"

namespace limemast::jobs {
namespace {
using wire::json;

constexpr const char* kPageLimit = "100";

// Fields of the service's answer to a listing.
constexpr const char* kEntriesField = "entries";
constexpr const char* kTruncatedField = "truncated";
constexpr const char* kKeyField = "key";
constexpr const char* kValueField = "v";
constexpr const char* kModRevisionField = "stamp";

// Places in the array that stands for one chunk.
constexpr std::size_t kUidPlace = 0;
constexpr std::size_t kChunkPlace = 1;
constexpr std::size_t kHexPlace = 2;
}  // namespace

const char* const kEmptyCompletionRecord = "[]";

std::vector<std::string> encode_completion_records(const std::vector<BitmapChunk>& chunks,
                                                   std::size_t max_bytes) {
  std::vector<std::string> records(1, "[");
  for (const auto& chunk : chunks) {
    const auto text = json{chunk.uid, chunk.chunk, chunk.hex}.dump();
    const bool has_chunks = records.back().size() > 1;
    if (has_chunks && records.back().size() + text.size() > max_bytes) records.emplace_back("[");
    if (records.back().size() > 1) records.back() += ",";
    records.back() += text;
  }
  for (auto& record : records) record += "]";
  return records;
}

DecodedCompletionRecord decode_completion_record(const json& record) {
  DecodedCompletionRecord decoded;
  try {
    for (const auto& chunk : record)
      decoded.chunks.push_back({chunk.at(kUidPlace).get<std::string>(),
                                chunk.at(kChunkPlace).get<std::uint32_t>(),
                                chunk.at(kHexPlace).get<std::string>()});
  } catch (const json::exception&) {
    decoded.complete = false;
  }
  return decoded;
}

std::string list_path(const std::string& prefix, const std::string& from) {
  auto path = "/keys?prefix=" + prefix + "&limit=" + kPageLimit;
  if (!from.empty()) path += "&from=" + from;
  return path;
}

std::optional<ListedPage> decode_list_page(const std::string& body, const std::string& prefix) {
  const auto answer = json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains(kEntriesField)) return std::nullopt;
  ListedPage page;
  std::string last_key;
  for (const auto& entry : answer[kEntriesField]) {
    last_key = cluster::string_field(entry, kKeyField);
    if (!last_key.starts_with(prefix) || !entry.contains(kValueField)) continue;
    page.records.push_back({last_key, entry[kValueField],
                            store::Revision(entry.value(kModRevisionField, std::uint64_t{0}))});
  }
  if (answer.value(kTruncatedField, false) && !last_key.empty()) page.next_from = last_key;
  return page;
}
}  // namespace limemast::jobs
