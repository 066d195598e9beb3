#ifndef CAPERPATH_BUDGET_SPEND_JOURNAL_HPP
#define CAPERPATH_BUDGET_SPEND_JOURNAL_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// How much of its shares a router may have spent, as its successor at the same
/// address reads it after a crash.
///
/// A share has to be deep enough for an outage of the store, and a router that
/// dies would strand all of it. So each router keeps one row with a line for
/// each budget: the most that it may have spent at a store time, and how much
/// more with each second some time after it. It never spends above its lines. A
/// successor reads the row, follows the lines to the store's time of its own
/// first write and takes over what lies above them, however old the row is. The
/// lines are flat for as long as a crash is likelier than an outage of the
/// store, and rise afterwards, so that few are refused for want of a write.
///
/// The clocks: a router knows the store's time only as that of the latest
/// acknowledgement plus its own monotonic time since that came in. This is
/// never later than the real one, since the answer took time to come and the
/// monotonic clock stands still while the machine is suspended. So the line is
/// never higher for the router than for its successor.
namespace caperpath::budget
{

/// The most that may be spent of one budget, as a function of store time.
/// Immutable value.
struct spend_line
{
    token_count spent{};      ///< at most, for `flat_for` from the row's time
    token_count per_second{}; ///< more with each second after that
    /// What other routers had given by the time of the row. It has no row of
    /// its own: a successor takes it over from here.
    token_count received{};
    bool has_share{true}; ///< there is, or may be, a share row
    token_count given{};  ///< of `spent`, to other routers

    friend bool operator==(spend_line const&, spend_line const&) = default;
};

/// A router that crashes alone or with all others is back this soon.
inline constexpr duration flat_for{900};

/// Row `spend/<vm>`. Immutable value.
struct spend_row
{
    incarnation_id router;
    std::string address; ///< "IP:port" that the process has bound
    /// Store time at which the lines begin; 0 before the first acknowledgement.
    std::int64_t at_ms{};
    std::map<budget_id, spend_line> lines;

    friend bool operator==(spend_row const&, spend_row const&) = default;
};

/// Thread safe. The key of a VM's row.
std::string spend_key(std::string const& vm);

/// Thread safe. JSON text of a row, and back; error `invalid` when a member is
/// missing or has another type.
std::string encode(spend_row const& row);
result<spend_row> decode_spend(std::string const& text);

/// A router's own row as it stands. Value type.
struct spend_journal
{
    spend_row written; ///< as last acknowledged
    /// Sent and not acknowledged: it may be in the store, or get there later.
    std::optional<spend_row> pending;
    std::optional<instant> last_acknowledged; ///< on this router's clock
    std::int64_t acknowledged_ms{};           ///< the same on the store's clock
    std::uint64_t version{};                  ///< of the row, 0: none
    bool fenced{false}; ///< another process has the address

    friend bool operator==(spend_journal const&,
                           spend_journal const&) = default;
};

/// A successor counts the lines so much longer, for clocks that run at slightly
/// different rates and for whole milliseconds. A fixed margin would have to be
/// that of the longest age, and most routers are back soon.
inline constexpr std::int64_t clock_margin_divisor = 100;
inline constexpr duration least_clock_margin{10};

/// What a router holds of one budget. Immutable value.
struct held_tokens
{
    token_count granted{};  ///< in its share row
    token_count received{}; ///< from other routers, by messages

    friend bool operator==(held_tokens const&, held_tokens const&) = default;
};

/// The most that may be spent of `budget` now. What was received after a row
/// was written is not in it, so no successor takes it over and it may be spent
/// at once. Thread safe.
token_count spend_limit(spend_journal const& journal, budget_id const& budget,
                        held_tokens const& held, instant now);

/// The row to send next. One that was sent before and is not decided is sent
/// again as it was, so that there are never more than two that the store may
/// hold. Thread safe.
spend_row next_row(spend_journal const& journal,
                   std::map<budget_id, spend_line> const& wanted, instant now);

/// `row` is under way: from now on its lines bind too. Thread safe.
spend_journal sent(spend_journal journal, spend_row const& row);

/// The store acknowledged the row under way at its time `store_ms`. Thread
/// safe.
spend_journal acknowledged(spend_journal journal, std::uint64_t version,
                           std::int64_t store_ms, instant now);

/// The store holds `row` of this router under `version`, written at a time that
/// is not known. Thread safe.
spend_journal found_own(spend_journal journal, spend_row const& row,
                        std::uint64_t version);

/// What a dead router at the same address leaves of each budget: `spent` is the
/// most that it can have spent. Nothing if the row is of another address or
/// names no time. `dead_ms` is a store time after its death. Thread safe.
std::optional<std::map<budget_id, spend_line>>
spent_at_most(spend_row const& of, std::string const& own_address,
              std::int64_t dead_ms);

} // namespace caperpath::budget

#endif
