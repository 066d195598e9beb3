#include <caperpath/fleet/site.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace caperpath::fleet
{

namespace
{

std::string host_key(std::string_view host)
{
    std::string key{host.substr(0, host.find(':'))};
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return key;
}

} // namespace

site::site(site_parts parts) : parts{std::move(parts)}
{
    auto const& routes = this->parts.routes;
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        this->routes_of_host[host_key(routes[i].host)].push_back(i);
    }
    auto const longer = [&routes](std::size_t a, std::size_t b)
    {
        return routes[a].prefix.size() > routes[b].prefix.size();
    };
    for (auto& [host, indexes] : this->routes_of_host)
    {
        std::stable_sort(indexes.begin(), indexes.end(), longer);
    }
    for (std::size_t i = 0; i < this->parts.customers.size(); ++i)
    {
        for (auto const& key : this->parts.customers[i].keys)
        {
            this->customer_of_key.emplace(key, i);
        }
    }
}

std::uint64_t site::version() const
{
    return this->parts.version;
}

caller_limits const& site::limits() const
{
    return this->parts.limits;
}

std::vector<route> const& site::routes() const
{
    return this->parts.routes;
}

std::vector<customer> const& site::customers() const
{
    return this->parts.customers;
}

std::map<service_id, warm_up_limit> site::warm_ups() const
{
    std::map<service_id, warm_up_limit> all;
    for (auto const& one : this->parts.services)
    {
        all[one.id] = one.warm_up;
    }
    return all;
}

route const* site::find_route(std::string_view host,
                              std::string_view path) const
{
    auto const found = this->routes_of_host.find(host_key(host));
    if (found == this->routes_of_host.end())
    {
        return nullptr;
    }
    for (auto const index : found->second)
    {
        if (path.starts_with(this->parts.routes[index].prefix))
        {
            return &this->parts.routes[index];
        }
    }
    return nullptr;
}

customer const* site::find_customer(std::string_view key) const
{
    auto const found = this->customer_of_key.find(std::string{key});
    return found == this->customer_of_key.end()
               ? nullptr
               : &this->parts.customers[found->second];
}

service const* site::find_service(service_id const& id) const
{
    auto const& all = this->parts.services;
    auto const found =
        std::find_if(all.begin(), all.end(),
                     [&id](service const& one) { return one.id == id; });
    return found == all.end() ? nullptr : &*found;
}

service_id const& choose_service(route const& from, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (auto const& one : from.services)
    {
        total +=
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, one.weight));
    }
    if (total == 0)
    {
        return from.services.front().service;
    }
    auto left = draw % total;
    for (auto const& one : from.services)
    {
        auto const weight =
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, one.weight));
        if (left < weight)
        {
            return one.service;
        }
        left -= weight;
    }
    return from.services.back().service;
}

} // namespace caperpath::fleet
