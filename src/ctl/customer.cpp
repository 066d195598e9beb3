#include "ctl/verbs.hpp"

#include <caperpath/config/codec.hpp>
#include <caperpath/config/keys.hpp>

#include <CLI/CLI.hpp>

#include <memory>
#include <ostream>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

struct customer_options
{
    std::string name;
    std::string budget;
    config::customer limits;
};

json describe(customer_id const& id, config::customer const& source)
{
    return {{"customer", id.value},
            {"budget", source.budget.value},
            {"keys", source.keys.size()},
            {"max_concurrent", source.max_concurrent},
            {"tokens_per_second", source.tokens_per_second},
            {"priority", source.priority}};
}

int list_customers(session& run)
{
    auto const document = current_document(run);
    if (!document)
    {
        return run.code;
    }
    json value = json::array();
    std::vector<std::vector<std::string>> table{
        {"CUSTOMER", "BUDGET", "KEYS", "PRIORITY"}};
    for (auto const& [id, customer] : document->customers)
    {
        value.push_back(describe(id, customer));
        table.push_back({id.value, customer.budget.value,
                         std::to_string(customer.keys.size()),
                         std::to_string(customer.priority)});
    }
    print(run, {{"version", document->version}, {"customers", value}}, table);
    return exit_ok;
}

int show_customer(session& run, std::string const& name)
{
    auto const document = current_document(run);
    if (!document)
    {
        return run.code;
    }
    auto const found = document->customers.find(customer_id{name});
    if (found == document->customers.end())
    {
        return print_error(run,
                           {error_kind::not_found, "show customer", "table",
                            "there is no customer " + name},
                           false, "see caperpathctl customer list");
    }
    auto const value = describe(found->first, found->second);
    std::vector<std::vector<std::string>> table;
    for (auto const& [key, member] : value.items())
    {
        table.push_back({key, member.is_string() ? member.get<std::string>()
                                                 : member.dump()});
    }
    print(run, value, table);
    return exit_ok;
}

json customer_json(customer_options const& options,
                   config::key_hash const& hash)
{
    return {
        {"keys", json::array({{{"salt", hash.salt}, {"sha256", hash.sha256}}})},
        {"budget", options.budget},
        {"max_concurrent", options.limits.max_concurrent},
        {"tokens_per_second", options.limits.tokens_per_second},
        {"priority", options.limits.priority}};
}

int create_customer(session& run, customer_options const& options)
{
    if (!config::is_name(options.name))
    {
        return print_faults(run, {{"NAME", "expected 1 to 64 letters, digits, "
                                           "'.', '_' and '-'"}});
    }
    customer_id const owner{options.name};
    auto const key =
        config::make_key(owner, run.random_bytes(config::secret_bytes));
    auto const hash =
        config::hash_key(key, run.random_bytes(config::salt_bytes));
    auto const make = [&](config::document const& document)
    {
        wanted_patch wanted;
        if (document.customers.contains(owner))
        {
            wanted.faults.push_back(
                {"/customers/" + options.name, "this customer exists already"});
        }
        wanted.patch = {
            {"customers", {{options.name, customer_json(options, hash)}}}};
        return wanted;
    };
    auto const code = patch_current(run, "", make, {{"key", key}});
    // Without this the key would be lost with the response although the
    // customer may exist.
    if (code == exit_unknown)
    {
        run.err << "if `customer show " << options.name
                << "` finds it, this is its key: " << key << '\n';
    }
    return code;
}

} // namespace

void add_customer(CLI::App& app, session& run)
{
    auto* group = app.add_subcommand("customer", "customers and their keys");
    group->require_subcommand(1);
    group->fallthrough();
    auto const options = std::make_shared<customer_options>();
    auto* create = add_verb(
        *group, run, "create", "create a customer and print its key, once",
        [&run, options] { return create_customer(run, *options); });
    create->add_option("NAME", options->name)->required();
    create->add_option("--budget", options->budget, "an existing budget")
        ->required();
    create->add_option("--max-concurrent", options->limits.max_concurrent,
                       "open requests in the whole fleet");
    create->add_option("--tokens-per-second", options->limits.tokens_per_second,
                       "tokens per second in the whole fleet");
    create->add_option("--priority", options->limits.priority,
                       "higher values go first");
    add_watched_verb(*group, run, "list", "all customers",
                     [&run] { return list_customers(run); });
    auto* show = add_watched_verb(
        *group, run, "show", "one customer",
        [&run, options] { return show_customer(run, options->name); });
    show->add_option("NAME", options->name)->required();
}

} // namespace caperpath::ctl
