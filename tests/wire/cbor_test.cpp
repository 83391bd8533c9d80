#include "wire/cbor.hpp"

#include <random>

#include <gtest/gtest.h>

namespace limemast::wire {
namespace {
json random_value(std::mt19937_64& random, int depth) {
  switch (random() % (depth > 3 ? 6 : 8)) {
    case 0:
      return nullptr;
    case 1:
      return random() % 2 == 0;
    case 2:
      return random();
    case 3:
      return -static_cast<std::int64_t>(random() >> 1) - 1;
    case 4:
      return static_cast<double>(random() % 1000) / 8;
    case 5:
      return std::string(random() % 40, 'x');
    case 6: {
      json out = json::array();
      for (auto n = random() % 5; n > 0; --n) out.push_back(random_value(random, depth + 1));
      return out;
    }
    default: {
      json out = json::object();
      for (auto n = random() % 5; n > 0; --n)
        out["k" + std::to_string(random() % 9)] = random_value(random, depth + 1);
      return out;
    }
  }
}

// The values include floats, for which libcbor aborts the process if it is asked for a control
// value.
TEST(Cbor, RoundTrip) {
  std::mt19937_64 random(1);
  for (int i = 0; i < 500; ++i) {
    const auto value = random_value(random, 0);
    const auto bytes = to_cbor(value);
    const auto back = from_cbor(bytes.data(), bytes.size());
    ASSERT_TRUE(back) << value;
    EXPECT_EQ(*back, value);
  }
}

TEST(Cbor, CorruptedBytesAreRefused) {
  std::mt19937_64 random(2);
  int refused = 0;
  for (int i = 0; i < 2000; ++i) {
    auto bytes = to_cbor(random_value(random, 0));
    if (bytes.size() > 1 && random() % 2 == 0) bytes.resize(random() % bytes.size());
    for (auto& b : bytes)
      if (random() % 4 == 0) b = static_cast<std::uint8_t>(random());
    refused += !from_cbor(bytes.data(), bytes.size());
  }
  EXPECT_GT(refused, 500);
  EXPECT_FALSE(from_cbor(nullptr, 0));
}
}  // namespace
}  // namespace limemast::wire
