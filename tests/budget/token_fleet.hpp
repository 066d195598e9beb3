#ifndef CAPERPATH_TESTS_BUDGET_TOKEN_FLEET_HPP
#define CAPERPATH_TESTS_BUDGET_TOKEN_FLEET_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/share.hpp>
#include <caperpath/budget/spend_journal.hpp>
#include <caperpath/budget/transfer.hpp>
#include <caperpath/store/memory_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::budget
{

/// A bug that the fleet has on purpose: the checks must find it.
enum class injected_bug
{
    none,
    accepts_duplicates,           ///< a duplicate datagram counts twice
    gives_above_its_limit,        ///< sends tokens that a successor takes over
    credits_received_before_spent ///< received tokens count before spent ones
                                  ///< are deducted
};

/// The outcome of a write to the store.
enum class write_outcome
{
    acknowledged,
    response_lost, ///< applied, and the router does not know
    lost
};

/// Routers that hold one budget: the pure core over an in-memory table, in
/// simulated time, with one address for each router. Test code; not thread
/// safe.
class token_fleet
{
public:
    token_fleet(std::size_t routers, token_count paid, injected_bug bug);

    /// Advances the time; the clock of `frozen`, if any, stands still.
    void advance_time(duration span, std::optional<std::size_t> frozen);

    /// Requests up to `amount` tokens; false if the request is rejected.
    bool spend(std::size_t router, token_count amount);

    /// Transfers up to `amount` tokens from one router to another.
    void give(std::size_t from, std::size_t to, token_count amount);

    /// Sends all transfers that are due, as datagrams for `deliver`.
    void send_due(std::size_t from);

    /// Delivers datagram number `which`; it is kept for another delivery if
    /// `again`.
    void deliver(std::size_t which, bool again);
    std::size_t datagrams() const;

    void write_row(std::size_t router, token_count above, token_count rise,
                   write_outcome outcome);

    /// Takes one step towards holding `target` free tokens.
    void draw(std::size_t router, token_count target, write_outcome outcome);

    /// Ends the process without a stop and starts another one at its address
    /// after `pause`.
    void replace(std::size_t router, duration pause);

    /// Stops the process, which returns what it drew; another one starts at its
    /// address.
    void stop(std::size_t router);

    /// Returns the tokens of all admitted requests, of all processes.
    token_count admitted() const;

    /// Returns the same plus all that the routers may still admit, including
    /// what they may still draw.
    token_count obtainable() const;

    /// Returns the budget row in the store.
    budget_row row() const;

private:
    struct inherited_tokens
    {
        incarnation_id dead;
        token_count spent{};
        token_count received{};
    };
    struct router
    {
        int starts{};
        incarnation_id id;
        std::string address;
        share_state share;
        spend_journal journal;
        outbox sent;
        inbox taken;
        instant now{};
        std::optional<inherited_tokens> inheritance;
        std::uint64_t requests{};
    };
    struct datagram
    {
        std::size_t to{};
        incarnation_id sender;
        incarnation_id receiver;
        transfer what;
        std::size_t from{};
    };

    void begin(std::size_t at, std::optional<spend_row> const& before,
               std::int64_t dead_ms);
    void take_over(router& of);
    void set_limit(router& of) const;
    spend_limit_curve limit_of(router const& of, token_count above,
                               token_count rise) const;
    bool commit_row(router& of, spend_row const& row, write_outcome outcome);
    std::vector<store::row> rows_of(router const& of) const;

    store::memory_table table;
    token_count paid;
    injected_bug bug;
    std::vector<router> routers;
    std::vector<datagram> in_flight;
    std::int64_t store_ms{1'000'000};
    token_count spent{};
};

} // namespace caperpath::budget

#endif
