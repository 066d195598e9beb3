#include <caperpath/budget/recovery.hpp>

#include "row_access.hpp"

#include <set>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr char holder_prefix[] = "holder/";
constexpr char listed_prefix[] = "listed/";
constexpr char listed_value[] = "{}";

struct known_holders
{
    std::set<incarnation_id> active;
    std::set<incarnation_id> fenced; ///< their recovery is unfinished
};

result<known_holders> read_holders(store::port const& port)
{
    BOOST_LEAF_AUTO(rows, scan_all(port, holder_prefix));
    known_holders known;
    for (auto const& found : rows)
    {
        BOOST_LEAF_AUTO(row, decode_holder(found.value));
        incarnation_id name{found.key.substr(sizeof holder_prefix - 1)};
        if (row.state == holder_state::active)
        {
            known.active.insert(std::move(name));
        }
        else if (row.state == holder_state::fenced)
        {
            known.fenced.insert(std::move(name));
        }
    }
    return known;
}

/// Records the listed holders and returns those recorded before. A VM that has
/// just started may not be listed yet, so only a VM that was listed before is
/// dead if it is missing. The table keeps the record, since the router that saw
/// the VM listed may be dead as well by then.
result<std::set<incarnation_id>>
record_listed(store::port const& port, known_holders const& known,
              std::vector<store::listed_vm> const& list)
{
    BOOST_LEAF_AUTO(rows, scan_all(port, listed_prefix));
    std::set<incarnation_id> once_listed;
    for (auto const& found : rows)
    {
        once_listed.insert({found.key.substr(sizeof listed_prefix - 1)});
    }
    for (auto const& vm : list)
    {
        incarnation_id const name{vm.incarnation};
        if (!known.active.contains(name) || once_listed.contains(name))
        {
            continue;
        }
        auto const key = listed_key(name);
        // The result does not matter: the next round finds the row or writes it
        // again.
        port.commit({{{key, 0}}, {{key, listed_value}}});
    }
    return once_listed;
}

std::vector<incarnation_id> intersection(std::set<incarnation_id> const& one,
                                         std::set<incarnation_id> const& other)
{
    std::vector<incarnation_id> found;
    for (auto const& name : one)
    {
        if (other.contains(name))
        {
            found.push_back(name);
        }
    }
    return found;
}

} // namespace

result<sweep_report> sweep(store::port const& port, death_watch watch,
                           duration list_lag, instant now)
{
    BOOST_LEAF_AUTO(known, read_holders(port));
    BOOST_LEAF_AUTO(list, port.list_vms());
    BOOST_LEAF_AUTO(once_listed, record_listed(port, known, list));
    auto step =
        check_vm_list(std::move(watch), intersection(known.active, once_listed),
                      list, list_lag, now);
    for (auto const& name : known.fenced)
    {
        step.proofs.push_back({name, proof_kind::absent_after_listed});
    }
    sweep_report report;
    report.watch = std::move(step.watch);
    for (auto const& proof : step.proofs)
    {
        BOOST_LEAF_AUTO(shares, recover(port, proof));
        report.recovered.insert(report.recovered.end(), shares.begin(),
                                shares.end());
    }
    return report;
}

} // namespace caperpath::budget
