#ifndef CAPERPATH_SRC_GATEWAY_BUDGETS_SHARE_SIZES_HPP
#define CAPERPATH_SRC_GATEWAY_BUDGETS_SHARE_SIZES_HPP

#include <caperpath/budget/sizing.hpp>

namespace caperpath::gateway
{

/// Returns the sizes of this program's shares and its read intervals. Thread
/// safe.
budget::sizing share_sizes();

} // namespace caperpath::gateway

#endif
