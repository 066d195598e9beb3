#include <caperpath/budget/spend_journal.hpp>
#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr auto most = std::numeric_limits<std::int64_t>::max();

} // namespace

std::string spend_key(std::string const& vm)
{
    return "spend/" + vm;
}

std::string encode(spend_row const& row)
{
    auto ceilings = nlohmann::json::object();
    for (auto const& [budget, ceiling] : row.ceilings)
    {
        ceilings[budget.value] = ceiling;
    }
    return nlohmann::json{{"router", row.router.value},
                          {"address", row.address},
                          {"acknowledged_ms", row.acknowledged_ms},
                          {"ceilings", std::move(ceilings)}}
        .dump();
}

result<spend_row> decode_spend(std::string const& text)
{
    auto const value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        return fail({error_kind::invalid, "decode spend row", "store",
                     "the row is no JSON object"});
    }
    std::vector<config::fault> faults;
    config::json_reader reader{value, "", faults};
    spend_row row;
    row.router = {reader.text("router")};
    row.address = reader.text("address");
    row.acknowledged_ms =
        reader.whole("acknowledged_ms", "milliseconds", 0, most);
    reader.each_member("ceilings",
                       [&row, &faults](std::string const& name,
                                       nlohmann::json const& ceiling,
                                       std::string const& path)
                       {
                           if (!ceiling.is_number_integer())
                           {
                               faults.push_back({path, "expected tokens"});
                               return;
                           }
                           row.ceilings[{name}] = ceiling.get<token_count>();
                       });
    if (!faults.empty())
    {
        return fail({error_kind::invalid, "decode spend row", "store",
                     faults.front().path + ": " + faults.front().detail});
    }
    return row;
}

token_count spend_limit(spend_journal const& journal, budget_id const& budget,
                        token_count granted, instant now)
{
    if (journal.fenced || !journal.last_acknowledged)
    {
        return 0;
    }
    if (now - *journal.last_acknowledged >= deep_after)
    {
        return granted;
    }
    auto const found = journal.written.ceilings.find(budget);
    auto const ceiling =
        found == journal.written.ceilings.end() ? 0 : found->second;
    return std::min(granted, ceiling);
}

spend_row next_row(spend_journal const& journal,
                   std::map<budget_id, token_count> const& wanted)
{
    auto row = journal.written;
    row.acknowledged_ms = journal.acknowledged_ms;
    for (auto const& [budget, ceiling] : wanted)
    {
        auto& known = row.ceilings[budget];
        known = std::max(known, ceiling);
    }
    return row;
}

spend_journal acknowledged(spend_journal journal, spend_row const& row,
                           std::uint64_t version, std::int64_t store_ms,
                           instant now)
{
    journal.written = row;
    journal.version = version;
    journal.acknowledged_ms = store_ms;
    journal.last_acknowledged = now;
    return journal;
}

std::optional<std::map<budget_id, token_count>>
trusted_ceilings(spend_row const& of, std::string const& own_address,
                 std::int64_t read_ms)
{
    auto const in_time =
        of.acknowledged_ms > 0 &&
        read_ms - of.acknowledged_ms <= (deep_after - clock_margin).ms;
    if (of.address != own_address || !in_time)
    {
        return std::nullopt;
    }
    return of.ceilings;
}

} // namespace caperpath::budget
