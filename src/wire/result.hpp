#pragma once
// Return type of operations whose caller must check for an error.
#include <string>
#include <utility>
#include <variant>

namespace limemast::wire {
/// Holds a value or an error. Access to the value of a failure, or to the error of a success,
/// throws std::bad_variant_access.
template <class Value, class Error>
class Result {
 public:
  Result(Value value) : outcome_(std::in_place_index<0>, std::move(value)) {}
  Result(Error error) : outcome_(std::in_place_index<1>, std::move(error)) {}

  bool ok() const { return outcome_.index() == 0; }
  explicit operator bool() const { return ok(); }
  Value& value() { return std::get<0>(outcome_); }
  const Value& value() const { return std::get<0>(outcome_); }
  Value& operator*() { return value(); }
  const Value& operator*() const { return value(); }
  Value* operator->() { return &value(); }
  const Value* operator->() const { return &value(); }
  const Error& error() const { return std::get<1>(outcome_); }

 private:
  std::variant<Value, Error> outcome_;
};

/// A field of a request or record that is missing or invalid.
struct FieldError {
  std::string field;  ///< its spelling on the wire; "body" if the message is not an object
  bool operator==(const FieldError&) const = default;
};
}  // namespace limemast::wire
