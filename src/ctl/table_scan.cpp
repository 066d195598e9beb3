#include "ctl/table_scan.hpp"

namespace caperpath::ctl
{

namespace
{

constexpr std::size_t page_rows = 1'000;

} // namespace

result<std::vector<store::row>> scan_all(store::port const& port,
                                         std::string const& prefix)
{
    std::vector<store::row> all;
    std::string after;
    while (true)
    {
        BOOST_LEAF_AUTO(page, port.scan(prefix, after, page_rows));
        all.insert(all.end(), page.begin(), page.end());
        if (page.size() < page_rows)
        {
            return all;
        }
        after = page.back().key;
    }
}

} // namespace caperpath::ctl
