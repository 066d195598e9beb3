#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/relay_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace caperpath::fleet
{

namespace
{

/// Number of routers that one router spreads its relayed requests over.
constexpr std::size_t preferred_relays = 3;

bool is_avoided(relay_table const& table, std::string const& address,
                service_id const& service, instant now)
{
    auto const found = table.avoided_until.find({address, service});
    return found != table.avoided_until.end() && now < found->second;
}

} // namespace

void set_relays(relay_table& table, std::vector<std::string> const& addresses,
                instant now)
{
    std::set<std::string> const live{addresses.begin(), addresses.end()};
    std::erase_if(table.left,
                  [&](auto const& each) { return live.contains(each.first); });
    for (auto const& [address, uses] : table.open)
    {
        if (!live.contains(address))
        {
            table.left.try_emplace(address, now);
        }
    }
    std::erase_if(table.left, [now](auto const& each)
                  { return now - each.second >= former_relay_time; });
    std::erase_if(table.open,
                  [&](auto const& each) {
                      return !live.contains(each.first) &&
                             !table.left.contains(each.first);
                  });
    for (auto const& address : live)
    {
        table.open.try_emplace(address, 0);
    }
    std::erase_if(table.avoided_until, [&](auto const& each)
                  { return !table.open.contains(each.first.first); });
}

void avoid_relay(relay_table& table, std::string const& address,
                 service_id const& service, instant now)
{
    table.avoided_until[{address, service}] = now + relay_avoidance;
}

std::optional<std::string> choose_relay(relay_table const& table,
                                        service_id const& service,
                                        std::string_view self,
                                        std::vector<std::string> const& tried,
                                        instant now)
{
    struct candidate
    {
        bool has_left{};
        std::uint64_t order{};
        std::int64_t open{};
        std::string const* address{};
    };
    std::vector<candidate> all;
    for (auto const& [address, open] : table.open)
    {
        if (!is_avoided(table, address, service, now) &&
            !is_avoided(table, address, {}, now) &&
            std::find(tried.begin(), tried.end(), address) == tried.end())
        {
            auto const pair = std::string{self} + "/" + address;
            all.push_back({table.left.contains(address), stable_hash(pair),
                           open, &address});
        }
    }
    auto const preferred =
        all.begin() +
        static_cast<std::ptrdiff_t>(std::min(all.size(), preferred_relays));
    std::partial_sort(all.begin(), preferred, all.end(),
                      [](candidate const& a, candidate const& b) {
                          return std::pair{a.has_left, a.order} <
                                 std::pair{b.has_left, b.order};
                      });
    auto const best =
        std::min_element(all.begin(), preferred,
                         [](candidate const& a, candidate const& b) {
                             return std::pair{a.has_left, a.open} <
                                    std::pair{b.has_left, b.open};
                         });
    return best == preferred ? std::nullopt : std::optional{*best->address};
}

} // namespace caperpath::fleet
