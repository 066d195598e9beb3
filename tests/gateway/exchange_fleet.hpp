#ifndef CAPERPATH_TESTS_GATEWAY_EXCHANGE_FLEET_HPP
#define CAPERPATH_TESTS_GATEWAY_EXCHANGE_FLEET_HPP

#include "gateway/budgets/token_exchange.hpp"

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

/// Token exchanges of many routers, with shares in memory and a network in
/// simulated time. Tokens may be taken from a share without a spend limit. Test
/// code; not thread safe.
class exchange_fleet
{
public:
    /// A router's share of a budget, and what its callers wait for.
    struct share_of_router
    {
        token_count free{};
        token_count lacking{};
        token_count spent{};
        token_count target{};
        bool draws_alone{false};
        std::optional<duration> rejected;
    };

    struct router
    {
        std::string address;
        std::map<budget_id, share_of_router> shares;
        std::unique_ptr<token_exchange> exchange;
        int incarnation_number{1};
        std::size_t sent{}; ///< datagrams
        std::size_t bytes{};
    };

    exchange_fleet(std::size_t routers,
                   std::map<budget_id, token_count> const& paid);
    ~exchange_fleet();

    /// Advances time by `span` and delivers all datagrams that fall due.
    void run(duration span);

    /// Advances time until no datagram is on its way: the tokens in it are in
    /// no share.
    void deliver_all();

    /// A caller waits for `tokens`. Returns true if they arrive within `wait`.
    bool request(std::size_t router, budget_id const& budget,
                 token_count tokens, duration wait = duration{250});

    /// Replaces the router's process by a new one with an empty share.
    void restart(std::size_t router);

    /// Returns the index of the budget's first coordinator.
    std::size_t coordinator(budget_id const& budget);

    /// Routers whose datagrams are lost, in both directions.
    std::set<std::size_t> cut;

    /// Every n-th datagram is lost; 0: none.
    std::size_t loss_interval{};

    std::vector<router> routers;
    /// Ungranted tokens in the budget rows.
    std::map<budget_id, token_count> ungranted;
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

    /// A transfer that waits for tokens.
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
    void settle_waiting_takes();
    void send(std::size_t from, std::string const& to,
              std::string const& bytes);
    void deliver_due();

    boost::asio::io_context loop;
    int null_device;
    std::unique_ptr<decision_log> log;
    std::deque<datagram> datagrams;
    std::vector<waiting_take> waiting_takes;
    std::map<std::string, std::size_t> by_address;
    std::size_t datagram_count{};
};

} // namespace caperpath::gateway

#endif
