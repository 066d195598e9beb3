#ifndef CAPERPATH_TESTS_SOAK_SOAK_SITE_HPP
#define CAPERPATH_TESTS_SOAK_SOAK_SITE_HPP

#include "soak/fake_store.hpp"
#include "soak/pause.hpp"
#include "soak/router_process.hpp"
#include "soak/soak_record.hpp"
#include "soak/soak_servers.hpp"

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
    bool keep_logs{false}; ///< also if no guarantee was violated
};

/// Router processes with their store and servers, and the record of what
/// callers saw. Loop thread only.
struct soak_site
{
    explicit soak_site(soak_options const& options);

    void put_configuration();

    /// Returns true once all routers are stopped for the last time.
    bool over() const;

    soak_options const options;
    asio::io_context loop;
    soak_record record;
    fake_store store;
    std::deque<soak_server> servers;
    std::vector<std::unique_ptr<router_process>> routers;
    std::int64_t configuration{};
    std::chrono::steady_clock::time_point end;
    int series_left{};  ///< restart series that are not finished
    int callers_left{}; ///< that are still active
};

/// Restarts one router until the soak time is over.
asio::awaitable<void> restart_repeatedly(soak_site& site, int number);

/// Makes the store unreachable for random periods.
asio::awaitable<void> interrupt_store(soak_site& site);

/// Sends requests until the soak is over.
asio::awaitable<void> call_routers(soak_site& site, int number);

} // namespace caperpath::soak

#endif
