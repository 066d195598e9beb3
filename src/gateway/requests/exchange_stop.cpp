#include "gateway/requests/exchange.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <string>

/// How a planned stop affects requests.
namespace caperpath::gateway
{

namespace
{

/// Limits the log lines about requests that are still open when the process
/// exits.
constexpr std::size_t max_unanswered_lines = 50;

} // namespace

void record_stopping(exchange& current)
{
    auto& shared = current.shared;
    if (shared.stop)
    {
        current.stopping_for = shared.now.now() - shared.stop->began;
        shared.taken_while_stopping += 1;
    }
}

void add_stopping_field(std::vector<log_field>& fields, exchange const& current)
{
    if (current.stopping_for)
    {
        fields.push_back(
            {"stopping_ms", std::to_string(current.stopping_for->ms)});
    }
}

/// A stopping process accepts only requests that it is expected to finish. A
/// rejected caller retries over a new connection, which the balancer sends to
/// another router.
asio::awaitable<std::optional<rejection>> check_stopping(exchange& current)
{
    auto const& stop = current.shared.stop;
    if (!stop)
    {
        co_return std::nullopt;
    }
    auto const now = current.shared.now.now();
    auto const expected =
        current.shared.service_times.usual_longest(current.route->name);
    auto const lacks_tokens =
        current.shared.returning_since && needs_tokens(current);
    if (lacks_tokens || current.shared.closing_connections ||
        !fleet::may_begin(*stop, now, expected, current.deadline))
    {
        co_return rejection{http_unavailable, "stopping", stopping_retry_after};
    }
    limit_deadline_to_stop(current);
    co_return std::nullopt;
}

void limit_deadline_to_stop(exchange& current)
{
    auto const due = current.shared.stop->responses_due;
    if (current.deadline > due)
    {
        current.deadline = due;
        current.deadline_from_stop = true;
    }
}

void expire_deadline(exchange& current)
{
    current.deadline = std::min(current.deadline, current.shared.now.now());
    current.deadline_from_stop = true;
}

void log_open_requests(core& shared)
{
    std::size_t logged = 0;
    for (auto const* const current : shared.open_requests)
    {
        logged += 1;
        if (logged > max_unanswered_lines)
        {
            return;
        }
        auto const age = shared.now.now() - current->arrived;
        std::vector<log_field> fields{
            {"request", current->facts.id},
            {"at", std::string{current->step}},
            {"route", current->route != nullptr ? current->route->name : ""},
            {"ms", std::to_string(age.ms)},
            {"sends", std::to_string(current->possible_deliveries)},
            {"server", current->server}};
        add_stopping_field(fields, *current);
        shared.log.write(log_weight::notable, "unanswered", fields);
    }
}

} // namespace caperpath::gateway
