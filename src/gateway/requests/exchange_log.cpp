#include "gateway/requests/exchange.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

/// The log line of a request.
namespace caperpath::gateway
{

namespace
{

/// Where a request spent its time before its server got it.
void add_delay_fields(std::vector<log_field>& fields, exchange const& current)
{
    auto const& shared = current.shared;
    fields.push_back({"unread_ms", std::to_string(current.unread.ms)});
    fields.push_back(
        {"loop_delay_ms",
         std::to_string(longest_wait(shared.delay, shared.now.now()).ms)});
    if (current.sent_after)
    {
        fields.push_back({"sent_ms", std::to_string(current.sent_after->ms)});
    }
    if (current.left_unsent > 0)
    {
        fields.push_back({"unsent", std::to_string(current.left_unsent)});
    }
}

/// Tells a silent server from a late event loop and from a caller that does not
/// take its events, and how the connections ended.
void add_stream_fields(std::vector<log_field>& fields, exchange const& current)
{
    if (current.longest_gap.length > duration{0})
    {
        auto const& gap = current.longest_gap;
        fields.push_back({"gap_ms", std::to_string(gap.length.ms)});
        fields.push_back({"gap_loop_ms", std::to_string(gap.loop_delay.ms)});
        fields.push_back({"gap_unsent", std::to_string(gap.unsent)});
    }
    if (current.reason != "served" && current.possible_deliveries > 0)
    {
        fields.push_back({"server_end", current.server_end});
        fields.push_back({"caller_end", current.caller->end_detail()});
        fields.push_back(
            {"caller_unsent", std::to_string(current.caller->unsent())});
    }
}

} // namespace

// Estimates output tokens from complete events: each holds up to a known
// number of tokens. The total is capped at the requested output.
token_count used_tokens(exchange const& current)
{
    if (!current.prompt_started)
    {
        return 0;
    }
    auto const per_event = std::max<token_count>(
        1, current.service != nullptr ? current.service->tokens_per_event : 1);
    auto const output = std::min(current.work.output_tokens,
                                 current.events.events() * per_event);
    return current.work.prompt_tokens + output;
}

void log_request(exchange const& current)
{
    auto& shared = current.shared;
    auto const elapsed = shared.now.now() - current.arrived;
    shared.metrics.request_ended(current.reason, current.status);
    auto const weight =
        current.reason == "served" ? log_weight::routine : log_weight::notable;
    std::vector<log_field> fields{
        {"request", current.facts.id},
        {"reason", std::string{current.reason}},
        {"status", std::to_string(current.status)},
        {"route", current.route != nullptr ? current.route->name : ""},
        {"config",
         current.site ? std::to_string(current.site->version()) : "none"},
        {"ms", std::to_string(elapsed.ms)},
        {"sends", std::to_string(current.attempts.sends)},
        {"server", current.server}};
    if (!current.relay.empty())
    {
        fields.push_back({"relay", current.relay});
    }
    if (!current.server_version.empty())
    {
        fields.push_back({"version", current.server_version});
    }
    if (!current.facts.last_event_id.empty())
    {
        fields.push_back({"resumes", current.facts.resumes});
        fields.push_back({"after_event", current.facts.last_event_id});
    }
    if (current.customer != nullptr)
    {
        fields.push_back({"customer", current.customer->id.value});
    }
    if (current.work.prompt_tokens > 0)
    {
        fields.push_back(
            {"tokens", std::to_string(current.work.prompt_tokens)});
        fields.push_back({"used", std::to_string(used_tokens(current))});
        fields.push_back({"events", std::to_string(current.events.events())});
        fields.push_back(
            {"budget_ms", std::to_string(current.reserve_wait.ms)});
        fields.push_back({"expected_ms", std::to_string(current.expected.ms)});
    }
    if (!current.crash_cause.empty())
    {
        fields.push_back({"cause", current.crash_cause});
    }
    if (current.first_part)
    {
        fields.push_back({"first_ms", std::to_string(current.first_part->ms)});
    }
    if (current.reason.starts_with("budget"))
    {
        for (auto& field : shared.budgets.log_fields(current.budget))
        {
            fields.push_back(std::move(field));
        }
    }
    if (current.framing)
    {
        fields.push_back(
            {"framing", std::string{fleet::to_text(*current.framing)}});
        fields.push_back({"open_event", current.ended_in_event ? "yes" : "no"});
        if (current.server_after_end)
        {
            fields.push_back({"server_after_end",
                              std::string{to_text(*current.server_after_end)}});
        }
    }
    add_stream_fields(fields, current);
    add_delay_fields(fields, current);
    add_stopping_field(fields, current);
    shared.log.write(weight, "request", fields);
}

} // namespace caperpath::gateway
