#ifndef CAPERPATH_SRC_FLEET_PLACEMENT_CHECKS_HPP
#define CAPERPATH_SRC_FLEET_PLACEMENT_CHECKS_HPP

#include <caperpath/fleet/placement.hpp>

namespace caperpath::fleet
{

/// True if the server has the software version that the request needs. Thread
/// safe.
bool fits_version(server const& target, placement_request const& item);

/// True if the request may begin at the server's version, if it fits. Thread
/// safe.
bool may_begin_at(server const& target, placement_request const& item);

} // namespace caperpath::fleet

#endif
