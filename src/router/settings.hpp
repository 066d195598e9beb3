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
    /// Between two ledger writes while a caller waits for its bill.
    duration settle_interval{100};
    /// The same while nobody waits.
    duration deferred_settle_interval{2'000};
    /// Between two looks for dead routers whose shares can be taken back.
    duration recovery_interval{10'000};
    /// How long a VM must be missing from the platform's list to count as
    /// destroyed; longer than that list can lag.
    duration vm_list_lag{30'000};
    /// How long the balancer goes on sending new callers after `/readyz` has
    /// said no.
    duration balancer_lag{2'000};
    /// The longest that a planned stop waits for open answers.
    duration drain_bound{120'000};
    /// A caller that sends nothing for so long is disconnected.
    duration read_timeout{10'000};
    std::size_t max_connections{1'200};
    std::size_t max_body_bytes{4 * 1024 * 1024};

    friend bool operator==(settings const&, settings const&) = default;
};

/// Thread safe. Reads the settings and adds a fault for each that is wrong.
settings read_settings(nlohmann::json const& value,
                       std::vector<config::fault>& faults);

} // namespace caperpath::router

#endif
