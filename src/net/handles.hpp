#pragma once
// Ownership of libuv handles, and casts between libuv's types.
#include <chrono>
#include <cstdint>
#include <memory>

#include <uv.h>

namespace limemast::net {
inline uv_handle_t* as_handle(uv_tcp_t* socket) { return reinterpret_cast<uv_handle_t*>(socket); }
inline uv_handle_t* as_handle(uv_timer_t* timer) { return reinterpret_cast<uv_handle_t*>(timer); }
inline uv_handle_t* as_handle(uv_prepare_t* prepare) {
  return reinterpret_cast<uv_handle_t*>(prepare);
}
inline uv_stream_t* as_stream(uv_tcp_t* socket) { return reinterpret_cast<uv_stream_t*>(socket); }
inline const sockaddr* as_sockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

/// Closes a handle and frees it in libuv's close callback, in a later iteration of the loop.
struct HandleCloser {
  template <class Handle>
  void operator()(Handle* handle) const {
    uv_close(as_handle(handle), [](uv_handle_t* closed) {
      std::default_delete<Handle>()(reinterpret_cast<Handle*>(closed));
    });
  }
};
/// Owns an initialised handle. The loop must run until the handle is closed, after the owner has
/// been destroyed.
template <class Handle>
using UniqueHandle = std::unique_ptr<Handle, HandleCloser>;

/// Creates a handle of the loop with libuv's `init` function for its type, which must not fail.
template <class Handle>
UniqueHandle<Handle> make_handle(uv_loop_t* loop, int (*init)(uv_loop_t*, Handle*)) {
  auto handle = std::make_unique<Handle>();
  init(loop, handle.get());
  return UniqueHandle<Handle>(handle.release());
}

/// Converts a delay for libuv, rounded up.
inline std::uint64_t to_uv_milliseconds(std::chrono::nanoseconds delay) {
  return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(delay).count());
}
}  // namespace limemast::net
