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

/// A mistake that a fleet makes on purpose: the checks must find it.
enum class broken
{
    nothing,
    takes_twice,          ///< a datagram that comes twice counts twice
    gives_above_its_line, ///< tokens are sent that a successor takes over
    inherits_before_spent ///< received tokens count before what was spent
};

/// What becomes of a write to the store.
enum class write_fate
{
    answered,
    answer_lost, ///< it counts, and the router does not know
    lost
};

/// Routers that hold one budget: the pure core over a table in memory, in
/// simulated time, one address a router. Test code; not thread safe.
class token_fleet
{
public:
    token_fleet(std::size_t routers, token_count paid, broken mistake);

    /// Time passes; for `frozen`, if any, its clock stands still.
    void pass(duration span, std::optional<std::size_t> frozen);

    /// A request of up to `amount` tokens; false if it is refused.
    bool spend(std::size_t router, token_count amount);

    /// Up to `amount` tokens go from one router to another.
    void give(std::size_t from, std::size_t to, token_count amount);

    /// All that is due goes out, as datagrams that `deliver` takes in.
    void send_due(std::size_t from);

    /// Datagram number `which` arrives; it may come again when `again`.
    void deliver(std::size_t which, bool again);
    std::size_t datagrams() const;

    void write_row(std::size_t router, token_count above, token_count rise,
                   write_fate fate);

    /// One step towards holding `target` tokens free.
    void draw(std::size_t router, token_count target, write_fate fate);

    /// The process dies, and another one starts at its address after `pause`.
    void replace(std::size_t router, duration pause);

    /// The process returns what it drew and ends.
    void stop(std::size_t router);

    /// What requests were admitted for, of all routers that ever ran.
    token_count admitted() const;

    /// The same, and all that the routers may yet admit, draws included.
    token_count obtainable() const;

    /// The budget row as the store has it.
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
        int life{};
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
    spend_line line_of(router const& of, token_count above,
                       token_count rise) const;
    bool commit_row(router& of, spend_row const& row, write_fate fate);
    std::vector<store::row> rows_of(router const& of) const;

    store::memory_table table;
    token_count paid;
    broken mistake;
    std::vector<router> routers;
    std::vector<datagram> wire;
    std::int64_t store_ms{1'000'000};
    token_count spent{};
};

} // namespace caperpath::budget

#endif
