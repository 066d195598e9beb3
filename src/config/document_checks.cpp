#include "config/document_checks.hpp"

#include <map>
#include <string>

namespace caperpath::config
{

namespace
{

template <class Id, class Value>
std::vector<std::string> names_of(std::map<Id, Value> const& source)
{
    std::vector<std::string> names;
    names.reserve(source.size());
    for (auto const& [id, value] : source)
    {
        names.push_back(id.value);
    }
    return names;
}

template <class Id, class Value>
void check_reference(std::map<Id, Value> const& targets,
                     std::string const& name, std::string const& path,
                     std::string const& what, std::vector<fault>& faults)
{
    if (targets.contains(Id{name}))
    {
        return;
    }
    auto const nearest = nearest_name(name, names_of(targets));
    auto const hint =
        nearest.empty() ? "" : ", did you mean \"" + nearest + "\"?";
    faults.push_back({path, "no such " + what + ": \"" + name + "\"" + hint});
}

void check_customers(document const& source, std::vector<fault>& faults)
{
    std::map<std::string, std::string> owners;
    for (auto const& [id, customer] : source.customers)
    {
        auto const path = "/customers/" + id.value;
        check_reference(source.budgets, customer.budget.value, path + "/budget",
                        "budget", faults);
        for (std::size_t i = 0; i < customer.keys.size(); ++i)
        {
            auto const at = path + "/keys/" + std::to_string(i);
            auto const [owner, inserted] =
                owners.emplace(customer.keys[i].sha256, at);
            if (!inserted)
            {
                faults.push_back({at, "same key as " + owner->second});
            }
        }
    }
}

void check_backend_servers(document const& source, std::vector<fault>& faults)
{
    std::map<std::string, std::string> owners;
    for (auto const& [id, server] : source.backend_servers)
    {
        auto const path = "/backend_servers/" + id.value;
        if (server.kind == backend_kind::engine)
        {
            check_reference(source.models, server.serves, path + "/serves",
                            "model", faults);
        }
        else
        {
            check_reference(source.services, server.serves, path + "/serves",
                            "service", faults);
        }
        auto const [owner, inserted] = owners.emplace(server.address, path);
        if (!inserted && !server.address.empty())
        {
            faults.push_back(
                {path + "/address", "same address as " + owner->second});
        }
    }
}

} // namespace

void check_references(document const& source, std::vector<fault>& faults)
{
    check_customers(source, faults);
    check_backend_servers(source, faults);
}

} // namespace caperpath::config
