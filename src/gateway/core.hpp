#ifndef CAPERPATH_SRC_GATEWAY_CORE_HPP
#define CAPERPATH_SRC_GATEWAY_CORE_HPP

#include "gateway/budget_book.hpp"
#include "gateway/connection.hpp"
#include "gateway/crash_check.hpp"
#include "gateway/crash_keeper.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/dialect.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/peer_link.hpp"
#include "gateway/roster_keeper.hpp"
#include "gateway/server_pool.hpp"
#include "gateway/settings.hpp"
#include "gateway/waker.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/own_link.hpp>
#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/retry_window.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/service_times.hpp>
#include <caperpath/fleet/shutdown.hpp>
#include <caperpath/fleet/site.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace caperpath::gateway
{

struct exchange;

/// What all requests of one process share. Loop thread only.
struct core
{
    core(asio::any_io_executor const& loop, settings const& settings,
         dialect names, store::async_port const& store,
         incarnation_id incarnation, int log_descriptor);

    asio::any_io_executor loop;
    gateway::settings const settings;
    dialect const names;
    caperpath::clock const now{caperpath::clock::monotonic()};
    /// For the limit on repeats, whose windows others share.
    caperpath::clock const boot_time{caperpath::clock::boot()};

    decision_log log;
    gateway_metrics metrics;
    std::shared_ptr<fleet::site const> site; ///< null until one is known
    fleet::server_table servers;
    bool servers_listed{false};
    fleet::prompt_memory prompts;
    fleet::engine_speed speed;
    fleet::retry_window repeats;
    peer_link peers;
    roster_keeper roster;
    budget_book budgets;
    fleet::own_link link;
    server_pool pool;
    crash_keeper crashes;
    crash_check crash_checks;
    std::set<fleet::fingerprint> on_probation; ///< under way here
    /// Open sends of requests that were at a crash.
    std::map<backend_server_id, std::int64_t> suspects_at;
    std::optional<fleet::shutdown_schedule> stop; ///< a planned one
    /// Shares are being given back, which needs all reservations to end.
    std::optional<instant> returning_since;
    std::int64_t taken_while_stopping{};      ///< requests
    std::set<waker*> sessions;                ///< one for each connection
    std::set<connection const*> idle_callers; ///< no request has begun
    std::set<exchange*> open_requests;
    fleet::service_times service_times;
    std::uint64_t requests{}; ///< numbers reservations
};

} // namespace caperpath::gateway

#endif
