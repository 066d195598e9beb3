#ifndef CAPERPATH_SRC_REQUEST_CLAIM_LOOKUP_HPP
#define CAPERPATH_SRC_REQUEST_CLAIM_LOOKUP_HPP

#include <caperpath/request/claim_state.hpp>
#include <caperpath/store/table.hpp>

#include <optional>
#include <string>
#include <vector>

namespace caperpath::request
{

/// Returns the row with `key` in `rows`, or null. Thread safe.
store::row const* find_row(std::vector<store::row> const& rows,
                           std::string const& key);

/// Returns the claim of `request` as read in `rows`. Empty if its row cannot be
/// decoded; then no decision may be based on it. Thread safe.
std::optional<claim_snapshot> find_claim(std::vector<store::row> const& rows,
                                         request_id const& request);

} // namespace caperpath::request

#endif
