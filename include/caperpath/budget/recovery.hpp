#ifndef CAPERPATH_BUDGET_RECOVERY_HPP
#define CAPERPATH_BUDGET_RECOVERY_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/rows.hpp>
#include <caperpath/budget/share.hpp>
#include <caperpath/store/table.hpp>

#include <map>
#include <string>
#include <vector>

/// The life of a holder row: bound by its process, fenced and recovered by
/// others once the process is proved dead. The functions over a port block, may
/// be repeated and may be called by several routers at once: each step is
/// conditional, so that one of them does it and the others find it done.
namespace caperpath::budget
{

enum class proof_kind
{
    absent_after_listed, ///< the platform lists destroyed VMs no more
    address_rebound      ///< a new process holds the address of the old one
};

/// Why an incarnation can no longer run. Immutable value. A lapsed lease is no
/// such proof: a paused process wakes and goes on without knowing.
struct death_proof
{
    incarnation_id incarnation;
    proof_kind kind{};

    friend bool operator==(death_proof const&, death_proof const&) = default;
};

/// Since when each known incarnation has been missing from the platform's list.
/// Value type.
struct death_watch
{
    std::map<incarnation_id, instant> absent_since;

    friend bool operator==(death_watch const&, death_watch const&) = default;
};

struct watch_step
{
    death_watch watch;
    std::vector<death_proof> proofs;
};

/// Compares `once_listed`, the live holders that the list has shown, with the
/// `list` as it is at `now`. The list may lag by seconds and be served by
/// several replicas: an incarnation counts as destroyed when it has been
/// absent from every list seen for `list_lag`. Thread safe.
watch_step watch_list(death_watch watch,
                      std::vector<incarnation_id> const& once_listed,
                      std::vector<store::listed_vm> const& list,
                      duration list_lag, instant now);

/// Creates the holder row. A repeat after a lost answer finds it there.
/// Thread safe; blocks. Error `conflict` when the incarnation was fenced.
result<holder_view> bind_holder(store::port const& port,
                                incarnation_id const& incarnation,
                                std::string const& address,
                                failure_domain_id const& failure_domain);

/// The active holders, in key order. Thread safe; blocks.
result<std::map<incarnation_id, holder_row>>
active_holders(store::port const& port);

/// Proofs that a process which has bound `address` itself can give: every other
/// active holder of the address is dead, since two processes cannot have it
/// bound. @pre the caller has the address bound as `self`. Thread safe; blocks.
result<std::vector<death_proof>> prove_by_binding(store::port const& port,
                                                  incarnation_id const& self,
                                                  std::string const& address);

/// What became of one share of a dead holder. Immutable value.
struct recovered_share
{
    budget_id budget;
    token_count granted{};
    token_count spent{};    ///< in the ledger
    token_count returned{}; ///< back in the budget
    token_count held{};     ///< may have been answered for without a bill

    friend bool operator==(recovered_share const&,
                           recovered_share const&) = default;
};

/// Fences the holder, takes back its shares and closes it. The result names the
/// shares that this call took back (others may have taken some). Thread safe;
/// blocks. On an error some shares may be left: repeat it.
/// @pre the proof is true.
result<std::vector<recovered_share>> recover(store::port const& port,
                                             death_proof const& proof);

/// One round of looking for dead holders.
struct sweep_report
{
    death_watch watch; ///< for the next round
    std::vector<recovered_share> recovered;
};

/// Records which holders the platform's list shows, and recovers those that it
/// has shown and has left out for `list_lag`, as well as those that somebody
/// has fenced and not finished. Thread safe; blocks. On an error the next round
/// goes on where this one stopped.
result<sweep_report> sweep(store::port const& port, death_watch watch,
                           duration list_lag, instant now);

/// Marks a holder that left nothing behind as closed. Error `conflict` when it
/// still has a share row. Thread safe; blocks.
result<void> close_holder(store::port const& port, holder_view const& holder);

/// An operator decides that held tokens were not used: they return to the
/// budget, once. The result is what this call released, 0 on a repeat. Thread
/// safe; blocks. Error `not_found` when nothing is held.
result<token_count> release_held(store::port const& port,
                                 budget_id const& budget,
                                 incarnation_id const& holder);

/// Raises what was paid, once for each `topup_id`; creates the budget row when
/// there is none. Gives the paid amount after it. Thread safe; blocks. Error
/// `conflict` when the id was used with another amount.
result<token_count> top_up(store::port const& port, budget_id const& budget,
                           std::string const& topup_id, token_count tokens);

} // namespace caperpath::budget

#endif
