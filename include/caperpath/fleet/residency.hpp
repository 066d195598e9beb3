#ifndef CAPERPATH_FLEET_RESIDENCY_HPP
#define CAPERPATH_FLEET_RESIDENCY_HPP

#include <caperpath/base/id.hpp>
#include <caperpath/fleet/site.hpp>

#include <map>
#include <optional>
#include <vector>

/// Keeps requests in the regions that their route and their customer allow.
/// Pure.
namespace caperpath::fleet
{

/// The regions where a request may be processed; no value: in any. An empty
/// list allows none.
using residency = std::optional<std::vector<region_id>>;

/// The regions that both the route and the customer allow. `payer` is null for
/// requests without a customer. Thread safe.
residency residency_of(route const& from, customer const* payer);

/// True if the request may be processed in `region`, which is empty if it is
/// not known. Thread safe.
bool allows_region(residency const& allowed, region_id const& region);

/// The region of each failure domain.
using region_map = std::map<failure_domain_id, region_id>;

/// True if other routers may forward the request: none of them is in another
/// region than `region`, which is allowed. Thread safe.
bool may_relay(residency const& allowed, region_map const& regions,
               region_id const& region);

} // namespace caperpath::fleet

#endif
