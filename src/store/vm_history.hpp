#ifndef CAPERPATH_SRC_STORE_VM_HISTORY_HPP
#define CAPERPATH_SRC_STORE_VM_HISTORY_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/store/table.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::store
{

/// The stand-in's VM list over time, so that it can be shown as it was. Keeps
/// every change. Not thread safe.
class vm_history
{
public:
    /// `vms` is the list of all times before the first change.
    explicit vm_history(std::vector<listed_vm> vms);

    /// From `now` on the list is without `vm`, and with `added` if there is
    /// one. Returns whether `vm` was listed. @pre `now` never goes backwards.
    bool change(instant now, std::string const& vm,
                std::optional<listed_vm> const& added);

    std::vector<listed_vm> at(instant when) const;

private:
    std::vector<listed_vm> first;
    std::map<instant, std::vector<listed_vm>> changes;
};

} // namespace caperpath::store

#endif
