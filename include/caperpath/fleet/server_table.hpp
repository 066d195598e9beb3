#ifndef CAPERPATH_FLEET_SERVER_TABLE_HPP
#define CAPERPATH_FLEET_SERVER_TABLE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/residency.hpp>
#include <caperpath/fleet/server_notices.hpp>
#include <caperpath/fleet/server_path.hpp>
#include <caperpath/fleet/warm_up.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// The backend servers as one router knows them: their entries in the store,
/// and the results of the router's own requests. Plain values; functions that
/// depend on time take it as an argument.
namespace caperpath::fleet
{

/// A server's own entry in the store. Immutable value.
struct server_entry
{
    backend_server_id id;
    service_id service;
    std::string address; ///< "IP:port"
    failure_domain_id failure_domain;
    /// Of its software; empty if unknown. A stream that one version began
    /// cannot go on at another.
    std::string version;
    std::int64_t slots{1};
    bool draining{false};
    std::int64_t born_ms{}; ///< Unix time of its start; 0 if unknown
    duration warm_up_left{};

    friend bool operator==(server_entry const&, server_entry const&) = default;
};

/// The load that a server reports in a response. It counts the requests of all
/// routers at the time of the response.
struct load_report
{
    std::int64_t running{};
    std::int64_t waiting{};
    std::int64_t slots{};

    friend bool operator==(load_report const&, load_report const&) = default;
};

/// The work that one router's requests put on a server.
struct server_work
{
    std::int64_t open{};     ///< requests sent and not yet finished
    token_count unread{};    ///< prompt tokens of those without a first event
    token_count in_memory{}; ///< prompt and output tokens of all open ones

    friend bool operator==(server_work const&, server_work const&) = default;
};

/// One server with everything the router knows about it.
struct server
{
    server_entry entry;
    server_work own;
    load_report report;
    instant reported_at{-1'000'000};
    std::int64_t failures{}; ///< in a row
    instant set_aside_until{};
    double slowness{1.0}; ///< measured / expected time, smoothed
    instant listed_at{};
    /// Set once the entry is missing from the store. The server counts as gone
    /// from this time on; before, the entry may have lapsed only because of an
    /// outage of the store.
    std::optional<instant> gone_from;
    server_path path;
    server_notices notices; ///< in its responses
    /// When its limit lets the next request of this router in, as last heard.
    instant next_send{-1'000'000};
    region_id region;               ///< empty if unknown
    bool evacuated{false};          ///< its failure domain is
    instant cold_until{-1'000'000}; ///< it warms up until then
    bool bounded_while_cold{false}; ///< its service has a `warm_up_limit`
    cold_sends while_cold;
    /// The store says that streams may begin at the version of its software.
    bool version_confirmed{false};

    friend bool operator==(server const&, server const&) = default;
};

/// All servers by id.
struct server_table
{
    std::map<backend_server_id, server> servers;
    /// The end of the latest outage of the store. Entries that lapsed in the
    /// outage may return shortly after.
    std::optional<instant> store_back_at;
    bool store_reachable{true};
    region_map regions;
    std::map<service_id, warm_up_limit> warm_ups;
    warm_up_tolerance warm_up_bounds;
    std::int64_t routers{1};               ///< in the fleet
    std::uint64_t router_salt{};           ///< differs between routers
    std::set<failure_domain_id> evacuated; ///< their servers get no requests

    friend bool operator==(server_table const&, server_table const&) = default;
};

/// Adds or updates an entry read from the store. The same id with another
/// `born_ms`, address or version is another process: measurements of the
/// previous one are discarded. Returns true if the process was not known
/// before. Thread safe.
bool list_server(server_table& table, server_entry const& entry, instant now);

/// Records that the entry is missing from the store. Right after an outage of
/// the store it is kept until `entry_return_time` after the store's return,
/// since live servers write it again; at any other time the server counts as
/// draining from now on. Thread safe.
void unlist_server(server_table& table, backend_server_id const& id,
                   instant now);

/// Replaces all entries by a complete list; entries that are not in it are
/// unlisted. Returns the new servers. Thread safe.
std::vector<backend_server_id>
replace_servers(server_table& table, std::vector<server_entry> const& entries,
                instant now);

/// Records whether the store responded to a call. Thread safe.
void note_store(server_table& table, bool reachable, instant now);

/// Removes servers that count as gone and have no open request. Returns their
/// ids. One that said that it leaves is kept for `leaving_memory`: its entry
/// may lapse and return. Thread safe.
std::vector<backend_server_id> sweep_servers(server_table& table, instant now);

/// Sets the failure domains whose servers get no requests. Servers of one that
/// is given back may have become cold meanwhile and count as cold for the whole
/// time that a warm-up lasts. Thread safe.
void set_evacuated(server_table& table, std::set<failure_domain_id> evacuated,
                   instant now);

/// Sets the limits of services on their cold servers. Thread safe.
void set_warm_ups(server_table& table,
                  std::map<service_id, warm_up_limit> warm_ups);

/// Records that the server stays cold for `left`. Thread safe.
void note_cold(server& target, duration left, instant now);

/// Records that connections to the server broke or failed and may work again
/// later. One whose id survives restarts may be another process by then, and
/// the store may not tell in time, so it counts as cold for a whole warm-up.
/// Thread safe.
void note_possible_restart(server_table& table, backend_server_id const& id,
                           instant now);

/// True if the server is cold and the rate of requests to it is bounded. Thread
/// safe.
bool is_cold(server const& target, instant now);

/// Sets the parts of the bounds on cold servers that the router `self` has.
/// Thread safe.
void assign_cold_shares(server_table& table,
                        std::vector<std::string> const& routers,
                        std::string const& self, instant now);

/// True if no request may be sent to the server: it is draining or evacuated,
/// it rests, or it is cold and this router has used up its part. Thread safe.
bool is_closed(server const& target, instant now);

/// True if new requests may be sent to the server, as far as its state and its
/// paths tell. Thread safe.
bool usable(server const& target, instant now);

/// True if the server takes no new requests: it says so in its entry or in its
/// responses, or its entry is gone.
bool is_draining(server const& target, instant now);

/// Records a failure caused by the server. After `failures_to_set_aside` in a
/// row the server gets no requests for a time that doubles with each further
/// such series, up to `longest_set_aside`. A `decisive` failure (connection
/// refused or no response) counts as a whole series. Thread safe.
void note_failure(server& target, bool decisive, instant now);

/// Records that another server responded at its address: this one has ended and
/// gets no more requests, even if the store cannot be read. Thread safe.
void note_replaced(server& target, instant now);

/// Records a success: the response began `took` after the request was sent, and
/// `expected` was the estimate. Thread safe.
void note_success(server& target, duration took, duration expected);

/// Entries that lapsed in an outage of the store return within about two
/// seconds of its end; this adds a margin.
inline constexpr duration entry_return_time{2'200};

/// Longer than an outage of the store and the time that a server takes to
/// leave.
inline constexpr duration leaving_memory{60'000};

inline constexpr std::int64_t failures_to_set_aside = 3;
inline constexpr duration first_set_aside{400};
inline constexpr duration longest_set_aside{3'000};
/// Longer than an outage of the store; after that time the entry is gone.
inline constexpr duration replaced_set_aside{20'000};

} // namespace caperpath::fleet

#endif
