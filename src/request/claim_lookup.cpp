#include "claim_lookup.hpp"

#include <caperpath/base/error.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace caperpath::request
{

store::row const* find_row(std::vector<store::row> const& rows,
                           std::string const& key)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(),
                     [&key](auto const& row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

std::optional<claim_snapshot> find_claim(std::vector<store::row> const& rows,
                                         request_id const& request)
{
    auto const* const found = find_row(rows, claim_key(request));
    if (found == nullptr || found->version == 0)
    {
        return claim_snapshot{};
    }
    auto decoded = value_or_error([&] { return decode_claim(found->value); });
    if (auto* const row = std::get_if<claim_row>(&decoded))
    {
        return claim_snapshot{std::move(*row), found->version, false};
    }
    return std::nullopt;
}

} // namespace caperpath::request
