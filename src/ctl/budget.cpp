#include "ctl/verbs.hpp"

#include "ctl/table_scan.hpp"

#include <caperpath/budget/recovery.hpp>
#include <caperpath/budget/rows.hpp>
#include <caperpath/config/codec.hpp>

#include <CLI/CLI.hpp>

#include <limits>
#include <memory>
#include <variant>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

struct budget_options
{
    std::string name;
    std::string policy{"overspend_first"};
    std::string id;
    token_count tokens{};
};

// A budget and its active shares, as stored in the table.
struct budget_account
{
    budget::budget_row row;
    std::vector<std::pair<std::string, budget::share_row>> shares;
};

result<budget_account> read_account(store::port const& port,
                                    budget_id const& budget)
{
    budget_account account;
    BOOST_LEAF_AUTO(rows, port.read({budget::budget_key(budget)}));
    if (!rows.empty())
    {
        BOOST_LEAF_ASSIGN(account.row,
                          budget::decode_budget(rows.front().value));
    }
    BOOST_LEAF_AUTO(holders, budget::active_holders(port));
    for (auto const& [incarnation, holder] : holders)
    {
        auto const key = budget::share_key(budget, incarnation);
        BOOST_LEAF_AUTO(found, port.read({key}));
        if (!found.empty())
        {
            BOOST_LEAF_AUTO(share, budget::decode_share(found.front().value));
            account.shares.emplace_back(incarnation.value, share);
        }
    }
    return account;
}

int create_budget(session& run, budget_options const& options)
{
    auto const make = [&](config::document const& document)
    {
        wanted_patch wanted;
        // With an id this may be a retry, which the store recognises.
        if (options.id.empty() &&
            document.budgets.contains(budget_id{options.name}))
        {
            wanted.faults.push_back(
                {"/budgets/" + options.name, "this budget exists already"});
        }
        wanted.patch = {
            {"budgets", {{options.name, {{"policy", options.policy}}}}}};
        return wanted;
    };
    return patch_current(run, options.id, make);
}

int show_budget(session& run, std::string const& name)
{
    auto const read =
        value_or_error([&] { return read_account(run.port, {name}); });
    if (auto const* problem = std::get_if<error>(&read))
    {
        return print_error(run, *problem, false);
    }
    auto const& account = std::get<budget_account>(read);
    auto const left = account.row.paid - account.row.granted;
    json shares = json::object();
    std::vector<std::vector<std::string>> table{
        {"budget", name},
        {"paid", std::to_string(account.row.paid)},
        {"granted", std::to_string(account.row.granted)},
        {"not granted", std::to_string(left)}};
    for (auto const& [holder, share] : account.shares)
    {
        shares[holder] = share.granted;
        table.push_back({"share of " + holder, std::to_string(share.granted)});
    }
    print(run,
          {{"budget", name},
           {"paid", account.row.paid},
           {"granted", account.row.granted},
           {"not_granted", left},
           {"shares", shares}},
          table);
    return exit_ok;
}

int check_top_up(session& run, budget_options const& options)
{
    auto const document = current_document(run);
    if (!document)
    {
        return run.code;
    }
    std::vector<config::fault> faults;
    if (!document->budgets.contains(budget_id{options.name}))
    {
        std::vector<std::string> known;
        for (auto const& [id, budget] : document->budgets)
        {
            known.push_back(id.value);
        }
        auto const nearest = config::nearest_name(options.name, known);
        faults.push_back(
            {"NAME", "no such budget" + (nearest.empty()
                                             ? std::string{}
                                             : ", did you mean " + nearest)});
    }
    if (!config::is_name(options.id))
    {
        faults.push_back(
            {"--id", "expected 1 to 64 letters, digits, '.', '_' and '-'"});
    }
    return faults.empty() ? exit_ok : print_faults(run, faults);
}

int top_up(session& run, budget_options const& options)
{
    auto const checked = check_top_up(run, options);
    if (checked != exit_ok)
    {
        return checked;
    }
    auto const paid = value_or_error(
        [&]
        {
            return budget::top_up(run.port, {options.name}, options.id,
                                  options.tokens);
        });
    if (auto const* total = std::get_if<0>(&paid))
    {
        print(run,
              {{"budget", options.name}, {"id", options.id}, {"paid", *total}},
              {{"paid", std::to_string(*total)}});
        return exit_ok;
    }
    return print_error(run, std::get<error>(paid), true);
}

} // namespace

void add_budget(CLI::App& app, session& run)
{
    auto* group = app.add_subcommand("budget", "budgets and their payments");
    group->require_subcommand(1);
    group->fallthrough();
    auto const options = std::make_shared<budget_options>();
    auto* create =
        add_verb(*group, run, "create", "create a budget of 0 tokens",
                 [&run, options] { return create_budget(run, *options); });
    create->add_option("NAME", options->name)->required();
    create->add_option("--policy", options->policy,
                       "overspend_first or false_refusals_first");
    create->add_option("--id", options->id,
                       "id of this patch, for a safe retry");
    auto* show = add_watched_verb(*group, run, "show", "paid, granted, shares",
                                  [&run, options]
                                  { return show_budget(run, options->name); });
    show->add_option("NAME", options->name)->required();
    auto* raise =
        add_verb(*group, run, "top-up", "add paid tokens, once per id",
                 [&run, options] { return top_up(run, *options); });
    raise->add_option("NAME", options->name)->required();
    raise->add_option("TOKENS", options->tokens)
        ->required()
        ->check(CLI::Range(token_count{1},
                           std::numeric_limits<token_count>::max()));
    raise
        ->add_option("--id", options->id, "id of the payment, for a safe retry")
        ->required();
}

} // namespace caperpath::ctl
