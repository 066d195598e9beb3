#ifndef CAPERPATH_FLEET_SERVER_PATH_HPP
#define CAPERPATH_FLEET_SERVER_PATH_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// What a router knows of its network path to a backend server. A connect that
/// fails does not show whether the server is down or the router's own link to
/// it, so a failed path is not a failure of the server. Plain values; functions
/// that depend on time take it as an argument.
namespace caperpath::fleet
{

struct server_table;

/// How a connect to a server ended.
enum class connect_outcome
{
    reached,
    refused, ///< also reset
    silent   ///< no response in time
};

/// A single word, for logs. Thread safe.
std::string_view to_text(connect_outcome outcome);

/// The paths to one server. Value type.
struct server_path
{
    bool direct_failed{false};        ///< the latest direct connect failed
    bool direct_silent{false};        ///< it got no response
    bool relay_failed{false};         ///< no relay reached the server either
    instant connected_at{-1'000'000}; ///< latest direct connect
    instant next_probe{};
    std::int64_t failed_probes{};
    /// Oldest direct send since which no bytes came from the server; 0 if none.
    instant unanswered_since{};
    instant heard_at{-1'000'000}; ///< latest bytes from the server

    friend bool operator==(server_path const&, server_path const&) = default;
};

/// Records a direct connect that was started at `began`. A failure that is
/// older than a later success is ignored. Thread safe.
server_path note_direct(server_path path, connect_outcome outcome,
                        instant began, instant now);

/// Records a request sent over a direct connection. Thread safe.
server_path note_sent(server_path path, instant now);

/// Records bytes received over a direct connection. Thread safe.
server_path note_heard(server_path path, instant now);

/// Records whether a relay reached the server. Thread safe.
server_path note_relay(server_path path, bool reached);

/// True if a request can be sent to the server, directly or through a relay.
/// Thread safe.
bool is_reachable(server_path const& path);

/// The paths to the servers of one service that take new requests. Immutable
/// value.
struct service_reach
{
    std::int64_t servers{};
    std::int64_t direct{};  ///< reachable without a relay
    std::int64_t relayed{}; ///< reachable through a relay only

    friend bool operator==(service_reach const&,
                           service_reach const&) = default;
};

/// Thread safe.
service_reach reach_of(server_table const& table, service_id const& service,
                       instant now);

/// The same for all services that have servers. Thread safe.
std::map<service_id, service_reach> reach_by_service(server_table const& table,
                                                     instant now);

/// True if this router has lost its own path to all servers of the service.
/// Thread safe.
bool is_cut_off(service_reach const& reach);

/// At most `most` servers whose failed direct path is to be probed `now`, the
/// longest overdue first; they become due again after their interval. Thread
/// safe.
std::vector<backend_server_id> take_due_probes(server_table& table, instant now,
                                               std::size_t most);

/// At most `most` servers to probe because requests sent to them may be lost on
/// the network: nothing came from any server of their service for
/// `silence_to_probe`, and a request to them is that old. They become due again
/// after `longest_probe_interval`. Thread safe.
std::vector<backend_server_id> take_suspects(server_table& table, instant now,
                                             std::size_t most);

/// The server other than `except` whose direct path worked last and has not
/// failed since: of `service` if that has others, else of any. Thread safe.
std::optional<backend_server_id> another_server(server_table const& table,
                                                backend_server_id const& except,
                                                service_id const& service,
                                                instant now);

/// Longer than a server with free slots takes to respond, and shorter than a
/// caller waits.
inline constexpr duration silence_to_probe{200};

/// Interval of the probes of a failed path; doubles from the first to the
/// longest.
inline constexpr duration first_probe_interval{250};
inline constexpr duration longest_probe_interval{1'000};

} // namespace caperpath::fleet

#endif
