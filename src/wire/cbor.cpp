#include "wire/cbor.hpp"

#include <array>

#include <cbor.h>

namespace limemast::wire {
namespace {
constexpr std::size_t kMaxDepth = 16;     ///< levels of nested arrays and maps
constexpr std::size_t kMaxHeadBytes = 9;  ///< size of the longest head: item type and argument

/// Writes items directly into a buffer. A tree of libcbor items would cost one allocation per item.
class Encoder {
 public:
  void put(const json& value) {
    switch (value.type()) {
      case json::value_t::boolean:
        return head(cbor_encode_bool, value.get<bool>());
      case json::value_t::number_unsigned:
        return head(cbor_encode_uint, value.get<std::uint64_t>());
      case json::value_t::number_integer: {
        const auto n = value.get<std::int64_t>();
        return n >= 0 ? head(cbor_encode_uint, static_cast<std::uint64_t>(n))
                      : head(cbor_encode_negint, static_cast<std::uint64_t>(-(n + 1)));
      }
      case json::value_t::number_float:
        return head(cbor_encode_double, value.get<double>());
      case json::value_t::string:
        return text(value.get_ref<const std::string&>());
      case json::value_t::array:
        head(cbor_encode_array_start, value.size());
        for (const auto& element : value) put(element);
        return;
      case json::value_t::object:
        head(cbor_encode_map_start, value.size());
        for (auto it = value.begin(); it != value.end(); ++it) {
          text(it.key());
          put(it.value());
        }
        return;
      default:
        out_.push_back(kNull);
        return;
    }
  }
  std::vector<std::uint8_t> take() { return std::move(out_); }

 private:
  static constexpr std::uint8_t kNull = 0xf6;
  template <class Encode, class Value>
  void head(Encode encode, Value value) {
    std::array<unsigned char, kMaxHeadBytes> buffer{};
    const auto n = encode(value, buffer.data(), buffer.size());
    out_.insert(out_.end(), buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(n));
  }
  void text(const std::string& s) {
    head(cbor_encode_string_start, s.size());
    out_.insert(out_.end(), s.begin(), s.end());
  }
  std::vector<std::uint8_t> out_;
};

/// Builds a JSON value from the callbacks of libcbor's stream decoder. Ignores all callbacks after
/// an error.
class Decoder {
 public:
  bool failed() const { return failed_; }
  bool finished() const { return started_ && open_.empty(); }
  json take() { return std::move(root_); }

  void add_value(json v) {
    auto* place = find_slot(v);
    if (!place) return;
    *place = std::move(v);
    close_complete_containers();
  }
  void begin_container(json empty, std::size_t size) {
    auto* place = find_slot(empty);
    if (!place) return;
    *place = std::move(empty);
    if (open_.size() >= kMaxDepth) return fail();
    open_.push_back({place, size, {}, false});
    close_complete_containers();
  }
  void fail() { failed_ = true; }

 private:
  struct OpenContainer {
    json* container;
    std::size_t remaining;  ///< elements or pairs that have not been decoded yet
    std::string key;        ///< of the pair whose value is decoded next, if `has_key`
    bool has_key;
  };
  /// Returns the place for the next item. Returns nullptr if the item is a key, which it stores, or
  /// if no item is allowed here, which is an error.
  json* find_slot(json& v) {
    if (failed_ || (started_ && open_.empty())) return fail(), nullptr;
    if (!started_) {
      started_ = true;
      return &root_;
    }
    auto& top = open_.back();
    if (top.container->is_array()) {
      --top.remaining;
      top.container->push_back(nullptr);
      return &top.container->back();
    }
    if (!top.has_key) {
      if (!v.is_string()) return fail(), nullptr;
      top.key = std::move(v.get_ref<std::string&>());
      top.has_key = true;
      return nullptr;
    }
    top.has_key = false;
    --top.remaining;
    return &(*top.container)[top.key];
  }
  void close_complete_containers() {
    while (!open_.empty() && open_.back().remaining == 0 && !open_.back().has_key) open_.pop_back();
  }
  json root_;
  std::vector<OpenContainer> open_;
  bool started_ = false;
  bool failed_ = false;
};

Decoder& decoder(void* context) { return *static_cast<Decoder*>(context); }
template <class Number>
void on_uint(void* context, Number number) {
  decoder(context).add_value(static_cast<std::uint64_t>(number));
}
template <class Number>
void on_negint(void* context, Number number) {
  decoder(context).add_value(-static_cast<std::int64_t>(number) - 1);
}
template <class Number>
void on_float(void* context, Number number) {
  decoder(context).add_value(static_cast<double>(number));
}
/// Controllers do not send byte strings, tags or items of indefinite length.
void on_unsupported(void* context) { decoder(context).fail(); }

const cbor_callbacks& callbacks() {
  static const cbor_callbacks kCallbacks = [] {
    cbor_callbacks v{};
    v.uint8 = on_uint<std::uint8_t>;
    v.uint16 = on_uint<std::uint16_t>;
    v.uint32 = on_uint<std::uint32_t>;
    v.uint64 = on_uint<std::uint64_t>;
    v.negint8 = on_negint<std::uint8_t>;
    v.negint16 = on_negint<std::uint16_t>;
    v.negint32 = on_negint<std::uint32_t>;
    v.negint64 = on_negint<std::uint64_t>;
    v.byte_string_start = v.string_start = v.indef_array_start = v.indef_map_start = v.indef_break =
        on_unsupported;
    v.byte_string = [](void* context, cbor_data, std::size_t) { decoder(context).fail(); };
    v.string = [](void* context, cbor_data data, std::size_t size) {
      decoder(context).add_value(std::string(reinterpret_cast<const char*>(data), size));
    };
    v.array_start = [](void* context, std::size_t size) {
      decoder(context).begin_container(json::array(), size);
    };
    v.map_start = [](void* context, std::size_t size) {
      decoder(context).begin_container(json::object(), size);
    };
    v.tag = [](void* context, std::uint64_t) { decoder(context).fail(); };
    v.float2 = v.float4 = on_float<float>;
    v.float8 = on_float<double>;
    v.undefined = v.null = [](void* context) { decoder(context).add_value(nullptr); };
    v.boolean = [](void* context, bool b) { decoder(context).add_value(b); };
    return v;
  }();
  return kCallbacks;
}
}  // namespace

std::vector<std::uint8_t> to_cbor(const json& message) {
  Encoder encoder;
  encoder.put(message);
  return encoder.take();
}

std::optional<json> from_cbor(const std::uint8_t* data, std::size_t size) {
  Decoder decoder;
  while (size > 0) {
    const auto step = cbor_stream_decode(data, size, &callbacks(), &decoder);
    if (step.status != CBOR_DECODER_FINISHED || step.read == 0 || step.read > size ||
        decoder.failed())
      return std::nullopt;
    data += step.read;
    size -= step.read;
  }
  if (!decoder.finished()) return std::nullopt;
  return decoder.take();
}
}  // namespace limemast::wire
