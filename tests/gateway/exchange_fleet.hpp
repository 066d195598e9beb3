#ifndef CAPERPATH_TESTS_GATEWAY_EXCHANGE_FLEET_HPP
#define CAPERPATH_TESTS_GATEWAY_EXCHANGE_FLEET_HPP

#include "gateway/token_exchange.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// Many routers' token exchanges over shares in memory and a network in
/// simulated time. What a router may take out of its share it may take at once.
/// Test code; not thread safe.
class exchange_fleet
{
public:
    /// What a router has of each budget, and what its callers wait for.
    struct share_of_router
    {
        token_count free{};
        token_count lacking{};
        token_count spent{};
        token_count target{};
        bool draws_alone{false};
        std::optional<duration> refused;
    };

    struct router
    {
        std::string address;
        std::map<budget_id, share_of_router> shares;
        std::unique_ptr<token_exchange> exchange;
        int life{1};
        std::size_t sent{}; ///< datagrams
        std::size_t bytes{};
    };

    exchange_fleet(std::size_t routers,
                   std::map<budget_id, token_count> const& paid);
    ~exchange_fleet();

    /// Time passes in steps of a tick, with all datagrams that fall due.
    void run(duration span);

    /// A caller waits for `tokens`; true once they are there, within `wait`.
    bool ask(std::size_t router, budget_id const& budget, token_count tokens,
             duration wait = duration{250});

    /// Another process takes the router's place, with nothing in its share.
    void restart(std::size_t router);

    /// The index of the budget's first coordinator.
    std::size_t coordinator(budget_id const& budget);

    /// Datagrams of these routers are lost from now on.
    std::set<std::size_t> cut;

    /// Each n-th datagram is lost; 0: none.
    std::size_t loses_each{};

    std::vector<router> routers;
    /// In the budget rows.
    std::map<budget_id, token_count> left;
    std::map<budget_id, token_count> paid;
    instant now{1'000'000};

private:
    struct datagram
    {
        instant due{};
        std::size_t from{};
        std::string to;
        std::string bytes;
    };

    /// Tokens for another router that are not there yet.
    struct waiting_take
    {
        std::size_t router{};
        budget_id budget;
        token_count tokens{};
        instant until{};
        std::function<void(bool)> done;
    };

    std::map<std::string, incarnation_id> live() const;
    void start(std::size_t router);
    share_access access_of(std::size_t router);
    bool take_now(waiting_take const& one);
    void settle_takes();
    void send(std::size_t from, std::string const& to,
              std::string const& bytes);
    void deliver_due();

    boost::asio::io_context loop;
    int null;
    std::unique_ptr<decision_log> log;
    std::deque<datagram> wire;
    std::vector<waiting_take> takes;
    std::map<std::string, std::size_t> by_address;
    std::size_t count{};
};

} // namespace caperpath::gateway

#endif
