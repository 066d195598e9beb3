#ifndef CAPERPATH_SRC_REQUEST_CLAIM_LOOKUP_HPP
#define CAPERPATH_SRC_REQUEST_CLAIM_LOOKUP_HPP

#include <caperpath/request/claim_state.hpp>
#include <caperpath/store/table.hpp>

#include <optional>
#include <string>
#include <vector>

namespace caperpath::request
{

/// The row of `key` among `rows`, or null. Thread safe.
store::row const* find_row(std::vector<store::row> const& rows,
                           std::string const& key);

/// The claim of `request` as `rows` show it. Empty when its row cannot be
/// understood: nothing may be decided on it. Thread safe.
std::optional<seen_claim> seen_in(std::vector<store::row> const& rows,
                                  request_id const& request);

} // namespace caperpath::request

#endif
