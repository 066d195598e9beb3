#include "ctl/verbs.hpp"

#include <caperpath/config/codec.hpp>

#include <CLI/CLI.hpp>

#include <memory>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

struct policy_options
{
    std::string policy;
    std::string id;
};

int list_policies(session& run)
{
    auto const document = current_document(run);
    if (!document)
    {
        return run.code;
    }
    json value = json::array();
    std::vector<std::vector<std::string>> table{{"POLICY", "IN FORCE"}};
    for (auto const& policy : config::routing_policies)
    {
        auto const in_force = policy == document->routing.policy;
        value.push_back({{"policy", policy}, {"in_force", in_force}});
        table.push_back({std::string{policy}, in_force ? "yes" : ""});
    }
    print(run, {{"version", document->version}, {"policies", value}}, table);
    return exit_ok;
}

int set_policy(session& run, policy_options const& options)
{
    auto const make = [&](config::document const&) -> wanted_patch
    {
        return {{{"routing", {{"policy", options.policy}}}}, {}};
    };
    return patch_current(run, options.id, make);
}

} // namespace

void add_policy(CLI::App& app, session& run)
{
    auto* group = app.add_subcommand("policy", "routing policies");
    group->require_subcommand(1);
    group->fallthrough();
    auto const options = std::make_shared<policy_options>();
    add_verb(*group, run, "list", "known policies and the one in force",
             [&run] { return list_policies(run); });
    auto* set = add_verb(*group, run, "set", "change the routing policy",
                         [&run, options] { return set_policy(run, *options); });
    set->add_option("POLICY", options->policy)->required();
    set->add_option("--id", options->id, "id of this patch, for a safe retry");
}

} // namespace caperpath::ctl
