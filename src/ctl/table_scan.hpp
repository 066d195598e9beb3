#ifndef CAPERPATH_SRC_CTL_TABLE_SCAN_HPP
#define CAPERPATH_SRC_CTL_TABLE_SCAN_HPP

#include <caperpath/platform/table.hpp>

#include <string>
#include <vector>

namespace caperpath::ctl
{

/// Every row whose key starts with `prefix`, page by page. Blocks.
result<std::vector<platform::row>> scan_all(platform::port const& port,
                                            std::string const& prefix);

} // namespace caperpath::ctl

#endif
