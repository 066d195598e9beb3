#include "gateway/crashes/crash_handling.hpp"
#include "gateway/requests/exchange.hpp"
#include "gateway/servers/server_call.hpp"
#include "gateway/servers/server_choice.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using fleet::attempt_outcome;

/// `Retry-After` if no server can take the request: about the time until a
/// server may be available again.
constexpr duration no_server_retry_after{400};
constexpr duration min_retry_after{150};
/// Evacuations last for seconds; when one ends is not known.
constexpr duration evacuation_retry_after{1'000};
/// A request asks so often for a brittle server with room; after that it is
/// better off with a rejection that says when to come back.
constexpr std::int64_t most_permits_denied = 8;
/// Jitter added to the shortest `Retry-After`, so that rejected callers do not
/// all retry at the same time.
constexpr std::uint64_t retry_jitter_ms = 300;

duration with_jitter(exchange const& current, duration least,
                     duration spread = {})
{
    auto const range = retry_jitter_ms + static_cast<std::uint64_t>(spread.ms);
    auto const jitter = fleet::stable_hash(current.facts.id) % range;
    return least + duration{static_cast<std::int64_t>(jitter)};
}

/// The response to a request that no server can take now.
rejection reject_without_server(exchange const& current)
{
    auto const now = current.shared.now.now();
    auto const shortage =
        fleet::find_shortage(current.shared.servers, current.work, now);
    switch (shortage.why)
    {
    case fleet::shortage_reason::unavailable:
        return {http_unavailable,
                current.work.version ? "no_server_of_version" : "no_server",
                with_jitter(current, no_server_retry_after)};
    case fleet::shortage_reason::cold:
        return {
            http_unavailable, "servers_cold",
            with_jitter(current, std::max(min_retry_after, shortage.lasts))};
    case fleet::shortage_reason::resting:
        // All callers of a rest would return when it ends.
        return {http_unavailable, "servers_resting",
                with_jitter(current, std::max(min_retry_after, shortage.lasts),
                            duration{shortage.lasts.ms / 2})};
    case fleet::shortage_reason::evacuated:
        return {http_unavailable, "servers_evacuated",
                with_jitter(current, evacuation_retry_after)};
    case fleet::shortage_reason::outside_regions:
        return {http_unavailable, "no_server_in_region",
                with_jitter(current, no_server_retry_after)};
    case fleet::shortage_reason::no_such_version:
        break;
    }
    // No server will have the version later, so the caller need not come back.
    return {http_unavailable, "no_server_of_version", current.deadline - now};
}

/// What a loop that stays behind adds to the time until the caller has the
/// response: it takes a turn to read it.
duration turns_to_respond(exchange const& current)
{
    return lasting_delay(current.shared.delay);
}

/// Counts a suspected request at its server for the lifetime of this object.
class suspect_guard
{
public:
    suspect_guard(exchange& current, backend_server_id server)
        : shared{current.shared}, server{std::move(server)}, counts{is_suspect(
                                                                 current)}
    {
        if (this->counts)
        {
            this->shared.suspects_by_server[this->server] += 1;
        }
    }

    ~suspect_guard()
    {
        if (this->counts &&
            --this->shared.suspects_by_server[this->server] == 0)
        {
            this->shared.suspects_by_server.erase(this->server);
        }
    }

    suspect_guard(suspect_guard const&) = delete;
    suspect_guard& operator=(suspect_guard const&) = delete;

private:
    core& shared;
    backend_server_id server;
    bool counts;
};

/// A retry counts against the fleet-wide limit only if a server may have
/// received an earlier send.
bool retry_allowed(exchange& current)
{
    auto& shared = current.shared;
    current.retry_charged =
        current.retry_charged ||
        (current.possible_deliveries > 0 &&
         shared.retries.take(current.work.service,
                             shared.membership.retry_sharers(),
                             shared.boot_time.now()));
    return current.possible_deliveries == 0 || current.retry_charged;
}

bool counts_as_run(attempt_outcome end)
{
    switch (end)
    {
    case attempt_outcome::not_reached:
    case attempt_outcome::not_run:
    case attempt_outcome::wrong_server:
        return false;
    default:
        return true;
    }
}

std::string_view name_of(attempt_outcome end)
{
    switch (end)
    {
    case attempt_outcome::responded:
        return "served";
    case attempt_outcome::failed:
        return "server_failed";
    case attempt_outcome::not_reached:
        return "no_server_reached";
    case attempt_outcome::not_run:
        return "servers_full";
    case attempt_outcome::wrong_server:
        return "server_replaced";
    case attempt_outcome::in_doubt:
        return "broken_off";
    case attempt_outcome::expired:
        return "time_over";
    case attempt_outcome::caller_gone:
        break;
    }
    return "caller_left";
}

struct attempt_end
{
    attempt_outcome outcome{};
    bool lost_connection{false}; ///< and it is not known why
    response_fault fault{response_fault::none};
    bool may_have_room_soon{false}; ///< nothing was sent
};

std::string_view name_of(attempt_end const& ended)
{
    switch (ended.fault)
    {
    case response_fault::too_long:
        return "response_too_long";
    case response_fault::no_memory:
        return "responses_too_many";
    case response_fault::unproven:
        return "response_unproven";
    case response_fault::none:
        break;
    }
    return name_of(ended.outcome);
}

void record_attempt(exchange& current, fleet::placement const& where,
                    attempt_end const& ended)
{
    auto const end = ended.outcome;
    auto& shared = current.shared;
    current.attempts.sends += 1;
    current.attempts.runs += counts_as_run(end) ? 1 : 0;
    current.tried.push_back(where.server);
    if (end == attempt_outcome::responded ||
        end == attempt_outcome::caller_gone)
    {
        return;
    }
    retract_stream_send(current);
    auto const found = shared.servers.servers.find(where.server);
    // Whether a lost connection is a failure of the server is found out later.
    if (found != shared.servers.servers.end() && counts_as_run(end) &&
        end != attempt_outcome::expired && !ended.lost_connection)
    {
        fleet::note_failure(found->second,
                            ended.fault == response_fault::too_long,
                            shared.now.now());
    }
    shared.log.write(log_weight::notable, "attempt",
                     {{"request", current.facts.id},
                      {"server", where.server.value},
                      {"version", current.server_version},
                      {"outcome", std::string{name_of(ended)}},
                      {"expected_ms", std::to_string(where.expected.ms)},
                      {"sends", std::to_string(current.attempts.sends)}});
}

asio::awaitable<attempt_end> run_attempt(exchange& current,
                                         fleet::placement const& where)
{
    current.expected = where.expected;
    current.server = where.server.value;
    current.server_version.clear();
    attempt_end ended;
    {
        suspect_guard const guard{current, where.server};
        server_call call{current, where};
        ended.outcome = co_await call.run();
        current.permits_denied += call.was_denied() ? 1 : 0;
        ended.may_have_room_soon =
            call.was_denied() && current.permits_denied < most_permits_denied;
        ended.fault = call.fault();
        ended.lost_connection = ended.outcome == attempt_outcome::in_doubt &&
                                ended.fault == response_fault::none &&
                                call.lost_connection();
    }
    if (!ended.may_have_room_soon)
    {
        record_attempt(current, where, ended);
    }
    co_return ended;
}

/// The rejection for a request that no attempt served. Returns nothing if the
/// caller has disconnected or has received part of a response.
std::optional<rejection> give_up(exchange& current, attempt_outcome end)
{
    auto const limited =
        current.limit_wait && end == attempt_outcome::not_reached;
    auto const reason =
        current.deadline_from_stop && end == attempt_outcome::expired
            ? "stopping"
        : limited ? "servers_limited"
                  : name_of(end);
    current.reason = reason;
    if (end == attempt_outcome::caller_gone)
    {
        current.keep_connection = false;
        return std::nullopt;
    }
    if (current.response_started)
    {
        // Without its last chunk the response is visibly incomplete. A reset
        // could discard events that the caller has not read yet.
        current.keep_connection = false;
        return std::nullopt;
    }
    auto const status = fleet::final_status(current.attempts, end);
    auto const retry_after =
        status == http_unavailable
            ? std::optional{with_jitter(
                  current,
                  std::max(current.limit_wait.value_or(min_retry_after),
                           min_retry_after))}
            : std::nullopt;
    return rejection{status, reason, retry_after};
}

} // namespace

