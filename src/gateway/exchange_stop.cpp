#include "gateway/exchange.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <string>

/// What a planned stop means for requests.
namespace caperpath::gateway
{

namespace
{

/// Lines about requests without an answer at the process's end.
constexpr std::size_t most_open_told = 50;

} // namespace

void note_stopping(exchange& of)
{
    auto& shared = of.shared;
    if (shared.stop)
    {
        of.stopping_for = shared.now.now() - shared.stop->began;
        shared.taken_while_stopping += 1;
    }
}

void add_stopping(std::vector<log_field>& fields, exchange const& of)
{
    if (of.stopping_for)
    {
        fields.push_back({"stopping_ms", std::to_string(of.stopping_for->ms)});
    }
}

/// A stopping process begins only what it can be expected to finish. Whoever
/// is refused comes back over a new connection, to another router.
asio::awaitable<std::optional<refusal>> admit(exchange& of)
{
    auto const& stop = of.shared.stop;
    if (!stop)
    {
        co_return std::nullopt;
    }
    auto const now = of.shared.now.now();
    auto const expected = of.shared.service_times.usual_longest(of.route->name);
    auto const lacks_tokens = of.shared.returning_since && needs_tokens(of);
    if (lacks_tokens || !fleet::may_begin(*stop, now, expected, of.deadline))
    {
        co_return refusal{http_unavailable, "stopping", elsewhere_retry};
    }
    bound_by_stop(of);
    co_return std::nullopt;
}

void bound_by_stop(exchange& of)
{
    auto const due = of.shared.stop->answers_due;
    if (of.deadline > due)
    {
        of.deadline = due;
        of.ends_with_process = true;
    }
}

void end_overdue(exchange& of)
{
    of.deadline = std::min(of.deadline, of.shared.now.now());
    of.ends_with_process = true;
}

void log_open_requests(core& shared)
{
    std::size_t told = 0;
    for (auto const* const of : shared.open_requests)
    {
        told += 1;
        if (told > most_open_told)
        {
            return;
        }
        auto const age = shared.now.now() - of->arrived;
        std::vector<log_field> fields{
            {"request", of->facts.id},
            {"at", std::string{of->step}},
            {"route", of->route != nullptr ? of->route->name : ""},
            {"ms", std::to_string(age.ms)},
            {"sends", std::to_string(of->arrivals)},
            {"server", of->server}};
        add_stopping(fields, *of);
        shared.log.write(log_weight::notable, "unanswered", fields);
    }
}

} // namespace caperpath::gateway
