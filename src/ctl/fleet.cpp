#include "ctl/fleet.hpp"

#include <caperpath/base/http_status.hpp>

#include "ctl/verbs.hpp"

#include <CLI/CLI.hpp>

#include <variant>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

fleet_member read_health(session& run, store::listed_vm const& vm)
{
    fleet_member member{vm, {}, ""};
    if (!config::is_address(vm.address))
    {
        member.problem = "no numeric address in the list";
        return member;
    }
    auto const response =
        value_or_error([&] { return run.call(vm.address, "/healthz", ""); });
    if (auto const* problem = std::get_if<error>(&response))
    {
        member.problem = problem->detail;
        return member;
    }
    auto const& got = std::get<http_response>(response);
    member.health = json::parse(got.body, nullptr, false);
    if (got.status != http_ok || !member.health.is_object())
    {
        member.problem = "status " + std::to_string(got.status);
        member.health = nullptr;
    }
    return member;
}

std::string health_text(fleet_member const& member, std::string const& key)
{
    if (!member.health.is_object() || !member.health.contains(key))
    {
        return "?";
    }
    auto const& value = member.health[key];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

int show_fleet(session& run)
{
    auto const read = value_or_error([&] { return read_fleet(run); });
    if (auto const* problem = std::get_if<error>(&read))
    {
        return print_error(run, *problem, false);
    }
    json value = json::array();
    std::vector<std::vector<std::string>> table{
        {"VM", "ADDRESS", "FAILURE_DOMAIN", "LISTED", "INCARNATION", "VERSION",
         "READY", "PROBLEM"}};
    for (auto const& member : std::get<0>(read))
    {
        auto const& vm = member.listed;
        value.push_back({{"vm", vm.vm},
                         {"address", vm.address},
                         {"failure_domain", vm.failure_domain},
                         {"listed_incarnation", vm.incarnation},
                         {"state", vm.state},
                         {"health", member.health},
                         {"problem", member.problem}});
        table.push_back({vm.vm, vm.address, vm.failure_domain, vm.state,
                         health_text(member, "incarnation"),
                         health_text(member, "config_version"),
                         health_text(member, "ready"), member.problem});
    }
    print(run, {{"vms", value}}, table);
    return exit_ok;
}

} // namespace

result<std::vector<fleet_member>> read_fleet(session& run)
{
    BOOST_LEAF_AUTO(vms, run.port.list_vms());
    std::vector<fleet_member> members;
    members.reserve(vms.size());
    for (auto const& vm : vms)
    {
        members.push_back(read_health(run, vm));
    }
    return members;
}

void add_fleet(CLI::App& app, session& run)
{
    add_watched_verb(app, run, "fleet",
                     "VMs, incarnations, versions in force, draining",
                     [&run] { return show_fleet(run); });
}

} // namespace caperpath::ctl
