#ifndef CAPERPATH_TESTS_SOAK_SOAK_SITE_HPP
#define CAPERPATH_TESTS_SOAK_SOAK_SITE_HPP

#include "soak/fake_store.hpp"
#include "soak/pause.hpp"
#include "soak/router_process.hpp"
#include "soak/server_link.hpp"
#include "soak/server_notices.hpp"
#include "soak/soak_record.hpp"
#include "soak/soak_servers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace caperpath::soak
{

struct soak_options
{
    std::uint64_t seed{};
    std::chrono::seconds time{};
    int routers{};
    int callers{};
    std::string gateway; ///< the binary's path
    std::filesystem::path folder;
    bool keep_logs{false}; ///< also if no guarantee was violated
    /// Routers lose their paths to servers, and restart less often.
    bool partitions{false};
    /// Some prompts have a part that crashes engines, of which there are more.
    bool fatal_parts{false};
    /// Most callers go to one router for some seconds, then to another one;
    /// some of them leave early. Store and servers keep running, and there are
    /// more engines.
    bool herds{false};
    /// With `herds`: the process of the router with most callers runs only
    /// part of the time.
    bool slow_routers{false};
    /// Servers leave, ask for rests and fall over under rejections.
    bool notices{false};
    /// Large configurations in quick series beside long streams, silent paths
    /// and callers, and killed routers. Servers never break off, and routers
    /// stop only at the end.
    bool configurations{false};
    /// Of a router's path to the store and to all servers; 0: not limited.
    double link_bytes_per_ms{0};
    int longest_uptime_ms{3'500}; ///< of a router between two stops
    int longest_time_ms{8'000};   ///< that a caller waits
};

/// Where most callers go.
struct caller_herd
{
    int router{-1};              ///< -1: to any router
    std::int64_t changed_at{-1}; ///< ms of the record; -1 before the first
};

/// Crashes of engines under a part of prompts.
struct crash_count
{
    int count{};
    int late{}; ///< after routers had time to notice the first ones
    std::chrono::steady_clock::time_point noticed_from{};
};

/// Whether a router has its paths to all servers of a service.
struct path_state
{
    std::int64_t cut_at{-1};     ///< ms of the record; -1 unless cut now
    std::int64_t changed_at{-1}; ///< latest cut or restoration
};

/// Whether paths of a router deliver nothing.
struct path_silence
{
    int open{};                ///< silences that last
    std::int64_t ended_ms{-1}; ///< the latest end; ms of the record
};

/// A stream that did not end with its last event although there was time.
struct stream_end
{
    std::string id;
    int router{};
    int status{};            ///< 0 if no response head was received
    std::int64_t ended_ms{}; ///< of the record
    std::string seen;        ///< the status, or how the connection ended
    bool beside_kill{false}; ///< a router was killed while it was open
    bool may_reject{false};  ///< the router has just started, or a silent path
};

/// Router processes with their store and servers, and the record of what
/// callers saw. Loop thread only.
struct soak_site
{
    static constexpr int app_servers = 3; ///< the first ones; then engines

    explicit soak_site(soak_options const& options);

    void put_configuration();

    /// Lists a server under a new id, as one that has started.
    void list_server(std::size_t number);

    /// The id under which a server was listed last.
    std::string const& server_id(std::size_t number) const;

    /// Returns true once all routers are stopped for the last time.
    bool over() const;

    soak_options const options;
    asio::io_context loop;
    soak_record record;
    fake_store store;
    std::deque<soak_server> servers;
    std::vector<std::unique_ptr<router_process>> routers;
    std::int64_t configuration{};
    int extra_routes{}; ///< in configurations that are put from now on
    std::chrono::steady_clock::time_point end;
    int series_left{};  ///< restart series that are not finished
    int callers_left{}; ///< that are still active
    crash_count fatal_crashes;
    caller_herd herd;
    site_notices notices; ///< only with the option of this name

    std::vector<path_silence> silences; ///< by router
    std::int64_t last_kill_ms{-1};      ///< of any router; ms of the record
    std::vector<stream_end> stream_ends;

    /// With `partitions`, `configurations` or limited links: by router, a link
    /// to each server, and the state of its paths by service.
    std::vector<std::vector<std::unique_ptr<server_link>>> links;
    std::vector<std::map<std::string, path_state>> paths;
    /// With `configurations` or limited links: by router, one to the store.
    std::vector<std::unique_ptr<server_link>> store_links;

private:
    /// Returns the address of the store for a router.
    std::string add_links();

    int starts{}; ///< of servers; part of their ids
    std::vector<std::string> server_ids;
};

/// True if the router has had time to learn of the others, so that a load
/// balancer would send callers to it.
bool is_settled(soak_site const& site, router_process const& router);

/// Sends most callers to one router after the other.
asio::awaitable<void> herd_callers(soak_site& site);

/// Gives the process of the router with most callers a part of the time.
asio::awaitable<void> slow_down_routers(soak_site& site);

/// Counts how a request that `router` has read ended, by whether most callers
/// go there.
void count_herd_attempt(soak_site& site, int router, std::int64_t began_ms,
                        bool served);

/// Reports a violation if callers were served much less often at the router to
/// which most of them went.
void check_herds(soak_site& site);

/// An engine crashes under a part of a prompt; it comes back under a new id.
/// Reports a violation if routers had time to notice earlier ones.
void crash_server(soak_site& site, std::size_t number);

/// Reports a violation if a prompt without the fatal part was rejected as one
/// that crashes servers.
void check_prompt(soak_site& site, std::string const& id, bool fatal,
                  int status, int retry_after_s);

/// Reports a violation if no fatal prompt was rejected, as such a run proves
/// nothing.
void check_fatal_prompts(soak_site& site);

/// Cuts paths of routers to servers in series, until the soak time is over.
asio::awaitable<void> partition_routers(soak_site& site, int series);

/// Counts how a first attempt at `router` ended, by whether the router had its
/// paths all the time or was cut off all the time.
void count_first_attempt(soak_site& site, int router,
                         std::string const& service, std::int64_t began_ms,
                         bool served);

/// Reports a violation if routers without a path served their callers' first
/// attempts less often than the others.
void check_partitioned_routers(soak_site& site);

/// Restarts one router until the soak time is over.
asio::awaitable<void> restart_repeatedly(soak_site& site, int number);

/// Puts series of configurations, some of them large, until the soak time is
/// over.
asio::awaitable<void> change_configurations(soak_site& site);

/// Routes and keys of `customers` customers, with which a configuration has the
/// size of a large site's; for `soak_site::put_configuration`.
std::string more_routes(int count);
std::string more_customers(int count);

/// Kills routers one after the other while a configuration comes into force,
/// and starts them again.
asio::awaitable<void> kill_routers(soak_site& site);

/// Lets paths of routers to servers and to the store deliver nothing for
/// seconds, one after the other, until the soak time is over.
asio::awaitable<void> silence_paths(soak_site& site, int series);

/// True if a path of the router was silent at some time since then.
bool was_silent(soak_site const& site, int router, std::int64_t since_ms);

/// Notes a stream of reliable servers that did not end with its last event
/// although its caller waited.
void note_stream_end(soak_site& site, std::string const& id,
                     request_outcome const& how, int router,
                     std::int64_t began_ms, int timeout_ms);

/// Counts such streams by what their routers' logs say of them, and reports a
/// violation unless each one was rejected as it may be.
/// @pre the routers have ended.
void check_streams(soak_site& site);

/// Makes the store unreachable for random periods.
asio::awaitable<void> interrupt_store(soak_site& site);

/// Kills and restarts servers one after the other until the soak is over.
asio::awaitable<void> restart_servers(soak_site& site);

/// Sends requests until the soak is over.
asio::awaitable<void> call_routers(soak_site& site, int number);

} // namespace caperpath::soak

#endif
