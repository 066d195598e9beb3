#include "load/report.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace caperpath::load
{

namespace
{

using nlohmann::json;

constexpr int name_width = 24;
constexpr int cell_width = 10;
constexpr std::int64_t ms_per_second = 1'000;

json to_object(percentiles const& read)
{
    return {{"count", read.count},
            {"p50_ms", read.p50_ms},
            {"p95_ms", read.p95_ms},
            {"p99_ms", read.p99_ms},
            {"max_ms", read.max_ms}};
}

json to_object(totals const& sums)
{
    return {{"requests", sums.requests},
            {"endings", sums.endings},
            {"refusals", sums.refusals},
            {"outcomes", sums.outcomes},
            {"attempts", sums.attempts},
            {"cut_attempts", sums.cut_attempts},
            {"prompt_tokens", sums.prompt_tokens},
            {"completion_tokens", sums.completion_tokens}};
}

json to_object(order_result const& order)
{
    return {{"key", order.key},
            {"customer", order.customer},
            {"outcome", order.outcome},
            {"status", order.status},
            {"attempts", order.attempts}};
}

std::int64_t count_of(totals const& sums, ending kind)
{
    auto const found = sums.endings.find(std::string{to_string(kind)});
    return found == sums.endings.end() ? 0 : found->second;
}

// Aligns the first cell to the left and the others to the right.
std::string table_row(std::vector<std::string> const& cells)
{
    std::ostringstream line;
    line << std::left << std::setw(name_width) << cells.front() << std::right;
    for (std::size_t i = 1; i < cells.size(); ++i)
    {
        line << ' ' << std::setw(cell_width) << cells[i];
    }
    line << '\n';
    return line.str();
}

std::string totals_row(std::string const& name, totals const& sums)
{
    auto const count = [&](ending kind)
    {
        return std::to_string(count_of(sums, kind));
    };
    return table_row(
        {name, std::to_string(sums.requests), count(ending::completed),
         count(ending::refused), count(ending::cut), count(ending::wrong),
         count(ending::unanswered), std::to_string(sums.attempts),
         std::to_string(sums.prompt_tokens + sums.completion_tokens)});
}

std::string one_decimal(double number)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << number;
    return text.str();
}

std::string latency_row(char const* name, percentiles const& read)
{
    return table_row({name, std::to_string(read.count),
                      one_decimal(read.p50_ms), one_decimal(read.p95_ms),
                      one_decimal(read.p99_ms), one_decimal(read.max_ms)});
}

std::string counts_line(char const* title,
                        std::map<std::string, std::int64_t> const& counts)
{
    std::string line{title};
    line += ':';
    for (auto const& [name, count] : counts)
    {
        line += " " + name + "=" + std::to_string(count);
    }
    return line + (counts.empty() ? " none\n" : "\n");
}

} // namespace

json to_json(results const& read)
{
    json object{{"total", to_object(read.all)},
                {"customers", json::object()},
                {"first_token", to_object(read.first_token)},
                {"token_gap", to_object(read.token_gap)},
                {"short_answer", to_object(read.short_answer)},
                {"order", to_object(read.order)},
                {"start_lag", to_object(read.start_lag)},
                {"orders", json::array()}};
    for (auto const& [name, sums] : read.customers)
    {
        object["customers"][name] = to_object(sums);
    }
    for (auto const& order : read.orders)
    {
        object["orders"].push_back(to_object(order));
    }
    return object;
}

std::string to_json_line(scenario const& plan, record const& one)
{
    auto const& sender = plan.customers[one.customer];
    json const object{{"key", one.key},
                      {"request_id", one.request_id},
                      {"customer", sender.name},
                      {"kind", to_string(sender.kind)},
                      {"ending", to_string(one.end)},
                      {"status", one.status},
                      {"code", one.code},
                      {"outcome", one.outcome},
                      {"attempts", one.attempts},
                      {"cut_attempts", one.cut_attempts},
                      {"prompt_tokens", one.prompt_tokens},
                      {"completion_tokens", one.completion_tokens},
                      {"first_token_us", one.first_token_us},
                      {"total_us", one.total_us}};
    return object.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string to_table(results const& read)
{
    auto text = table_row({"customer", "requests", "completed", "refused",
                           "cut", "wrong", "unanswered", "attempts", "tokens"});
    for (auto const& [name, sums] : read.customers)
    {
        text += totals_row(name, sums);
    }
    text += totals_row("all", read.all) + "\n";
    text += table_row({"milliseconds", "count", "p50", "p95", "p99", "max"});
    text += latency_row("first token", read.first_token);
    text += latency_row("token gap", read.token_gap);
    text += latency_row("short answer", read.short_answer);
    text += latency_row("order", read.order);
    text += latency_row("start lag of the tool", read.start_lag);
    text += "\n" + counts_line("refused by code", read.all.refusals);
    text += counts_line("outcomes told", read.all.outcomes);
    text += "cut attempts: " + std::to_string(read.all.cut_attempts) + "\n";
    return text;
}

std::string progress_line(results const& read, duration elapsed)
{
    std::ostringstream line;
    line << elapsed.ms / ms_per_second << "s";
    line << " ended=" << read.all.requests;
    line << " completed=" << count_of(read.all, ending::completed);
    line << " refused=" << count_of(read.all, ending::refused);
    line << " wrong=" << count_of(read.all, ending::wrong) << '\n';
    return line.str();
}

} // namespace caperpath::load
