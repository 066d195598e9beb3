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
/// dies would strand all of it. So each router keeps one row with a ceiling for
/// each budget, a few seconds of traffic ahead of its use, and spends no more
/// than that while the store answers. When the store has not answered for
/// `deep_after` it may spend its whole shares. The row also says when the store
/// last acknowledged one: a successor that reads it sooner than `deep_after`
/// later knows that the ceilings held until the end, and takes over what lies
/// above them. Read later, the shares count as spent.
///
/// The clocks: the row's times are the store's; `deep_after` is measured on the
/// router's monotonic clock from the moment the acknowledgement came in, which
/// is later than the store's time in it. That clock stands still while the
/// machine is suspended, so the wait can only get longer.
namespace caperpath::budget
{

/// Row `spend/<vm>`. Immutable value.
struct spend_row
{
    incarnation_id router;
    std::string address; ///< "IP:port" that the process has bound
    /// Store time at which the latest acknowledged row before this one was
    /// written; 0 if there was none.
    std::int64_t acknowledged_ms{};
    std::map<budget_id, token_count> ceilings;

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
    spend_row written;                        ///< as last acknowledged
    std::optional<instant> last_acknowledged; ///< on this router's clock
    std::int64_t acknowledged_ms{};           ///< the same on the store's clock
    std::uint64_t version{};                  ///< of the row, 0: none
    bool fenced{false}; ///< another process has the address

    friend bool operator==(spend_journal const&,
                           spend_journal const&) = default;
};

/// From then on without an acknowledgement the whole shares may be spent. A
/// crash of all routers takes a successor some 2 s until it reads the row, and
/// the row in it may be 1 s old.
inline constexpr duration deep_after{3'000};
/// A successor trusts ceilings only if it reads them this much sooner, for
/// clocks that run at slightly different rates.
inline constexpr duration clock_margin{300};

/// The most that may be spent of `budget` now, of `granted` tokens. Thread
/// safe.
token_count spend_limit(spend_journal const& journal, budget_id const& budget,
                        token_count granted, instant now);

/// The row to write next: each ceiling is at least what it was. Thread safe.
spend_row next_row(spend_journal const& journal,
                   std::map<budget_id, token_count> const& wanted);

/// The store acknowledged `row` at its time `store_ms`. Thread safe.
spend_journal acknowledged(spend_journal journal, spend_row const& row,
                           std::uint64_t version, std::int64_t store_ms,
                           instant now);

/// The ceilings of a dead router that held until its end; nothing if it may
/// have spent more. `read_ms` is a store time after its death. Thread safe.
std::optional<std::map<budget_id, token_count>>
trusted_ceilings(spend_row const& of, std::string const& own_address,
                 std::int64_t read_ms);

} // namespace caperpath::budget

#endif
