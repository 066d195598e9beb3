#include "ctl/fleet.hpp"
#include "ctl/table_scan.hpp"
#include "ctl/verbs.hpp"

#include <caperpath/budget/rows.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <variant>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

// The totals of one budget over the table's rows.
struct budget_sums
{
    token_count paid{};
    token_count granted{};
    token_count spent{};    ///< in the ledger
    token_count held{};     ///< of dead routers: neither proved nor released
    token_count stranded{}; ///< in shares of routers that no longer serve
};

using all_sums = std::map<std::string, budget_sums>;

// Splits the key "<prefix><budget>/<incarnation>" into budget and incarnation.
std::pair<std::string, std::string> split_key(std::string const& key,
                                              std::string const& prefix)
{
    auto const rest = key.substr(prefix.size());
    auto const slash = rest.rfind('/');
    if (slash == std::string::npos)
    {
        return {rest, ""};
    }
    return {rest.substr(0, slash), rest.substr(slash + 1)};
}

result<void> add_budgets(store::port const& port, all_sums& sums)
{
    auto const prefix = budget::budget_key({});
    BOOST_LEAF_AUTO(rows, scan_all(port, prefix));
    for (auto const& row : rows)
    {
        BOOST_LEAF_AUTO(budget, budget::decode_budget(row.value));
        auto& one = sums[split_key(row.key, prefix).first];
        one.paid = budget.paid;
        one.granted = budget.granted;
    }
    return {};
}

result<void> add_spent(store::port const& port, all_sums& sums)
{
    BOOST_LEAF_AUTO(rows, scan_all(port, budget::spent_key({})));
    for (auto const& row : rows)
    {
        BOOST_LEAF_AUTO(spent, budget::decode_spent(row.value));
        for (auto const& [id, tokens] : spent.spent)
        {
            sums[id.value].spent += tokens;
        }
    }
    return {};
}

result<void> add_held(store::port const& port, all_sums& sums)
{
    std::string const prefix = "held/";
    BOOST_LEAF_AUTO(rows, scan_all(port, prefix));
    for (auto const& row : rows)
    {
        BOOST_LEAF_AUTO(held, budget::decode_held(row.value));
        sums[split_key(row.key, prefix).first].held +=
            held.released ? 0 : held.tokens;
    }
    return {};
}

result<std::set<std::string>> active_routers(store::port const& port)
{
    std::set<std::string> active;
    auto const prefix = budget::holder_key({});
    BOOST_LEAF_AUTO(rows, scan_all(port, prefix));
    for (auto const& row : rows)
    {
        BOOST_LEAF_AUTO(holder, budget::decode_holder(row.value));
        if (holder.state == budget::holder_state::active)
        {
            active.insert(row.key.substr(prefix.size()));
        }
    }
    return active;
}

result<void> add_stranded(store::port const& port, all_sums& sums)
{
    BOOST_LEAF_AUTO(active, active_routers(port));
    std::string const prefix = "share/";
    BOOST_LEAF_AUTO(rows, scan_all(port, prefix));
    for (auto const& row : rows)
    {
        auto const [holder, budget] = split_key(row.key, prefix);
        BOOST_LEAF_AUTO(share, budget::decode_share(row.value));
        sums[budget].stranded += active.contains(holder) ? 0 : share.granted;
    }
    return {};
}

result<all_sums> read_sums(store::port const& port)
{
    all_sums sums;
    BOOST_LEAF_CHECK(add_budgets(port, sums));
    BOOST_LEAF_CHECK(add_spent(port, sums));
    BOOST_LEAF_CHECK(add_held(port, sums));
    BOOST_LEAF_CHECK(add_stranded(port, sums));
    return sums;
}

// Adds the counters of one router's /metrics that a report shows to `sums`.
void add_counters(std::string const& text, std::map<std::string, double>& sums)
{
    std::istringstream lines{text};
    std::string line;
    while (std::getline(lines, line))
    {
        auto const space = line.rfind(' ');
        if (space == std::string::npos ||
            (!line.starts_with("caperpath_requests_total") &&
             !line.starts_with("caperpath_refusals_total")))
        {
            continue;
        }
        std::istringstream number{line.substr(space + 1)};
        double value = 0;
        if (number >> value)
        {
            sums[line.substr(0, space)] += value;
        }
    }
}

std::map<std::string, double>
read_counters(session& run, std::vector<fleet_member> const& members,
              std::vector<std::string>& unreachable)
{
    std::map<std::string, double> sums;
    for (auto const& member : members)
    {
        auto const address = member.listed.address;
        auto const response =
            member.health.is_object()
                ? value_or_error([&]
                                 { return run.call(address, "/metrics", ""); })
                : std::variant<http_response, error>{error{}};
        if (auto const* got = std::get_if<http_response>(&response))
        {
            add_counters(got->body, sums);
            continue;
        }
        unreachable.push_back(address);
    }
    return sums;
}

std::vector<std::vector<std::string>>
make_table(all_sums const& sums, std::map<std::string, double> const& counters,
           std::vector<std::string> const& unreachable)
{
    std::vector<std::vector<std::string>> table{{"BUDGET", "PAID", "GRANTED",
                                                 "SPENT", "OVERSPEND", "HELD",
                                                 "STRANDED"}};
    for (auto const& [name, one] : sums)
    {
        auto const over = std::max<token_count>(0, one.spent - one.paid);
        table.push_back({name, std::to_string(one.paid),
                         std::to_string(one.granted), std::to_string(one.spent),
                         std::to_string(over), std::to_string(one.held),
                         std::to_string(one.stranded)});
    }
    for (auto const& [name, value] : counters)
    {
        table.push_back({name, std::to_string(static_cast<long long>(value))});
    }
    for (auto const& address : unreachable)
    {
        table.push_back({"not counted, no answer:", address});
    }
    return table;
}

json make_json(all_sums const& sums,
               std::map<std::string, double> const& counters,
               std::vector<std::string> const& unreachable)
{
    json budgets = json::object();
    for (auto const& [name, one] : sums)
    {
        budgets[name] = {
            {"paid", one.paid},
            {"granted", one.granted},
            {"spent", one.spent},
            {"overspend", std::max<token_count>(0, one.spent - one.paid)},
            {"held", one.held},
            {"stranded", one.stranded}};
    }
    return {{"budgets", budgets},
            {"counters", counters},
            {"routers_not_counted", unreachable}};
}

int report(session& run)
{
    auto const sums = value_or_error([&] { return read_sums(run.port); });
    if (auto const* problem = std::get_if<error>(&sums))
    {
        return print_error(run, *problem, false);
    }
    auto const members = value_or_error([&] { return read_fleet(run); });
    if (auto const* problem = std::get_if<error>(&members))
    {
        return print_error(run, *problem, false);
    }
    std::vector<std::string> unreachable;
    auto const counters = read_counters(run, std::get<0>(members), unreachable);
    auto const& budgets = std::get<all_sums>(sums);
    print(run, make_json(budgets, counters, unreachable),
          make_table(budgets, counters, unreachable));
    return exit_ok;
}

} // namespace

void add_report(CLI::App& app, session& run)
{
    add_watched_verb(app, run, "report",
                     "overspend, refusals, unknown outcomes, stranded tokens",
                     [&run] { return report(run); });
}

} // namespace caperpath::ctl
