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

constexpr auto max_int64 = std::numeric_limits<std::int64_t>::max();

constexpr std::int64_t ms_per_second = 1'000;
constexpr std::string_view key_prefix = "spend/";

bool is_integer_array(nlohmann::json const& text, std::size_t count)
{
    return text.is_array() && text.size() == count &&
           std::all_of(text.begin(), text.end(),
                       [](auto const& one) { return one.is_number_integer(); });
}

/// The short form has two numbers: spent, per second. The long form, of a
/// router that moved tokens, adds: received, whether there is a share row,
/// given.
std::optional<spend_limit_curve> decode_limit(nlohmann::json const& text)
{
    constexpr std::size_t short_form = 2;
    constexpr std::size_t long_form = 5;
    auto const is_long_form = is_integer_array(text, long_form);
    if (!is_long_form && !is_integer_array(text, short_form))
    {
        return std::nullopt;
    }
    spend_limit_curve curve{text[0].get<token_count>(),
                            text[1].get<token_count>()};
    if (is_long_form)
    {
        curve.received = text[2].get<token_count>();
        curve.has_share = text[3].get<token_count>() != 0;
        curve.given = text[4].get<token_count>();
    }
    return curve;
}

nlohmann::json encode_limit(spend_limit_curve const& curve)
{
    if (curve.received == 0 && curve.has_share && curve.given == 0)
    {
        return {curve.spent, curve.per_second};
    }
    return {curve.spent, curve.per_second, curve.received,
            curve.has_share ? 1 : 0, curve.given};
}

token_count value_at(spend_limit_curve const& curve, std::int64_t ms_later)
{
    auto const rising = std::max<std::int64_t>(0, ms_later - flat_period.ms);
    return curve.spent + curve.per_second * rising / ms_per_second;
}

/// A lower bound on the store's time.
std::int64_t store_time(spend_journal const& journal, instant now)
{
    return journal.last_acknowledged
               ? journal.acknowledged_ms + (now - *journal.last_acknowledged).ms
               : 0;
}

/// The spend limit by `row`: the held tokens less those that a successor would
/// take over by it. A budget missing from the row counts as unspent, since its
/// share row may exist already.
token_count limit_by(spend_row const& row, budget_id const& budget,
                     held_tokens const& held, std::int64_t store_ms)
{
    auto const found = row.limits.find(budget);
    auto const curve =
        found == row.limits.end() ? spend_limit_curve{} : found->second;
    auto const successor_gets =
        held.granted + curve.received - value_at(curve, store_ms - row.at_ms);
    return held.granted + held.received -
           std::max<token_count>(0, successor_gets);
}

} // namespace

std::string spend_key(std::string const& vm)
{
    return std::string{key_prefix} + vm;
}

std::string encode(spend_row const& row)
{
    auto lines = nlohmann::json::object();
    for (auto const& [budget, curve] : row.limits)
    {
        lines[budget.value] = encode_limit(curve);
    }
    return nlohmann::json{{"router", row.router.value},
                          {"address", row.address},
                          {"at_ms", row.at_ms},
                          {"lines", std::move(lines)}}
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
    row.at_ms = reader.integer("at_ms", "milliseconds", 0, max_int64);
    reader.each_member(
        "lines",
        [&row, &faults](std::string const& name, nlohmann::json const& text,
                        std::string const& path)
        {
            auto const curve = decode_limit(text);
            if (!curve)
            {
                faults.push_back(
                    {path,
                     "expected tokens, tokens/s [, tokens, 0 or 1, tokens]"});
                return;
            }
            row.limits[{name}] = *curve;
        });
    if (!faults.empty())
    {
        return fail({error_kind::invalid, "decode spend row", "store",
                     faults.front().path + ": " + faults.front().detail});
    }
    return row;
}

token_count spend_limit(spend_journal const& journal, budget_id const& budget,
                        held_tokens const& held, instant now)
{
    if (journal.address_lost || !journal.last_acknowledged)
    {
        return 0;
    }
    auto const store_ms = store_time(journal, now);
    auto limit = limit_by(journal.written, budget, held, store_ms);
    if (journal.pending)
    {
        limit =
            std::min(limit, limit_by(*journal.pending, budget, held, store_ms));
    }
    return limit;
}

spend_row next_row(spend_journal const& journal,
                   std::map<budget_id, spend_limit_curve> const& wanted,
                   instant now)
{
    if (journal.pending)
    {
        return *journal.pending;
    }
    auto row = journal.written;
    row.at_ms = store_time(journal, now);
    row.limits = wanted;
    return row;
}

spend_journal sent(spend_journal journal, spend_row const& row)
{
    journal.pending = row;
    return journal;
}

spend_journal acknowledged(spend_journal journal, std::uint64_t version,
                           std::int64_t store_ms, instant now)
{
    if (journal.pending)
    {
        journal.written = *std::exchange(journal.pending, std::nullopt);
    }
    journal.version = version;
    journal.acknowledged_ms = store_ms;
    journal.last_acknowledged = now;
    return journal;
}

spend_journal found_own(spend_journal journal, spend_row const& row,
                        std::uint64_t version)
{
    journal.written = row;
    journal.version = version;
    journal.pending.reset();
    return journal;
}

std::optional<std::map<budget_id, spend_limit_curve>>
max_spent_by_dead(spend_row const& row, std::string const& own_address,
                  std::int64_t dead_ms)
{
    if (row.address != own_address || row.at_ms <= 0)
    {
        return std::nullopt;
    }
    auto const since = dead_ms - row.at_ms;
    auto const later =
        since + since / clock_margin_divisor + min_clock_margin.ms;
    std::map<budget_id, spend_limit_curve> all;
    for (auto const& [budget, curve] : row.limits)
    {
        auto& left = all[budget] = curve;
        left.spent = value_at(curve, later);
        left.per_second = 0;
    }
    return all;
}

} // namespace caperpath::budget
