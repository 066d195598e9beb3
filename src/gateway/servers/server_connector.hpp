#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_CONNECTOR_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_CONNECTOR_HPP

#include "gateway/decision_log.hpp"
#include "gateway/relays/relay_client.hpp"
#include "gateway/servers/server_pool.hpp"
#include "gateway/servers/timed_connect.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/uplink.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace caperpath::gateway
{

/// A connection to a server.
struct server_link
{
    connection_ptr connection; ///< null if there is none
    /// The router that relays the connection; empty if it is direct. A relayed
    /// connection carries one request.
    std::string relay;
    std::shared_ptr<void> relay_use; ///< keeps the use of the relay counted
};

/// Whether the process of a server still listens.
enum class server_presence
{
    running,
    gone,
    unknown ///< nobody with a working path could tell
};

/// A single word, for logs. Thread safe.
std::string_view to_text(server_presence presence);

/// How a request may be relayed.
struct relay_terms
{
    bool allowed{true};
    bool outlasts_silence{false}; ///< see `relay_request`
};

/// Connects to backend servers: over an idle connection, directly, or through
/// another router while the direct path has failed. Keeps the paths in the
/// server table up to date. Loop thread only; outlives its calls, and all
/// arguments of the constructor outlive it.
class server_connector
{
public:
    server_connector(asio::any_io_executor const& executor,
                     fleet::server_table& servers, server_pool& pool,
                     relay_client& relays, fleet::uplink& uplink,
                     decision_log& log);

    /// Connects to `server`, over a connection idle for at most `max_idle` if
    /// there is one. Takes at most `longest`, and at most `connect_limit`. If
    /// the direct path does not respond soon, a relay is tried beside it as
    /// `terms` allow.
    asio::awaitable<server_link> connect(backend_server_id const& server,
                                         duration max_idle, duration longest,
                                         relay_terms terms);

    /// Connects directly and records the result, also that of a failure.
    asio::awaitable<connect_result>
    connect_directly(backend_server_id const& server, duration limit);

    /// True if another server was reached since `since`, or can be reached: one
    /// of the same service as `server` if there are others. Distinguishes a
    /// failure of `server` from one of this router's link.
    asio::awaitable<bool> reaches_others(backend_server_id const& server,
                                         instant since);

    /// Finds out whether `server` runs. That its address refuses connections
    /// here proves nothing while other routers exist: this router's own link
    /// may refuse them. Then a router whose other paths work has to see the
    /// same.
    asio::awaitable<server_presence> find_out(backend_server_id const& server);

    /// Starts the probes that are due: of failed paths, and of paths on which
    /// requests may be lost.
    void probe_paths();

private:
    struct race;

    asio::awaitable<void> race_directly(std::shared_ptr<race> shared,
                                        duration limit);
    asio::awaitable<void> race_through_relay(std::shared_ptr<race> shared);
    asio::awaitable<void> probe(backend_server_id server);
    asio::awaitable<relayed_connection> relay(relay_request request);
    void record(backend_server_id const& server, fleet::connect_outcome outcome,
                instant began);
    void relays_missing(backend_server_id const& server);
    void log_path(backend_server_id const& server, std::string_view path,
                  std::string_view state);
    fleet::server* find(backend_server_id const& server);

    asio::any_io_executor executor;
    fleet::server_table& servers;
    server_pool& pool;
    relay_client& relays;
    fleet::uplink& uplink;
    decision_log& log;
    caperpath::clock now{caperpath::clock::monotonic()};
};

/// Servers accept a connection within milliseconds. If the first packet is
/// lost, the kernel resends it only after a second, so trying another server is
/// faster.
inline constexpr duration connect_timeout{250};
/// From here on a relay is tried beside a direct connect. Longer than a busy
/// router or server delays a connect.
inline constexpr duration relay_delay{100};
inline constexpr duration connect_limit{500};

} // namespace caperpath::gateway

#endif
