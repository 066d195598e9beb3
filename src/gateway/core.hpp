#ifndef CAPERPATH_SRC_GATEWAY_CORE_HPP
#define CAPERPATH_SRC_GATEWAY_CORE_HPP

#include "gateway/budgets/budget_share_manager.hpp"
#include "gateway/connection.hpp"
#include "gateway/crashes/crash_check.hpp"
#include "gateway/crashes/crash_tracker.hpp"
#include "gateway/crashes/crash_watch.hpp"
#include "gateway/crashes/probation_limiter.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/followers/membership_tracker.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/peer_socket.hpp"
#include "gateway/protocol_adapter.hpp"
#include "gateway/relays/relay_client.hpp"
#include "gateway/requests/stream_version_exchange.hpp"
#include "gateway/servers/rejection_limiter.hpp"
#include "gateway/servers/send_limiter.hpp"
#include "gateway/servers/server_connector.hpp"
#include "gateway/servers/server_pool.hpp"
#include "gateway/settings.hpp"
#include "gateway/waker.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/loop_delay.hpp>
#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/retry_window.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/service_times.hpp>
#include <caperpath/fleet/shutdown.hpp>
#include <caperpath/fleet/site.hpp>
#include <caperpath/fleet/uplink.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caperpath::gateway
{

struct exchange;

/// The state that all requests of the process share. Loop thread only.
struct core
{
    core(asio::any_io_executor const& loop, settings const& settings,
         protocol_adapter adapter, store::async_port const& store,
         incarnation_id incarnation, int log_descriptor);

    /// Sends datagrams to all other routers.
    void send_to_routers(std::vector<std::string> const& datagrams);

    asio::any_io_executor loop;
    gateway::settings const settings;
    std::string const peer_address; ///< "IP:port" for other routers
    protocol_adapter const adapter;
    store::async_port const store_port; ///< its calls do not throw
    caperpath::clock const now{caperpath::clock::monotonic()};
    /// For the retry limit: includes time in suspend, so that the limit of the
    /// fleet holds in real time.
    caperpath::clock const boot_time{caperpath::clock::boot()};

    decision_log log;
    gateway_metrics metrics;
    loop_delay delay; ///< of the event loop
    /// See `kernel_tells_packet_times`.
    bool packet_times_known{false};
    std::shared_ptr<fleet::site const> site; ///< null until first read
    fleet::server_table servers;
    bool servers_listed{false};
    std::uint64_t evacuations_version{}; ///< of the store's table
    /// When the parts of the bounds on cold servers were assigned last.
    instant cold_shares_at{-1'000'000};
    fleet::prefix_history prompts; ///< shared prompt prefixes by server
    fleet::engine_speed speed;
    fleet::retry_window retries;
    peer_socket peers;
    membership_tracker membership;
    budget_share_manager budgets;
    fleet::uplink uplink;
    server_pool pool;
    relay_client relays;
    server_connector connector;
    /// Number of connections that this router relays for others. Shared with
    /// their sessions, which may outlive this object.
    std::shared_ptr<std::int64_t> relayed{std::make_shared<std::int64_t>(0)};
    crash_tracker crashes;
    crash_check crash_checks;
    std::vector<crash_watch> crash_watches;
    stream_version_exchange streams;
    send_limiter send_limits;
    rejection_limiter rejections;
    probation_limiter probations;
    /// By server: open sends of requests that were running on a server when it
    /// crashed.
    std::map<backend_server_id, std::int64_t> suspects_by_server;
    std::optional<fleet::shutdown_schedule> stop; ///< set during a planned stop
    /// When tokens were last given back to the store in a planned stop: at its
    /// begin, and again as each reservation ends. Empty before.
    std::optional<instant> returning_since;
    std::int64_t taken_while_stopping{}; ///< requests read since `stop`
    /// The planned stop is at its end: nothing is accepted or begun any more.
    bool closing_connections{false};
    std::set<waker*> sessions;     ///< wakers, one per caller connection
    std::set<connection*> callers; ///< their connections
    std::set<connection const*> idle_callers; ///< connections without a request
    std::set<exchange*> open_requests;
    fleet::service_times service_times;
    std::size_t buffered_bytes{}; ///< of responses, read and not passed on yet
    std::uint64_t reservations{}; ///< reservations so far; numbers their ids
};

} // namespace caperpath::gateway

#endif