/// The caller of a request that was read late may have disconnected.
asio::awaitable<std::optional<rejection>> check_waiting(exchange& current)
{
    if (caller_has_left(current))
    {
        current.keep_connection = false;
        co_return rejection{http_unavailable, "caller_left"};
    }
    if (current.shared.now.now() >= current.deadline)
    {
        co_return give_up(current, attempt_outcome::expired);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<rejection>> dispatch(exchange& current)
{
    auto end = attempt_outcome::not_reached;
    while (true)
    {
        auto const now = current.shared.now.now();
        if (caller_disconnected(current))
        {
            co_return give_up(current, attempt_outcome::caller_gone);
        }
        if (now >= current.deadline)
        {
            co_return give_up(current, attempt_outcome::expired);
        }
        if (auto const rejected = check_crash_evidence(current))
        {
            co_return current.possible_deliveries == 0 ? rejected
                                                       : give_up(current, end);
        }
        if (needs_permit(current))
        {
            if (auto const rejected = co_await acquire_permit(current))
            {
                co_return current.possible_deliveries == 0
                    ? rejected
                    : give_up(current, end);
            }
            continue;
        }
        record_evidence_at_send(current);
        auto const where = choose_server(current);
        if (!where)
        {
            if (current.attempts.sends > 0 && !lacks_servers(current))
            {
                co_return give_up(current, end);
            }
            co_return reject_without_server(current);
        }
        // Rejects now what cannot start in time, instead of at its deadline.
        if (now + where->expected + turns_to_respond(current) >=
                current.deadline &&
            current.possible_deliveries == 0)
        {
            co_return rejection{http_unavailable, "overloaded",
                                with_jitter(current, min_retry_after)};
        }
        if (!retry_allowed(current))
        {
            co_return give_up(current, end);
        }
        auto const ended = co_await run_attempt(current, *where);
        if (ended.may_have_room_soon)
        {
            continue;
        }
        end = ended.outcome;
        if (end == attempt_outcome::responded)
        {
            current.running_at = {};
            record_complete_response(current);
            co_return std::nullopt;
        }
        if (ended.lost_connection)
        {
            co_await probe_for_crash(current, where->server);
            fleet::note_possible_restart(current.shared.servers, where->server,
                                         current.shared.now.now());
        }
        current.running_at = {};
        auto const forbidden = counts_as_run(end) && forbids_retry(current);
        if (forbidden || !fleet::may_try_another_server(current.attempts, end))
        {
            co_return give_up(current, end);
        }
    }
}

} // namespace caperpath::gateway
