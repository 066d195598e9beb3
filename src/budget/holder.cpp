#include <caperpath/budget/recovery.hpp>

#include "row_access.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr char holder_prefix[] = "holder/";

error fault_at_step(std::string step, store::commit_result const& outcome)
{
    auto fault = outcome.fault;
    fault.step = std::move(step);
    return fault;
}

} // namespace

watch_step check_vm_list(death_watch watch,
                         std::vector<incarnation_id> const& once_listed,
                         std::vector<store::listed_vm> const& list,
                         duration list_lag, instant now)
{
    std::set<std::string> present;
    for (auto const& vm : list)
    {
        present.insert(vm.incarnation);
    }
    watch_step step;
    for (auto const& incarnation : once_listed)
    {
        if (present.contains(incarnation.value))
        {
            continue;
        }
        auto const known = watch.absent_since.find(incarnation);
        auto const since =
            known == watch.absent_since.end() ? now : known->second;
        step.watch.absent_since.emplace(incarnation, since);
        if (now - since >= list_lag)
        {
            step.proofs.push_back(
                {incarnation, proof_kind::absent_after_listed});
        }
    }
    return step;
}

result<holder_view> bind_holder(store::port const& port,
                                incarnation_id const& incarnation,
                                std::string const& address,
                                failure_domain_id const& failure_domain)
{
    auto const key = holder_key(incarnation);
    holder_row const wanted{holder_state::active, address, failure_domain};
    store::commit_result outcome;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        outcome = port.commit({{{key, 0}}, {{key, encode(wanted)}}});
        if (outcome.outcome == store::commit_outcome::applied)
        {
            return holder_view{incarnation, 1};
        }
        if (rejected_without_conflict(outcome))
        {
            break;
        }
        auto const found = find_row(outcome.failed, key);
        if (found.version == 0)
        {
            continue;
        }
        BOOST_LEAF_AUTO(row, decode_holder(found.value));
        // The row of an earlier attempt whose response was lost.
        if (row == wanted)
        {
            return holder_view{incarnation, found.version};
        }
        return fail({error_kind::conflict, "bind holder", "table",
                     key + " belongs to another process or was fenced"});
    }
    return fail(fault_at_step("bind holder", outcome));
}

result<std::map<incarnation_id, holder_row>>
active_holders(store::port const& port)
{
    BOOST_LEAF_AUTO(rows, scan_all(port, holder_prefix));
    std::map<incarnation_id, holder_row> active;
    for (auto const& found : rows)
    {
        BOOST_LEAF_AUTO(row, decode_holder(found.value));
        if (row.state == holder_state::active)
        {
            auto name = found.key.substr(sizeof holder_prefix - 1);
            active.emplace(incarnation_id{std::move(name)}, row);
        }
    }
    return active;
}

result<std::vector<death_proof>> prove_by_binding(store::port const& port,
                                                  incarnation_id const& self,
                                                  std::string const& address)
{
    BOOST_LEAF_AUTO(holders, active_holders(port));
    std::vector<death_proof> proofs;
    for (auto const& [incarnation, row] : holders)
    {
        if (incarnation != self && row.address == address)
        {
            proofs.push_back({incarnation, proof_kind::address_rebound});
        }
    }
    return proofs;
}

} // namespace caperpath::budget
