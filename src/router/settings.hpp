#ifndef CAPERPATH_SRC_ROUTER_SETTINGS_HPP
#define CAPERPATH_SRC_ROUTER_SETTINGS_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace caperpath::router
{

/// Settings of one router process. Immutable value.
struct settings
{
    std::string vm;
    failure_domain_id failure_domain;
    std::string listen;     ///< "IP:port", port 0: any free one
    std::string platform;   ///< "IP:port" of the platform's service
    std::string spans_file; ///< empty: no spans are written
    duration config_poll{1'000};
    duration load_poll{1'000};
    /// Interval between ledger writes while a caller waits for its bill.
    duration settle_interval{100};
    /// Interval between ledger writes while no caller waits.
    duration deferred_settle_interval{2'000};
    /// Interval between searches for dead routers whose shares can be
    /// recovered.
    duration recovery_interval{10'000};
    /// How long a VM must be missing from the platform's list to count as
    /// destroyed; must exceed the lag of that list.
    duration vm_list_lag{30'000};
    /// How long the balancer keeps sending new callers after `/readyz` reports
    /// not ready.
    duration balancer_lag{2'000};
    /// Maximum time that a planned stop waits for open responses.
    duration drain_bound{120'000};
    /// A caller that sends nothing for this long is disconnected.
    duration read_timeout{10'000};
    std::size_t max_connections{1'200};
    std::size_t max_body_bytes{4 * 1024 * 1024};

    friend bool operator==(settings const&, settings const&) = default;
};

/// Reads the settings and adds a fault for each invalid one. Thread safe.
settings read_settings(nlohmann::json const& value,
                       std::vector<config::fault>& faults);

} // namespace caperpath::router

#endif
