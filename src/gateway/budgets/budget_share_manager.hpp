#ifndef CAPERPATH_SRC_GATEWAY_BUDGETS_BUDGET_SHARE_MANAGER_HPP
#define CAPERPATH_SRC_GATEWAY_BUDGETS_BUDGET_SHARE_MANAGER_HPP

#include "gateway/budgets/spend_row_writer.hpp"
#include "gateway/budgets/token_exchange.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/followers/table_follower.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/share.hpp>
#include <caperpath/fleet/site.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace caperpath::gateway
{

/// Manages this router's shares of the customers' budgets: executes over the
/// store the steps that `budget::next_step` chooses. After a crash the next
/// router at the same address takes over the shares, less what the dead
/// router's spend row shows as possibly spent. Loop thread only; outlives its
/// calls, and `log` outlives it.
class budget_share_manager
{
public:
    /// `peer_address` receives the datagrams of other routers, and `send` sends
    /// a datagram to another router.
    budget_share_manager(
        boost::asio::any_io_executor const& executor, store::async_port port,
        std::string vm, std::string address, incarnation_id incarnation,
        std::string peer_address,
        std::function<void(std::string const& to, std::string const& bytes)>
            send,
        decision_log& log);

    /// Starts reading and writing rows; call once. @pre the own address is
    /// bound.
    void start();

    /// Applies a configuration: opens accounts for its budgets and raises paid
    /// amounts. An amount is never lowered, since it may be spent already.
    void apply(fleet::site const& site);

    /// Reserves `amount` tokens; `done` gets the reply, at once or within
    /// `wait`. @pre `request` was not used before.
    void reserve(request_id const& request, budget_id const& budget,
                 token_count amount, duration wait,
                 std::function<void(budget::reserve_reply)> done);

    /// Ends an admitted reservation: `used` of its tokens are spent.
    void finish(request_id const& request, budget_id const& budget,
                token_count used);

    /// Drops a reservation for which nothing was sent to a backend server.
    void cancel(request_id const& request, budget_id const& budget);

    /// Returns log fields with the state that reservations of the budget depend
    /// on.
    std::vector<log_field> log_fields(budget_id const& budget) const;

    /// Sets the number of VMs that have a live router.
    void set_router_count(std::int64_t vms);

    /// Sets the live routers, by datagram address.
    void set_peers(std::map<std::string, incarnation_id> const& live);

    /// Handles a datagram of another router.
    void receive_datagram(std::string const& from, std::string const& bytes);

    /// Returns true if another router may soon give tokens of the budget.
    bool may_receive_tokens(budget_id const& budget);

    /// Returns free tokens to the budget rows, now and as requests end. Admits
    /// no further reservation.
    void close();

    /// Returns true if no share row is left and, in a large fleet, a spend row
    /// written after `close` leaves the tokens received from other routers to
    /// the successor. @pre `close` was called.
    bool closed() const;

    /// Returns true if, without another response of the store, the spend limit
    /// (never above the held tokens) will cover all used and waiting tokens and
    /// `amount` within `wait`.
    bool covers_within(budget_id const& budget, token_count amount,
                       duration wait) const;

    /// Returns false until a budget row was read: before that this router can
    /// only reject requests. Returns true if no customer has a budget.
    bool has_read_a_budget() const;

    /// Returns true, in a small fleet, if each budget has a share row or its
    /// last four writes lost a conflict (the router then serves without a
    /// share); in a large fleet, if has_read_a_budget().
    bool ready() const;

private:
    /// The share of the previous, dead router while it is taken over. This
    /// router draws nothing of the budget in the meantime.
    struct share_takeover
    {
        incarnation_id dead;
        token_count spent{};    ///< upper bound for the dead router
        token_count received{}; ///< by the dead router, from others
        token_count given{};    ///< part of `spent` that went to other routers
        instant next_try{};
        int tries{};
        bool busy{false};
    };
    struct account
    {
        budget::share_state share;
        bool first_read_queued{false};
        token_count paid{};
        budget::holder_view holder;
        instant first_draw_at{}; ///< draws earlier only if a reservation waits
        std::optional<share_takeover> pending_takeover;
        double mean_request{};           ///< recent mean of reserved tokens
        double mean_squared_request{};   ///< recent mean of the squares
        budget::holdings other_holdings; ///< as the other routers reported them
        std::uint64_t allocated_version{}; ///< of the budget row
        instant allocated_at{};
        token_count pool_target{};   ///< tokens to hold free as coordinator
        instant draws_alone_until{}; ///< until then draws without a coordinator

        /// The mean request size weighted by tokens: the size of the request
        /// that an average token belongs to.
        double token_weighted_request() const;

        /// Raises the paid amount of the last read row to the configured one: a
        /// top-up is in the configuration, so that it needs no write of the
        /// row.
        void raise_paid();
    };
    using reply_handler = std::function<void(budget::reserve_reply)>;

    account& open_account(budget_id const& budget);
    std::map<budget_id, budget::spend_limit_curve>
    required_spend_limits() const;
    std::optional<store::row_write> holdings_to_report();
    budget::holding own_holding(account const& of) const;
    share_access make_share_access();
    share_view view(budget_id const& budget) const;
    std::vector<budget_id> budgets(bool in_use) const;
    void take_for_peer(budget_id const& budget, token_count tokens,
                       duration wait, std::function<void(bool)> done);
    void add_from_peer(budget_id const& budget, token_count tokens);
    void reject_waiting(budget_id const& budget, duration retry_after);
    void send_replies(std::vector<budget::decided_reservation> const& decided);
    void update_draw_mode(account& of, instant at);
    bool is_large_fleet() const;
    double initial_headroom(account const& of, double traffic) const;
    double typical_request(account const& of) const;
    double extra_growth(account const& of) const;
    duration spend_row_interval() const;
    void follow_rows();
    void receive_holdings(store::feed_page const& page);
    void expire_holdings(instant at);
    void receive_budget_rows(store::feed_page const& page);
    void note_holdings(store::feed_row const& row, instant at);
    void note_budget_row(store::feed_row const& row, instant at);
    void allocate(account& of);
    std::int64_t fleet_size() const;
    bool knows_fleet(instant at) const;
    bool is_small_fleet() const;
    duration budget_read_interval() const;
    void inherit(incarnation_id const& dead,
                 std::map<budget_id, budget::spend_limit_curve> const& limits);
    void try_takeover(account& of);
    void read_inherited(budget_id const& budget);
    void find_renamed(budget_id const& budget,
                      std::variant<store::row, error> const& reply);
    void rename_share(budget_id const& budget, store::row const& found);
    void takeover_failed(budget_id const& budget);
    void finish_takeover(budget_id const& budget, store::row const& row,
                         std::uint64_t version);
    void finish_without_share(account& of);
    void adopt_tokens(account& of, token_count granted, std::uint64_t version);
    void finish_takeover_call(budget_id const& budget,
                              std::function<void()> const& part);
    void log_takeover(budget_id const& budget, share_takeover const& of,
                      token_count granted);
    void update_spend_limit(account& of) const;
    budget::held_tokens held(account const& of) const;
    void settle_all_waiting();
    void request_limit_raise(account const& of);
    void step(budget_id const& budget);
    void begin_read(account& of);
    void begin_first_reads();
    void read_rows(account& of);
    void send_reads(account& of);
    void finish_read(budget_id const& budget,
                     std::variant<store::row, error> const& budget_reply,
                     store::row const& share);
    void write(account& of, store::transaction const& txn);
    void finish_write(budget_id const& budget,
                      store::commit_result const& result);
    void log_write(account const& of, store::commit_result const& result);
    void settle_waiting(account& of);
    void tick();

    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer first_read_timer;
    std::deque<budget_id> first_reads; ///< queued, oldest first
    store::async_port port;
    vm_id vm;
    incarnation_id incarnation;
    decision_log& log;
    spend_row_writer spend_writer;
    caperpath::clock now{caperpath::clock::monotonic()};
    token_exchange exchange;
    std::uint64_t
        transfer_reservations{};  ///< numbers reservations for other routers
    double mean_request_of_all{}; ///< over the requests of all customers
    std::map<budget_id, account> accounts;
    std::unordered_map<request_id, reply_handler> waiting;
    std::unique_ptr<table_follower> holding_rows;
    std::unique_ptr<table_follower> budget_rows;
    std::int64_t routers{1};                       ///< VMs with a heartbeat
    std::map<vm_id, instant> holdings_received_at; ///< by reporting VM
    instant started_at{};
    instant rows_current_since{};  ///< no budget row change missed since
    instant holdings_written_at{}; ///< last write of the own holdings row
    bool closing{false};
    instant closing_since{};
};

} // namespace caperpath::gateway

#endif
