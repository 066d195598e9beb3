#include "gateway/crash_step.hpp"
#include "gateway/exchange.hpp"
#include "gateway/server_call.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using fleet::attempt_end;

/// When no server can take the request, so long until one may be back.
constexpr duration no_server_retry{400};
constexpr duration shortest_retry{150};
/// Returns are spread over this much more than the shortest wait, so that those
/// who are told to come back do not come back together.
constexpr std::uint64_t retry_spread_ms = 300;

duration spread(exchange const& of, duration least)
{
    auto const drawn = fleet::stable_hash(of.facts.id) % retry_spread_ms;
    return least + duration{static_cast<std::int64_t>(drawn)};
}

std::optional<fleet::placement> choose(exchange& of)
{
    auto& shared = of.shared;
    auto const place = [&](std::vector<backend_server_id> const& avoided)
    {
        return fleet::place(shared.servers, *of.service, of.work,
                            shared.prompts, avoided, shared.speed,
                            shared.now.now());
    };
    if (of.evidence.crashes > 0)
    {
        if (auto alone = place(servers_to_avoid(of)))
        {
            return alone;
        }
    }
    return place(of.tried);
}

/// Counts a send of a suspected request for as long as it lasts.
class suspect_at
{
public:
    suspect_at(exchange& of, backend_server_id server)
        : shared{of.shared}, server{std::move(server)},
          counts{of.evidence.crashes > 0}
    {
        if (this->counts)
        {
            this->shared.suspects_at[this->server] += 1;
        }
    }

    ~suspect_at()
    {
        if (this->counts && --this->shared.suspects_at[this->server] == 0)
        {
            this->shared.suspects_at.erase(this->server);
        }
    }

    suspect_at(suspect_at const&) = delete;
    suspect_at& operator=(suspect_at const&) = delete;

private:
    core& shared;
    backend_server_id server;
    bool counts;
};

/// A repeat after one that may have arrived takes from the fleet's limit.
bool repeat_allowed(exchange& of)
{
    auto& shared = of.shared;
    return of.arrivals == 0 ||
           shared.repeats.take(of.work.service, shared.roster.slack_sharers(),
                               shared.boot_time.now());
}

bool counts_as_run(attempt_end end)
{
    switch (end)
    {
    case attempt_end::not_reached:
    case attempt_end::not_run:
    case attempt_end::wrong_server:
        return false;
    default:
        return true;
    }
}

std::string_view name_of(attempt_end end)
{
    switch (end)
    {
    case attempt_end::answered:
        return "served";
    case attempt_end::failed:
        return "server_failed";
    case attempt_end::not_reached:
        return "no_server_reached";
    case attempt_end::not_run:
        return "servers_full";
    case attempt_end::wrong_server:
        return "server_replaced";
    case attempt_end::in_doubt:
        return "broken_off";
    case attempt_end::expired:
        return "time_over";
    case attempt_end::caller_gone:
        break;
    }
    return "caller_left";
}

void note_end(exchange& of, fleet::placement const& where, attempt_end end)
{
    auto& shared = of.shared;
    of.attempts.sends += 1;
    of.attempts.runs += counts_as_run(end) ? 1 : 0;
    of.tried.push_back(where.server);
    if (end == attempt_end::answered || end == attempt_end::caller_gone)
    {
        return;
    }
    auto const found = shared.servers.servers.find(where.server);
    if (found != shared.servers.servers.end() && counts_as_run(end) &&
        end != attempt_end::expired)
    {
        fleet::note_failure(found->second, false, shared.now.now());
    }
    shared.log.write(log_weight::notable, "attempt",
                     {{"request", of.facts.id},
                      {"server", where.server.value},
                      {"outcome", std::string{name_of(end)}},
                      {"expected_ms", std::to_string(where.expected.ms)},
                      {"sends", std::to_string(of.attempts.sends)}});
}

/// The answer to a request that no attempt answered.
std::optional<refusal> give_up(exchange& of, attempt_end end)
{
    auto const reason = of.ends_with_process && end == attempt_end::expired
                            ? "stopping"
                            : name_of(end);
    of.reason = reason;
    if (end == attempt_end::caller_gone)
    {
        of.keep_connection = false;
        return std::nullopt;
    }
    if (of.answer_begun)
    {
        // An answer without its last chunk does not look whole. A reset would
        // take events with it that the caller has not read yet.
        of.keep_connection = false;
        return std::nullopt;
    }
    auto const status = fleet::final_status(of.attempts, end);
    auto const retry = status == http_unavailable
                           ? std::optional{spread(of, shortest_retry)}
                           : std::nullopt;
    return refusal{status, reason, retry};
}

} // namespace

asio::awaitable<std::optional<refusal>> dispatch(exchange& of)
{
    auto end = attempt_end::not_reached;
    while (true)
    {
        auto const now = of.shared.now.now();
        if (caller_left(of))
        {
            co_return give_up(of, attempt_end::caller_gone);
        }
        if (now >= of.deadline)
        {
            co_return give_up(of, attempt_end::expired);
        }
        if (auto const refused = refuse_for_crashes(of))
        {
            co_return of.attempts.sends == 0 ? refused : give_up(of, end);
        }
        note_sent(of);
        auto const where = choose(of);
        if (!where)
        {
            if (of.attempts.sends > 0)
            {
                co_return give_up(of, end);
            }
            co_return refusal{http_unavailable, "no_server",
                              spread(of, no_server_retry)};
        }
        // What cannot begin in time is refused now and not at its end.
        if (now + where->expected >= of.deadline && of.attempts.sends == 0)
        {
            co_return refusal{http_unavailable, "overloaded",
                              spread(of, shortest_retry)};
        }
        if (!repeat_allowed(of))
        {
            co_return give_up(of, end);
        }
        of.expected = where->expected;
        of.server = where->server.value;
        auto lost_connection = false;
        {
            suspect_at const counted{of, where->server};
            server_call call{of, *where};
            end = co_await call.run();
            lost_connection = call.lost_connection();
        }
        note_end(of, *where, end);
        if (end == attempt_end::answered)
        {
            note_whole_answer(of);
            co_return std::nullopt;
        }
        if (end == attempt_end::in_doubt && lost_connection)
        {
            co_await check_for_crash(of, where->server);
        }
        auto const stops = counts_as_run(end) && stops_repeats(of);
        if (stops || !fleet::may_send_again(of.attempts, end))
        {
            co_return give_up(of, end);
        }
    }
}

} // namespace caperpath::gateway
