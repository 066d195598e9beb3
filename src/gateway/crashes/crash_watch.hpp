#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_WATCH_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_WATCH_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/crash_cause.hpp>
#include <caperpath/fleet/crash_record.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace caperpath::gateway
{

/// A request whose connection to a server was lost, while a probe did not show
/// that the server crashed: it may have restarted before the probe, or may not
/// respond at all.
struct crash_watch
{
    backend_server_id server;
    std::int64_t born_ms{}; ///< of the process that got the request
    instant lost_at{};
    fleet::fingerprint request{};
    fleet::crash_evidence known; ///< at the send
    fleet::server_crash crash;   ///< with the suspects of this request
    std::vector<log_field> details;
};

/// The entry of a server that has ended changes or lapses within this time.
inline constexpr duration crash_watch_time{8'000};
inline constexpr std::size_t most_crash_watches = 512;

} // namespace caperpath::gateway

#endif
