#include "wire/cbor.hpp"

#include <cbor.h>

#include <cstdlib>
#include <memory>

namespace limemast::wire {
namespace {
struct Unref {
  void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
using Item = std::unique_ptr<cbor_item_t, Unref>;
constexpr int kMaxDepth = 16;

Item encode(const json& value) {
  switch (value.type()) {
    case json::value_t::boolean:
      return Item(cbor_build_bool(value.get<bool>()));
    case json::value_t::number_unsigned:
      return Item(cbor_build_uint64(value.get<std::uint64_t>()));
    case json::value_t::number_integer: {
      const auto n = value.get<std::int64_t>();
      return Item(n >= 0 ? cbor_build_uint64(static_cast<std::uint64_t>(n))
                         : cbor_build_negint64(static_cast<std::uint64_t>(-(n + 1))));
    }
    case json::value_t::number_float:
      return Item(cbor_build_float8(value.get<double>()));
    case json::value_t::string: {
      const auto& s = value.get_ref<const std::string&>();
      return Item(cbor_build_stringn(s.data(), s.size()));
    }
    case json::value_t::array: {
      Item array(cbor_new_definite_array(value.size()));
      for (const auto& element : value) {
        auto item = encode(element);
        if (!cbor_array_push(array.get(), item.get())) throw std::bad_alloc();
      }
      return array;
    }
    case json::value_t::object: {
      Item map(cbor_new_definite_map(value.size()));
      for (const auto& [name, element] : value.items()) {
        Item key(cbor_build_stringn(name.data(), name.size()));
        auto item = encode(element);
        if (!cbor_map_add(map.get(), cbor_pair{key.get(), item.get()})) throw std::bad_alloc();
      }
      return map;
    }
    default:
      return Item(cbor_new_null());
  }
}

bool decode(const cbor_item_t* item, json& out, int depth) {
  if (depth > kMaxDepth) return false;
  switch (cbor_typeof(item)) {
    case CBOR_TYPE_UINT:
      out = cbor_get_int(item);
      return true;
    case CBOR_TYPE_NEGINT:
      out = -static_cast<std::int64_t>(cbor_get_int(item)) - 1;
      return true;
    case CBOR_TYPE_STRING:
      if (!cbor_string_is_definite(item)) return false;
      out = std::string(reinterpret_cast<const char*>(cbor_string_handle(item)), cbor_string_length(item));
      return true;
    case CBOR_TYPE_ARRAY: {
      out = json::array();
      for (std::size_t i = 0; i < cbor_array_size(item); ++i) {
        out.push_back(nullptr);
        if (!decode(cbor_array_handle(item)[i], out.back(), depth + 1)) return false;
      }
      return true;
    }
    case CBOR_TYPE_MAP: {
      out = json::object();
      for (std::size_t i = 0; i < cbor_map_size(item); ++i) {
        json key;
        const auto& pair = cbor_map_handle(item)[i];
        if (!decode(pair.key, key, depth + 1) || !key.is_string()) return false;
        if (!decode(pair.value, out[key.get<std::string>()], depth + 1)) return false;
      }
      return true;
    }
    case CBOR_TYPE_FLOAT_CTRL:
      // The width comes first: libcbor asserts that what it is asked for a control value is one.
      if (!cbor_float_ctrl_is_ctrl(item))
        out = cbor_float_get_float(item);
      else if (cbor_is_bool(item))
        out = cbor_get_bool(item);
      else
        out = nullptr;
      return true;
    default:
      return false;
  }
}
}  // namespace

std::vector<std::uint8_t> to_cbor(const json& message) {
  const auto item = encode(message);
  unsigned char* buffer = nullptr;
  std::size_t capacity = 0;
  const auto size = cbor_serialize_alloc(item.get(), &buffer, &capacity);
  const std::unique_ptr<unsigned char, decltype(&std::free)> owned(buffer, &std::free);
  return {buffer, buffer + size};
}

std::optional<json> from_cbor(const std::uint8_t* data, std::size_t size) {
  cbor_load_result result{};
  Item item(size == 0 ? nullptr : cbor_load(data, size, &result));
  json out;
  if (!item || result.read != size || !decode(item.get(), out, 0)) return std::nullopt;
  return out;
}
}  // namespace limemast::wire
