#ifndef CAPERPATH_TESTS_SOAK_SOAK_SITE_HPP
#define CAPERPATH_TESTS_SOAK_SOAK_SITE_HPP

#include "soak/pause.hpp"
#include "soak/router_process.hpp"
#include "soak/soak_record.hpp"
#include "soak/soak_servers.hpp"
#include "soak/store_stand_in.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
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
    bool keep_logs{false}; ///< also when every promise was kept
};

/// Router processes, what they work with, and what was promised. Loop thread
/// only.
struct soak_site
{
    explicit soak_site(soak_options const& options);

    void put_configuration();

    /// True once the routers are stopped for the last time.
    bool over() const;

    soak_options const options;
    asio::io_context loop;
    soak_record record;
    store_stand_in store;
    std::deque<soak_server> servers;
    std::vector<std::unique_ptr<router_process>> routers;
    std::int64_t configuration{};
    std::chrono::steady_clock::time_point end;
    int series_left{};  ///< of routers that will run again
    int callers_left{}; ///< that still wait or send
};

/// Starts and stops one router until the soak is over.
asio::awaitable<void> stop_again_and_again(soak_site& site, int number);

/// Takes the store away and gives it back.
asio::awaitable<void> lose_store(soak_site& site);

/// Sends requests until no router runs any more.
asio::awaitable<void> call_routers(soak_site& site, int number);

} // namespace caperpath::soak

#endif
