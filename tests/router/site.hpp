#ifndef CAPERPATH_TESTS_ROUTER_SITE_HPP
#define CAPERPATH_TESTS_ROUTER_SITE_HPP

#include "router/router.hpp"
#include "stand_in/engine.hpp"
#include "stand_in/service.hpp"
#include "store/store_emulator.hpp"

#include <caperpath/budget/bill.hpp>
#include <caperpath/store/table.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperpath::tests
{

/// Router settings that a test may override.
struct router_limits
{
    duration drain_bound{20'000};
};

/// A small installation in one process, on free ports: the platform, two model
/// engines, a plain service and routers, with one customer per budget policy.
class site
{
public:
    explicit site(std::size_t routers = 1,
                  stand_in::engine_settings const& engine = fast_engine(),
                  duration request_timeout = {20'000},
                  router_limits const& limits = {});
    ~site();

    site(site const&) = delete;
    site& operator=(site const&) = delete;

    /// Settings of an engine with 1 ms per token, to keep the tests short.
    static stand_in::engine_settings fast_engine();

    std::string router_address(std::size_t index) const;
    std::string engine_address(std::size_t index) const;
    std::string service_address() const;
    std::string platform_address() const;

    /// The customers' keys; each budget starts with `paid` tokens.
    static constexpr token_count paid = 20'000;
    std::string const& key() const;       ///< each bill is settled at once
    std::string const& other_key() const; ///< bills are settled later

    /// Direct access to the platform's store.
    store::port const& store() const;

    /// Returns the bills of all holders in the ledger.
    std::vector<budget::bill> ledger() const;

    /// Blocks until the ledger holds at least `count` bills with a cost above
    /// zero. Returns false if there are more, or on timeout.
    bool wait_for_bills(std::size_t count) const;

    /// Stops a router by a planned stop.
    router::stop_report stop_router(std::size_t index);

    /// Disconnects a router from the platform. The other routers consider it
    /// dead once `prove_dead` was called.
    void crash_router(std::size_t index);
    void prove_dead(std::size_t index);

    /// Returns how often the service ran the request with this id, or any.
    std::int64_t executions(std::string const& id) const;
    std::int64_t executions() const;

    /// Returns an engine's counters from its `/stats`.
    nlohmann::json engine_stats(std::size_t index) const;

    /// Stops the service permanently: connections to it are refused.
    void stop_service();

    /// Sends a command to an engine, such as to drain.
    void command_engine(std::size_t index, std::string const& command);

    /// Clears the faults of an emulator.
    static void clear_faults(std::string const& address);

    /// Posts a fault to an emulator's fault interface.
    static void post_fault(std::string const& address,
                           nlohmann::json const& fault);

private:
    static nlohmann::json get(std::string const& address, char const* path);
    void start_backends(stand_in::engine_settings const& engine);
    void write_configuration();
    void start_router(std::size_t index);
    nlohmann::json configuration();

    std::unique_ptr<store::store_emulator> table;
    std::string table_address;
    store::port port;
    std::vector<std::unique_ptr<stand_in::engine>> engines;
    std::vector<int> engine_ports;
    std::unique_ptr<stand_in::service> orders;
    int orders_port{};
    bool service_stopped{false};
    std::vector<std::unique_ptr<router::router>> routers;
    std::vector<int> router_ports;
    duration request_timeout;
    router_limits limits;
    std::string first_key;
    std::string second_key;
};

} // namespace caperpath::tests

#endif
