#include "jobs/completion_codec.hpp"

#include "cluster/records.hpp"

namespace limemast::jobs {
namespace {
using wire::json;

constexpr const char* kPageLimit = "100";

// Fields of the store's listing response.
constexpr const char* kEntriesField = "entries";
constexpr const char* kTruncatedField = "truncated";
constexpr const char* kKeyField = "key";
constexpr const char* kValueField = "v";
constexpr const char* kModRevisionField = "stamp";

// Element indices of the JSON array that encodes one chunk.
constexpr std::size_t kUidIndex = 0;
constexpr std::size_t kChunkIndex = 1;
constexpr std::size_t kHexIndex = 2;
}  // namespace

const char* const kEmptyCompletionRecord = "[]";

std::vector<std::string> encode_completion_records(const std::vector<BitmapChunk>& chunks,
                                                   std::size_t max_bytes) {
  std::vector<std::string> records(1, "[");
  for (const auto& chunk : chunks) {
    const auto text = json{chunk.uid, chunk.index, chunk.hex}.dump();
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
      decoded.chunks.push_back({chunk.at(kUidIndex).get<std::string>(),
                                chunk.at(kChunkIndex).get<std::uint32_t>(),
                                chunk.at(kHexIndex).get<std::string>()});
  } catch (const json::exception&) {
    decoded.complete = false;
  }
  return decoded;
}

std::string list_path(const std::string& prefix, const std::string& after_key) {
  auto path = "/keys?prefix=" + prefix + "&limit=" + kPageLimit;
  if (!after_key.empty()) path += "&from=" + after_key;
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
  if (answer.value(kTruncatedField, false) && !last_key.empty()) page.continue_after = last_key;
  return page;
}
}  // namespace limemast::jobs
