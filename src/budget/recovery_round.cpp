#include <caperpath/budget/recovery_round.hpp>

#include "budget/row_access.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr std::string_view listed_prefix = "listed/";

// Runs a step that may fail and keeps its error for the log; nothing on error.
template <class Step>
auto attempt_step(recovery_round& round, Step step)
    -> std::optional<std::decay_t<decltype(step().value())>>
{
    auto outcome = value_or_error(step);
    if (auto* const fault = std::get_if<error>(&outcome))
    {
        round.faults.push_back(std::move(*fault));
        return std::nullopt;
    }
    return std::move(std::get<0>(outcome));
}

bool recover_all(recovery_round& round, platform::port const& port,
                 std::vector<death_proof> const& proofs)
{
    bool all = true;
    for (auto const& proof : proofs)
    {
        bool const done =
            attempt_step(round, [&] { return recover(port, proof); })
                .has_value();
        if (done)
        {
            round.recovered.push_back(proof);
        }
        all = all && done;
    }
    return all;
}

void recover_predecessors(recovery_round& round, platform::port const& port,
                          recovery_options const& options)
{
    if (round.memory.predecessors_done)
    {
        return;
    }
    auto const proofs = attempt_step(
        round,
        [&] { return prove_by_binding(port, options.self, options.address); });
    round.memory.predecessors_done =
        proofs && recover_all(round, port, *proofs);
}

// A router that has just started is not in the lagging list yet, so absence
// alone proves nothing: taken as dead, it would go on spending a share that
// others spend too. Only what the list has shown once can vanish from it.
std::vector<incarnation_id>
mark_listed(platform::port const& port,
            std::map<incarnation_id, holder_row> const& holders,
            std::vector<platform::listed_vm> const& list,
            std::set<std::string> const& marked)
{
    std::vector<incarnation_id> once_listed;
    for (auto const& [incarnation, row] : holders)
    {
        auto const key = listed_key(incarnation);
        bool const listed =
            std::any_of(list.begin(), list.end(),
                        [&](platform::listed_vm const& vm)
                        { return vm.incarnation == incarnation.value; });
        if (!marked.contains(key) && listed)
        {
            port.commit({{{key, 0}}, {{key, "{}"}}});
        }
        if (marked.contains(key))
        {
            once_listed.push_back(incarnation);
        }
    }
    return once_listed;
}

std::set<std::string> keys_of(std::vector<platform::row> const& rows)
{
    std::set<std::string> keys;
    for (auto const& row : rows)
    {
        keys.insert(row.key);
    }
    return keys;
}

void recover_vanished(recovery_round& round, platform::port const& port,
                      recovery_options const& options, instant now)
{
    auto const list = attempt_step(round, [&] { return port.list_vms(); });
    auto const holders =
        attempt_step(round, [&] { return active_holders(port); });
    auto const marks = attempt_step(
        round, [&] { return scan_all(port, std::string{listed_prefix}); });
    if (!list || !holders || !marks)
    {
        return;
    }
    auto const once_listed =
        mark_listed(port, *holders, *list, keys_of(*marks));
    auto step = watch_list(std::move(round.memory.watch), once_listed, *list,
                           options.list_lag, now);
    round.memory.watch = std::move(step.watch);
    recover_all(round, port, step.proofs);
}

} // namespace

recovery_round run_recovery_round(platform::port const& port,
                                  recovery_options const& options,
                                  recovery_memory memory, instant now)
{
    recovery_round round{std::move(memory), {}, {}};
    recover_predecessors(round, port, options);
    recover_vanished(round, port, options, now);
    return round;
}

} // namespace caperpath::budget
