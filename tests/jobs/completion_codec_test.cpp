// The stored form of completed tasks: bitmaps, records of bitmap chunks, and listings of records.
#include "jobs/completion_codec.hpp"

#include <gtest/gtest.h>

namespace limemast::jobs {
namespace {
constexpr std::size_t kNoLimit = 1'000'000;

TEST(TaskBitmap, ChunkEncodesSetTasks) {
  TaskBitmap bitmap(20);
  bitmap.set(0);
  bitmap.set(9);
  bitmap.set(19);
  EXPECT_EQ(bitmap.chunk_count(), 1U);
  EXPECT_EQ(bitmap.chunk_hex(0), "010208");
}

TEST(TaskBitmap, MergeAddsTasksOfChunk) {
  TaskBitmap bitmap(16);
  bitmap.set(1);
  EXPECT_TRUE(bitmap.merge_hex(0, "0480"));
  for (std::uint32_t task = 0; task < 16; ++task)
    EXPECT_EQ(bitmap.test(task), task == 1 || task == 2 || task == 15) << task;
}

TEST(TaskBitmap, LargeJobHasSeveralChunks) {
  TaskBitmap bitmap(TaskBitmap::kChunkTasks + 8);
  bitmap.set(TaskBitmap::kChunkTasks);
  EXPECT_EQ(bitmap.chunk_count(), 2U);
  EXPECT_EQ(bitmap.chunk_hex(0), std::string(TaskBitmap::kChunkTasks / 4, '0'));
  EXPECT_EQ(bitmap.chunk_hex(1), "01");
}

TEST(TaskBitmap, MergeRejectsInvalidChunk) {
  TaskBitmap bitmap(16);
  EXPECT_FALSE(bitmap.merge_hex(0, "0"));       // half a byte
  EXPECT_FALSE(bitmap.merge_hex(0, "0g"));      // invalid hexadecimal digit
  EXPECT_FALSE(bitmap.merge_hex(0, "000000"));  // more tasks than the job has
  EXPECT_FALSE(bitmap.merge_hex(1, "00"));      // chunk index out of range
}

TEST(CompletionRecord, NoChunksAreEncodedAsOneEmptyArray) {
  EXPECT_EQ(encode_completion_records({}, kNoLimit),
            std::vector<std::string>{kEmptyCompletionRecord});
}

TEST(CompletionRecord, ContainsAllChunksThatFit) {
  const std::vector<BitmapChunk> chunks{{"a", 0, "ff"}, {"b", 3, "00"}};
  EXPECT_EQ(encode_completion_records(chunks, kNoLimit),
            std::vector<std::string>{R"([["a",0,"ff"],["b",3,"00"]])"});
}

TEST(CompletionRecord, NewRecordStartsWhenMaxSizeWouldBeExceeded) {
  const std::vector<BitmapChunk> chunks{{"a", 0, "ff"}, {"b", 3, "00"}};
  EXPECT_EQ(encode_completion_records(chunks, 1),
            (std::vector<std::string>{R"([["a",0,"ff"]])", R"([["b",3,"00"]])"}));
}

TEST(CompletionRecord, DecodingStopsAtFirstInvalidChunk) {
  const auto decoded =
      decode_completion_record(wire::json::parse(R"([["a",0,"ff"],["b","x","00"],["c",0,"01"]])"));
  EXPECT_FALSE(decoded.complete);
  ASSERT_EQ(decoded.chunks.size(), 1U);
  EXPECT_EQ(decoded.chunks[0].uid, "a");
  EXPECT_EQ(decoded.chunks[0].index, 0U);
  EXPECT_EQ(decoded.chunks[0].hex, "ff");
}

TEST(CompletionListing, ContinuesAfterLastKeyOfTruncatedPage) {
  const auto page = decode_list_page(
      R"({"entries":[{"key":"p/1","v":[],"stamp":7},{"key":"q/1","v":[]}],"truncated":true})",
      "p/");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->records.size(), 1U);
  EXPECT_EQ(page->records[0].key, "p/1");
  EXPECT_EQ(page->records[0].mod_revision, store::Revision(7));
  EXPECT_EQ(page->continue_after, "q/1");
}

TEST(CompletionListing, EndsWithPageThatIsNotTruncated) {
  const auto page = decode_list_page(R"({"entries":[]})", "p/");
  ASSERT_TRUE(page);
  EXPECT_FALSE(page->continue_after);
}

TEST(CompletionListing, ResponseWithoutEntriesIsRejected) {
  EXPECT_FALSE(decode_list_page("{}", "p/"));
  EXPECT_FALSE(decode_list_page("not JSON", "p/"));
}
}  // namespace
}  // namespace limemast::jobs
