#ifndef CAPERPATH_SRC_CTL_FLEET_HPP
#define CAPERPATH_SRC_CTL_FLEET_HPP

#include "ctl/session.hpp"

#include <string>
#include <vector>

namespace caperpath::ctl
{

/// A VM of the platform's list and what its router says of itself. Immutable
/// value.
struct fleet_member
{
    store::listed_vm listed;
    nlohmann::json health; ///< null when the router did not answer
    std::string problem;   ///< why not

    friend bool operator==(fleet_member const&, fleet_member const&) = default;
};

/// Asks the platform for its list and each VM for `/healthz`. Blocks.
result<std::vector<fleet_member>> read_fleet(session& run);

} // namespace caperpath::ctl

#endif
