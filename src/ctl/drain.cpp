#include "ctl/fleet.hpp"
#include "ctl/verbs.hpp"

#include <CLI/CLI.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace caperpath::ctl
{

namespace
{

// Returns the running incarnation as the router itself reports it: the
// platform's list may lag and still show the previous one.
std::optional<incarnation_id> incarnation_of(fleet_member const& member)
{
    if (!member.health.is_object())
    {
        return std::nullopt;
    }
    auto const found = member.health.find("incarnation");
    if (found == member.health.end() || !found->is_string())
    {
        return std::nullopt;
    }
    return incarnation_id{found->get<std::string>()};
}

result<incarnation_id> find_router(session& run, std::string const& name)
{
    BOOST_LEAF_AUTO(members, read_fleet(run));
    for (auto const& member : members)
    {
        if (member.listed.vm != name && member.listed.address != name)
        {
            continue;
        }
        if (auto const found = incarnation_of(member))
        {
            return *found;
        }
        return fail({error_kind::unavailable, "drain", member.listed.address,
                     "the router reports no incarnation: " + member.problem});
    }
    return fail({error_kind::not_found, "drain", "platform",
                 "no VM is listed under " + name});
}

int drain(session& run, std::string const& name)
{
    auto const found = value_or_error([&] { return find_router(run, name); });
    if (auto const* problem = std::get_if<error>(&found))
    {
        return print_error(run, *problem, false,
                           "see caperpathctl fleet; a router that cannot be "
                           "reached is drained by replacing its VM");
    }
    auto const& router = std::get<incarnation_id>(found);
    auto const outcome =
        config::command_drain(run.port, router, run.author, run.wall.now());
    if (outcome.outcome != store::commit_outcome::applied)
    {
        return print_error(run, outcome.fault, true,
                           "repeat the command; a second drain is harmless");
    }
    print(run, {{"draining", router.value}}, {{"draining", router.value}});
    return exit_ok;
}

} // namespace

void add_drain(CLI::App& app, session& run)
{
    auto const name = std::make_shared<std::string>();
    auto* verb = add_verb(app, run, "drain",
                          "stop a router without cutting off responses",
                          [&run, name] { return drain(run, *name); });
    verb->add_option("ROUTER", *name, "VM or IP:port")->required();
}

} // namespace caperpath::ctl
