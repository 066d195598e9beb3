#ifndef CAPERPATH_BUDGET_RECOVERY_HPP
#define CAPERPATH_BUDGET_RECOVERY_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/rows.hpp>
#include <caperpath/budget/share.hpp>
#include <caperpath/store/table.hpp>

#include <map>
#include <string>
#include <vector>

/// The life cycle of a holder row: bound by its process, fenced and recovered
/// by other routers once the process is proved dead. The functions that take a
/// port block, are idempotent and may be called by several routers at once:
/// each step is a conditional write, so that one router does it and the others
/// find it done.
namespace caperpath::budget
{

enum class proof_kind
{
    absent_after_listed, ///< the platform no longer lists destroyed VMs
    address_rebound      ///< a new process has bound the old one's address
};

/// Why an incarnation can no longer be running. An expired lease is no such
/// proof: a paused process resumes without noticing. Immutable value.
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

/// Compares `once_listed`, the active holders that the platform's list has
/// shown, with the `list` read at `now`. The list may lag by seconds and come
/// from several replicas, so an incarnation counts as destroyed after it has
/// been absent from every list read for `list_lag`. Thread safe.
watch_step check_vm_list(death_watch watch,
                         std::vector<incarnation_id> const& once_listed,
                         std::vector<store::listed_vm> const& list,
                         duration list_lag, instant now);

/// Creates the holder row. A retry after a lost response finds it. Thread safe;
/// blocks. Error `conflict` if the incarnation was fenced or another process
/// owns the row.
result<holder_view> bind_holder(store::port const& port,
                                incarnation_id const& incarnation,
                                std::string const& address,
                                failure_domain_id const& failure_domain);

/// The active holders, in key order. Thread safe; blocks.
result<std::map<incarnation_id, holder_row>>
active_holders(store::port const& port);

/// Proves that every other active holder of `address` is dead, since two
/// processes cannot have it bound. @pre the calling process has bound `address`
/// as `self`. Thread safe; blocks.
result<std::vector<death_proof>> prove_by_binding(store::port const& port,
                                                  incarnation_id const& self,
                                                  std::string const& address);

/// The result of recovering one share of a dead holder. Immutable value.
struct recovered_share
{
    budget_id budget;
    token_count granted{};
    token_count spent{};    ///< in the ledger
    token_count returned{}; ///< back in the budget
    token_count held{};     ///< may have been used without a bill

    friend bool operator==(recovered_share const&,
                           recovered_share const&) = default;
};

/// Fences the holder, recovers its shares and closes it. Returns the shares
/// that this call recovered (other routers may have recovered some). Thread
/// safe; blocks. On an error some shares may be left: call it again.
/// @pre the proof is true.
result<std::vector<recovered_share>> recover(store::port const& port,
                                             death_proof const& proof);

/// The result of one round of the search for dead holders.
struct sweep_report
{
    death_watch watch; ///< for the next round
    std::vector<recovered_share> recovered;
};

/// Records which holders the platform's list shows. Recovers those that it has
/// shown before and omitted for `list_lag`, and those whose recovery another
/// router started but did not finish. Thread safe; blocks. On an error the next
/// round continues where this one stopped.
result<sweep_report> sweep(store::port const& port, death_watch watch,
                           duration list_lag, instant now);

/// Marks a holder without share rows as closed. Error `conflict` if it still
/// has one. Thread safe; blocks.
result<void> close_holder(store::port const& port, holder_view const& holder);

/// Returns held tokens to the budget, once, after an operator has decided that
/// they were not used. Returns the tokens that this call released, 0 on a
/// retry. Thread safe; blocks. Error `not_found` if nothing is held.
result<token_count> release_held(store::port const& port,
                                 budget_id const& budget,
                                 incarnation_id const& holder);

/// Adds `tokens` to the paid amount, once for each `topup_id`, and creates the
/// budget row if there is none. Returns the new paid amount. Thread safe;
/// blocks. Errors: `conflict` if the id was used with another amount, `invalid`
/// if `tokens` is not positive or the sum overflows, `timeout` if the outcome
/// is unknown: then retry with the same id.
result<token_count> top_up(store::port const& port, budget_id const& budget,
                           std::string const& topup_id, token_count tokens);

} // namespace caperpath::budget

#endif
