#ifndef CAPERPATH_SRC_GATEWAY_SETTINGS_HPP
#define CAPERPATH_SRC_GATEWAY_SETTINGS_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/json_reader.hpp>
#include <caperpath/fleet/residency.hpp>
#include <caperpath/fleet/retry_window.hpp>
#include <caperpath/fleet/warm_up.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// Settings of `caperpath-gateway`. Immutable value.
struct settings
{
    std::string vm;
    std::string failure_domain;
    std::string callers;       ///< "IP:port" where callers connect
    std::string readiness;     ///< "IP:port" of the readiness check
    std::string metrics;       ///< "IP:port" of the metrics page
    std::string store_address; ///< "IP:port"
    /// Write calls that the store takes from all routers together.
    std::int64_t store_writes_per_s{500};
    std::int64_t first_peer_port{}; ///< for messages between routers
    std::int64_t last_peer_port{};  ///< read, but not used by the router
    duration grace{8'000};          ///< from SIGTERM to SIGKILL
    fleet::retry_limit retries;
    fleet::warm_up_tolerance warm_up;
    region_id region;          ///< of this router; empty if unknown
    fleet::region_map regions; ///< of all failure domains

    friend bool operator==(settings const&, settings const&) = default;
};

/// Reads the settings and appends each error in `value` to `faults`. Thread
/// safe.
settings read_settings(nlohmann::json const& value,
                       std::vector<config::fault>& faults);

} // namespace caperpath::gateway

#endif
