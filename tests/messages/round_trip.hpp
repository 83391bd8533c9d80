#pragma once
// Checks shared by the message tests: the encoded JSON, the decoded message, and the required
// fields.
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "wire/cbor.hpp"

namespace limemast::messages {
/// Expects that the message encodes to exactly this JSON, including number types (2 is not 2.0),
/// and that it decodes to the same message from the JSON and from its CBOR frame.
template <class Message>
void expect_round_trip(const Message& message, const std::string& literal) {
  const auto expected = wire::json::parse(literal);
  const wire::json written = message;
  EXPECT_EQ(written.dump(), expected.dump());
  EXPECT_TRUE(expected.get<Message>() == message) << literal;
  const auto frame = wire::to_cbor(written);
  const auto received = wire::from_cbor(frame.data(), frame.size());
  ASSERT_TRUE(received) << literal;
  EXPECT_TRUE(received->get<Message>() == message) << literal;
}

/// Expects that decoding fails if any one field is missing, except for fields in `optional`.
template <class Message>
void expect_fields_required(const std::string& literal,
                            const std::set<std::string>& optional = {}) {
  const auto complete_message = wire::json::parse(literal);
  for (const auto& [field, value] : complete_message.items()) {
    auto partial_message = complete_message;
    partial_message.erase(field);
    if (optional.contains(field))
      EXPECT_NO_THROW(partial_message.get<Message>()) << field;
    else
      EXPECT_THROW(partial_message.get<Message>(), wire::json::exception) << field;
  }
}
}  // namespace limemast::messages
