#ifndef CAPERPATH_SRC_ROUTER_PLATFORM_ACCESS_HPP
#define CAPERPATH_SRC_ROUTER_PLATFORM_ACCESS_HPP

#include <caperpath/observe/metrics.hpp>
#include <caperpath/store/table.hpp>

#include <atomic>

namespace caperpath::router
{

/// Forwards to `inner` until `disconnected` is set; then every call fails, and
/// a write with an unknown outcome. Thread safe.
/// @pre `disconnected` outlives the port
store::port disconnectable(store::port const& inner,
                           std::atomic<bool> const& disconnected);

/// Forwards to `inner` and counts the reads and writes of all callers. Thread
/// safe.
/// @pre `metrics` outlives the port
store::port counted(store::port const& inner, observe::metrics& metrics);

} // namespace caperpath::router

#endif
