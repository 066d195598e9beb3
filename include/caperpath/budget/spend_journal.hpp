#ifndef CAPERPATH_BUDGET_SPEND_JOURNAL_HPP
#define CAPERPATH_BUDGET_SPEND_JOURNAL_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Upper bounds on what a router has spent of its shares, for its successor at
/// the same address after a crash.
///
/// A share has to last for an outage of the store, and a router that dies would
/// strand all of it. So each router keeps one row with a spend limit for each
/// budget: an upper bound on its spending at a store time, which rises with
/// each second from some time after that. It never spends above these limits. A
/// successor reads the row, computes the limits at the store time of its own
/// first write and takes over the tokens above them, however old the row is.
/// A limit does not rise for the first `flat_period` after a row: normally a
/// new row replaces it by then, and a crashed router has been restarted, so
/// that no growth is lost. It rises only if no row could be written (an outage
/// of the store), so that few requests are rejected because a write is missing.
///
/// Clocks: a router estimates the store's time as that of the latest
/// acknowledgement plus its own monotonic time since it was received. This is
/// never later than the real store time, since the response took time to arrive
/// and the monotonic clock stops while the machine is suspended. So a limit is
/// never higher for the router than for its successor.
namespace caperpath::budget
{

/// The spend limit of one budget: an upper bound on what may have been spent,
/// as a function of store time. Immutable value.
struct spend_limit_curve
{
    token_count spent{};      ///< the bound while the limit is flat, from the
                              ///< row's time
    token_count per_second{}; ///< the rise per second after that
    /// Tokens received from other routers by the time of the row. They have no
    /// row of their own: a successor takes them over from here.
    token_count received{};
    bool has_share{true}; ///< a share row exists or may exist
    token_count given{};  ///< part of `spent`: sent to other routers

    friend bool operator==(spend_limit_curve const&,
                           spend_limit_curve const&) = default;
};

/// Spend limits do not rise for this long after a row. The time exceeds the
/// interval between rows, and a router that crashes, alone or with all others,
/// restarts within it.
inline constexpr duration flat_period{900};

/// Row `spend/<vm>`. Immutable value.
struct spend_row
{
    incarnation_id router;
    std::string address; ///< "IP:port" that the process has bound
    /// Store time at which the limits begin; 0 before the first
    /// acknowledgement.
    std::int64_t at_ms{};
    std::map<budget_id, spend_limit_curve> limits;

    friend bool operator==(spend_row const&, spend_row const&) = default;
};

/// The key of a VM's row. Thread safe.
std::string spend_key(std::string const& vm);

/// Encodes a row as JSON text and decodes it. Decoding fails with `invalid` if
/// a member is missing or has another type. Thread safe.
std::string encode(spend_row const& row);
result<spend_row> decode_spend(std::string const& text);

/// What a router knows of its own row. Value type.
struct spend_journal
{
    spend_row written; ///< as last acknowledged
    /// Sent and not acknowledged: the store may have it or receive it later.
    std::optional<spend_row> pending;
    std::optional<instant> last_acknowledged; ///< on this router's clock
    std::int64_t acknowledged_ms{}; ///< the same time on the store's clock
    std::uint64_t version{};        ///< of the row; 0: no row
    bool address_lost{false};       ///< another process has bound the address

    friend bool operator==(spend_journal const&,
                           spend_journal const&) = default;
};

/// A successor adds this part of the row's age, because clock rates differ
/// slightly, and a minimum for rounding to whole milliseconds. A fixed margin
/// would have to cover the longest age, although most routers restart soon.
inline constexpr std::int64_t clock_margin_divisor = 100;
inline constexpr duration min_clock_margin{10};

/// The tokens that a router has of one budget, spent ones included. Immutable
/// value.
struct held_tokens
{
    token_count granted{};  ///< in its share row
    token_count received{}; ///< from other routers, by datagrams

    friend bool operator==(held_tokens const&, held_tokens const&) = default;
};

/// The upper bound on spending of `budget` now. Tokens received after the row
/// was written are not in it, so no successor takes them over and they may be
/// spent at once. 0 before the first acknowledgement and while `address_lost`.
/// Thread safe.
token_count spend_limit(spend_journal const& journal, budget_id const& budget,
                        held_tokens const& held, instant now);

/// The row to send next. A row without a known result is retried unchanged, so
/// that the store can hold at most two versions. Thread safe.
spend_row next_row(spend_journal const& journal,
                   std::map<budget_id, spend_limit_curve> const& wanted,
                   instant now);

/// Records that `row` is sent: its limits apply from now on. Thread safe.
spend_journal sent(spend_journal journal, spend_row const& row);

/// Records that the store acknowledged the pending row at its time `store_ms`.
/// Thread safe.
spend_journal acknowledged(spend_journal journal, std::uint64_t version,
                           std::int64_t store_ms, instant now);

/// Records that the store holds `row` of this router under `version`, written
/// at an unknown time. Thread safe.
spend_journal found_own(spend_journal journal, spend_row const& row,
                        std::uint64_t version);

/// What a dead router at the same address left of each budget; `spent` is an
/// upper bound on its spending. Empty if `row` is of another address or has no
/// time. `dead_ms` is a store time after its death. Thread safe.
std::optional<std::map<budget_id, spend_limit_curve>>
max_spent_by_dead(spend_row const& row, std::string const& own_address,
                  std::int64_t dead_ms);

} // namespace caperpath::budget

#endif
