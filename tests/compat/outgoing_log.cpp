#include "compat/outgoing_log.hpp"

#include <iomanip>

#include "wire/cbor.hpp"

namespace limemast::compat {
namespace {
using simulation::SimulatedCluster;
constexpr std::uint64_t kFnvPrime = 1099511628211ull;

std::string describe_head(const net::HttpRequest& r) { return r.method + ' ' + r.path; }

/// Formats a response without its body.
std::string describe_head(const net::HttpResponse& r) {
  return std::to_string(r.status) + " type=" + r.type + " allow=" + r.allow +
         " retry=" + std::to_string(r.retry_after_s) +
         " seat=" + std::to_string(static_cast<int>(r.connection_class));
}

std::string on_one_line(const std::string& text) {
  std::string out;
  for (const char c : text) c == '\n' ? out += "\\n" : out += c;
  return out;
}
}  // namespace

void Fnv1a::add(const void* data, std::size_t size) {
  const auto* bytes = static_cast<const unsigned char*>(data);
  for (std::size_t i = 0; i < size; ++i) value_ = (value_ ^ bytes[i]) * kFnvPrime;
}

void OutgoingLog::add(const SimulatedCluster::Outgoing& item) {
  ++count_;
  const auto time = (world_.now() - simulation::SimulatedWorld::start()).count();
  std::string line = std::to_string(time) + ' ' + item.from + " -> " + item.to + ' ';
  if (item.message) {
    const auto bytes = wire::to_cbor(*item.message);
    hash_.add(line);
    hash_.add(bytes.data(), bytes.size());
    if (!trace_) return;
    Fnv1a message_hash;
    message_hash.add(bytes.data(), bytes.size());
    *trace_ << line << "message " << item.message->dump() << " cbor=" << std::hex
            << message_hash.value() << std::dec << '\n';
    return;
  }
  line += describe_head(*item.request);
  if (item.response)
    line += " : " + describe_head(*item.response) + ' ' + item.response->body;
  else
    line += ' ' + item.request->body;
  hash_.add(line);
  if (trace_) *trace_ << on_one_line(line) << '\n';
}
}  // namespace limemast::compat
