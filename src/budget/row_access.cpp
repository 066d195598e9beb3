#include "row_access.hpp"

#include <algorithm>

namespace caperpath::budget
{

namespace
{

constexpr std::size_t page_size = 500;

} // namespace

store::row find_row(std::vector<store::row> const& rows, std::string const& key)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(),
                     [&key](store::row const& one) { return one.key == key; });
    return found == rows.end() ? store::row{key, 0, ""} : *found;
}

result<std::vector<store::row>> scan_all(store::port const& port,
                                         std::string const& prefix)
{
    std::vector<store::row> all;
    for (;;)
    {
        auto const after = all.empty() ? std::string{} : all.back().key;
        BOOST_LEAF_AUTO(page, port.scan(prefix, after, page_size));
        all.insert(all.end(), page.begin(), page.end());
        if (page.size() < page_size)
        {
            return all;
        }
    }
}

bool rejected_without_conflict(store::commit_result const& outcome)
{
    return outcome.outcome == store::commit_outcome::rejected &&
           outcome.failed.empty();
}

} // namespace caperpath::budget
