#ifndef CAPERPATH_SRC_GATEWAY_BUDGET_BOOK_HPP
#define CAPERPATH_SRC_GATEWAY_BUDGET_BOOK_HPP

#include "gateway/decision_log.hpp"
#include "gateway/spend_keeper.hpp"
#include "gateway/table_follower.hpp"
#include "gateway/token_exchange.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/share.hpp>
#include <caperpath/fleet/site.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace caperpath::gateway
{

/// The shares that this router holds of the customers' budgets: carries out
/// over the store what the share core asks for. The shares of a router that
/// dies are taken over by its successor at the same address, as far as its
/// spend row shows that they were not spent. Loop thread only; outlives its
/// calls, and `log` outlives it.
class budget_book
{
public:
    /// `peer_address` is where other routers' datagrams come in, and `send`
    /// sends one to another router.
    budget_book(
        boost::asio::any_io_executor const& executor, store::async_port port,
        std::string vm, std::string address, incarnation_id incarnation,
        std::string peer_address,
        std::function<void(std::string const& to, std::string const& bytes)>
            send,
        decision_log& log);

    /// Begins; call once the own address is bound.
    void start();

    /// A configuration is in force: budgets are opened, and paid amounts are
    /// raised (never lowered: what was paid before may be spent already).
    void apply(fleet::site const& site);

    /// Sets `amount` tokens aside; `done` gets the reply, at once or within
    /// `wait`. @pre `request` was not used before.
    void reserve(request_id const& request, budget_id const& budget,
                 token_count amount, duration wait,
                 std::function<void(budget::reserve_reply)> done);

    /// Ends a reservation that was admitted: `used` of it is spent.
    void finish(request_id const& request, budget_id const& budget,
                token_count used);

    /// Forgets a reservation that nothing was sent for.
    void cancel(request_id const& request, budget_id const& budget);

    /// What decides on a budget's reservations now, for the log.
    std::vector<log_field> describe(budget_id const& budget) const;

    /// So many VMs have a live router.
    void note_routers(std::int64_t vms);

    /// The live routers, by the address for datagrams.
    void note_peers(std::map<std::string, incarnation_id> const& live);

    /// A datagram of another router.
    void receive(std::string const& from, std::string const& bytes);

    /// True when another router may give tokens of the budget, soon.
    bool may_be_given(budget_id const& budget);

    /// Gives back what is free, now and as requests end; admits nothing more.
    void close();

    /// True when everything was given back. @pre `close` was called.
    bool closed() const;

    /// True when the share covers `amount` behind all that waits, and the spend
    /// line will have risen to it within `wait` without any word of the store.
    bool opens_within(budget_id const& budget, token_count amount,
                      duration wait) const;

    /// False until a budget's row was read: before that this router can only
    /// refuse. True when no customer has a budget.
    bool knows_a_budget() const;

    /// True when each budget's first share is here, or was tried for.
    bool ready() const;

private:
    /// The share of the dead router before, on its way to this one. Nothing is
    /// drawn of the budget meanwhile.
    struct take_over
    {
        incarnation_id dead;
        token_count spent{};    ///< at most, of what the dead router held
        token_count received{}; ///< by it; free here when it is decided
        token_count given{};    ///< of `spent`, to other routers
        instant next_try{};
        int tries{};
        bool busy{false};
    };
    struct account
    {
        budget::share_state share;
        token_count paid{};
        budget::holder_view holder;
        instant draws_from{}; ///< no draw before this without need
        std::optional<take_over> taking;
        double mean_request{};   ///< tokens that a request sets aside, of late
        double mean_square{};    ///< of the same
        budget::holdings others; ///< what the other routers told
        std::uint64_t dealt_for{}; ///< version of the row of the latest deal
        instant dealt_at{};
        token_count pool_target{}; ///< to hold free, as the coordinator
        instant draws_until{};     ///< no coordinator answers: draws by itself

        /// The size of request that a token of the traffic belongs to in the
        /// mean.
        double large_request() const;

        /// The paid amount stands in the configuration and not in the row, so
        /// that a top-up needs no write of ours.
        void raise_paid();
    };
    using replies = std::function<void(budget::reserve_reply)>;

    account& open_account(budget_id const& budget);
    std::map<budget_id, budget::spend_line> wanted_lines() const;
    std::optional<store::row_write> holdings_to_tell();
    budget::holding own_holding(account const& of) const;
    share_access share_for_peers();
    share_view view(budget_id const& budget) const;
    std::vector<budget_id> budgets(bool in_use) const;
    void take(budget_id const& budget, token_count tokens, duration wait,
              std::function<void(bool)> done);
    void put(budget_id const& budget, token_count tokens);
    void refuse_waiting(budget_id const& budget, duration retry_after);
    void answer(std::vector<budget::answered_reservation> const& answers);
    void prepare_for_peers(account& of, instant at);
    bool asks_peers() const;
    double line_start(account const& of, double traffic) const;
    double typical_request(account const& of) const;
    double rise_beyond_traffic(account const& of) const;
    duration row_pause() const;
    void follow_rows();
    void hear(store::feed_page const& page);
    void forget_silent(instant at);
    void see_budgets(store::feed_page const& page);
    void deal(account& of);
    std::int64_t fleet_size() const;
    bool knows_fleet(instant at) const;
    bool deals() const;
    duration budget_read_pause() const;
    void inherit(incarnation_id const& dead,
                 std::map<budget_id, budget::spend_line> const& left);
    void try_take_over(account& of);
    void rename_share(budget_id const& budget, store::row const& found);
    void take_over_failed(budget_id const& budget);
    void took_over(budget_id const& budget, store::row const& row,
                   std::uint64_t version);
    void took_nothing(account& of);
    void own_inherited(account& of, token_count granted, std::uint64_t version);
    void note_take_over(account const& of, token_count granted);
    void set_limit(account& of) const;
    budget::held_tokens held(account const& of) const;
    void pass_on();
    void raise_line(account const& of);
    void step(budget_id const& budget);
    void look(account& of);
    void write(account& of, store::transaction const& txn);
    void note_write(account const& of, store::commit_result const& result);
    void settle_waiting(account& of);
    void tick();

    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    store::async_port port;
    vm_id vm;
    incarnation_id incarnation;
    decision_log& log;
    spend_keeper spending;
    caperpath::clock now{caperpath::clock::monotonic()};
    token_exchange exchange;
    std::uint64_t
        transfer_reservations{}; ///< numbers reservations for other routers
    double mean_of_all{}; ///< tokens that a request of any customer needs
    std::map<budget_id, account> accounts;
    std::unordered_map<request_id, replies> waiting;
    std::unique_ptr<table_follower> holding_rows;
    std::unique_ptr<table_follower> budget_rows;
    std::int64_t routers{1};           ///< VMs by the heartbeats
    std::map<vm_id, instant> heard_of; ///< VMs that told of their shares
    instant began{};
    instant followed_from{}; ///< every change of a budget row since is known
    instant told_at{};       ///< the latest own row of holdings
    bool closing{false};
    instant closing_since{};
};

} // namespace caperpath::gateway

#endif
