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

/// The emulator's VM list over time, so that an earlier state can be returned.
/// Keeps every change. Not thread safe.
class vm_history
{
public:
    /// `vms` is the list before the first change.
    explicit vm_history(std::vector<listed_vm> vms);

    /// Removes `vm` from the list as of `now` and adds `added` if given.
    /// Returns whether `vm` was listed. @pre `now` never decreases.
    bool change(instant now, std::string const& vm,
                std::optional<listed_vm> const& added);

    std::vector<listed_vm> at(instant when) const;

private:
    std::vector<listed_vm> first;
    std::map<instant, std::vector<listed_vm>> changes;
};

} // namespace caperpath::store

#endif
