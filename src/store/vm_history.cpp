#include "store/vm_history.hpp"

#include <iterator>
#include <utility>

namespace caperpath::store
{

vm_history::vm_history(std::vector<listed_vm> vms) : first{std::move(vms)}
{
}

bool vm_history::change(instant now, std::string const& vm,
                        std::optional<listed_vm> const& added)
{
    auto changed = this->at(now);
    auto const removed = std::erase_if(changed, [&](auto const& listed)
                                       { return listed.vm == vm; });
    if (added)
    {
        changed.push_back(*added);
    }
    this->changes[now] = std::move(changed);
    return removed > 0;
}

std::vector<listed_vm> vm_history::at(instant when) const
{
    auto const next = this->changes.upper_bound(when);
    return next == this->changes.begin() ? this->first
                                         : std::prev(next)->second;
}

} // namespace caperpath::store
