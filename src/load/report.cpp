#include "load/report.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace caperpath::load
{

namespace
{

using nlohmann::json;

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

template <class... Values>
std::string format(char const* pattern, Values... values)
{
    char text[256];
    std::snprintf(text, sizeof text, pattern, values...);
    return text;
}

std::string totals_row(std::string const& name, totals const& sums)
{
    auto const count = [&](ending kind)
    {
        return static_cast<long long>(count_of(sums, kind));
    };
    return format(
        "%-24.24s %8lld %9lld %7lld %5lld %5lld %10lld %9lld %9lld\n",
        name.c_str(), static_cast<long long>(sums.requests),
        count(ending::completed), count(ending::refused), count(ending::cut),
        count(ending::wrong), count(ending::unanswered),
        static_cast<long long>(sums.attempts),
        static_cast<long long>(sums.prompt_tokens + sums.completion_tokens));
}

std::string latency_row(char const* name, percentiles const& read)
{
    return format("%-24s %8lld %9.1f %9.1f %9.1f %9.1f\n", name,
                  static_cast<long long>(read.count), read.p50_ms, read.p95_ms,
                  read.p99_ms, read.max_ms);
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
                {"short_answer", to_object(read.whole)},
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
    auto text = format("%-24s %8s %9s %7s %5s %5s %10s %9s %9s\n", "customer",
                       "requests", "completed", "refused", "cut", "wrong",
                       "unanswered", "attempts", "tokens");
    for (auto const& [name, sums] : read.customers)
    {
        text += totals_row(name, sums);
    }
    text += totals_row("all", read.all);
    text += format("\n%-24s %8s %9s %9s %9s %9s\n", "milliseconds", "count",
                   "p50", "p95", "p99", "max");
    text += latency_row("first token", read.first_token);
    text += latency_row("token gap", read.token_gap);
    text += latency_row("short answer", read.whole);
    text += latency_row("order", read.order);
    text += latency_row("start lag of the tool", read.start_lag);
    text += "\n" + counts_line("refused by code", read.all.refusals);
    text += counts_line("outcomes told", read.all.outcomes);
    text += "cut attempts: " + std::to_string(read.all.cut_attempts) + "\n";
    return text;
}

std::string progress_line(results const& read, duration elapsed)
{
    return format("%llds ended=%lld completed=%lld refused=%lld wrong=%lld\n",
                  static_cast<long long>(elapsed.ms / 1'000),
                  static_cast<long long>(read.all.requests),
                  static_cast<long long>(count_of(read.all, ending::completed)),
                  static_cast<long long>(count_of(read.all, ending::refused)),
                  static_cast<long long>(count_of(read.all, ending::wrong)));
}

} // namespace caperpath::load
