#pragma once
// Parsing of socket addresses.
#include <charconv>
#include <string>

#include <uv.h>

namespace limemast::net {
/// Parses an IPv4 address with a port, such as "10.0.0.1:8080"; host names are not resolved.
/// Returns false if the text has another form; `out` is then unspecified.
inline bool parse_address(const std::string& text, sockaddr_in& out) {
  constexpr int kMaxPort = 65535;
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  int port = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (error != std::errc{} || end != last || port < 0 || port > kMaxPort) return false;
  return uv_ip4_addr(text.substr(0, colon).c_str(), port, &out) == 0;
}
}  // namespace limemast::net
