#ifndef CAPERPATH_SRC_CTL_FLEET_HPP
#define CAPERPATH_SRC_CTL_FLEET_HPP

#include "ctl/session.hpp"

#include <string>
#include <vector>

namespace caperpath::ctl
{

/// A VM of the platform's list and the health that its router reports.
/// Immutable value.
struct fleet_member
{
    store::listed_vm listed;
    nlohmann::json health; ///< null if the router did not respond
    std::string problem;   ///< why not

    friend bool operator==(fleet_member const&, fleet_member const&) = default;
};

/// Reads the VM list from the platform and `/healthz` from each VM. Blocks.
result<std::vector<fleet_member>> read_fleet(session& run);

} // namespace caperpath::ctl

#endif
