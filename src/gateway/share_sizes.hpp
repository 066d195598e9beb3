#ifndef CAPERPATH_SRC_GATEWAY_SHARE_SIZES_HPP
#define CAPERPATH_SRC_GATEWAY_SHARE_SIZES_HPP

#include <caperpath/budget/sizing.hpp>

namespace caperpath::gateway
{

/// How large the shares of this program are, and how often it looks at rows.
/// Thread safe.
budget::sizing share_sizes();

} // namespace caperpath::gateway

#endif
