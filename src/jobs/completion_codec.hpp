#pragma once
// Encodes and decodes the stored records of completed tasks and the store's listing pages.
#include <optional>
#include <string>
#include <vector>

#include "jobs/task_bitmap.hpp"
#include "store/client.hpp"

namespace limemast::jobs {
/// Encodes the chunks, in order, as records. Each record is a JSON array of at most `max_bytes`,
/// unless a single chunk is larger. Returns one empty record if there are no chunks.
std::vector<std::string> encode_completion_records(const std::vector<BitmapChunk>& chunks,
                                                   std::size_t max_bytes);
/// The encoding of a record without chunks.
extern const char* const kEmptyCompletionRecord;

/// The chunks of a record, up to the first one that cannot be decoded.
struct DecodedCompletionRecord {
  std::vector<BitmapChunk> chunks;
  bool complete = true;  ///< false: a chunk could not be decoded
};
DecodedCompletionRecord decode_completion_record(const wire::json& record);

/// A record in a listing of the store.
struct ListedRecord {
  std::string key;
  wire::json value;
  store::Revision mod_revision{};
};
/// One page of a listing of the store.
struct ListedPage {
  std::vector<ListedRecord> records;
  std::optional<std::string> continue_after;  ///< more records follow this key; nullopt: last page
};
/// The request path that lists the records under `prefix` after the key `after_key`; all records if
/// `after_key` is empty.
std::string list_path(const std::string& prefix, const std::string& after_key);
/// Decodes a response body and keeps the records under `prefix`; nullopt if the body is not a
/// listing.
std::optional<ListedPage> decode_list_page(const std::string& body, const std::string& prefix);
}  // namespace limemast::jobs
