#ifndef CAPERPATH_SRC_ROUTER_PLATFORM_ACCESS_HPP
#define CAPERPATH_SRC_ROUTER_PLATFORM_ACCESS_HPP

#include <caperpath/observe/metrics.hpp>
#include <caperpath/store/table.hpp>

#include <atomic>

namespace caperpath::router
{

/// Like `inner` until `cut` is set; then nothing passes and nobody learns what
/// became of a write. Thread safe. @pre `cut` outlives the port
store::port severable(store::port const& inner, std::atomic<bool> const& cut);

/// Like `inner`, and counts the reads and writes, whoever asks. Thread safe.
/// @pre `metrics` outlives the port
store::port counted(store::port const& inner, observe::metrics& metrics);

} // namespace caperpath::router

#endif
