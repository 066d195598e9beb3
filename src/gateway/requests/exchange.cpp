#include "gateway/requests/exchange.hpp"

#include "gateway/crashes/crash_handling.hpp"
#include "gateway/requests/head_text.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/budget/spend_journal.hpp>

#include <boost/beast/http/empty_body.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <functional>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// A draw takes two round trips to the store, and several times as long while
/// many routers draw at once.
constexpr duration max_reserve_wait{250};
/// While the store is unreachable, only tokens that other requests of this
/// router release can become available.
constexpr duration max_wait_without_store{20};
/// A spend limit starts to rise `flat_period` after the last row. If it will
/// cover the amount within this time, waiting is slow, but faster than a retry
/// by the caller. covers_within() computes in advance whether it will, so no
/// other request waits this long.
constexpr duration max_wait_for_spend_limit =
    budget::flat_period + duration{300};
/// `Retry-After` while this process does not know the configuration.
constexpr duration not_ready_retry_after{500};
duration reserve_timeout(exchange const& current, token_count amount)
{
    auto& shared = current.shared;
    if (shared.budgets.covers_within(current.budget, amount,
                                     max_wait_for_spend_limit))
    {
        return max_wait_for_spend_limit;
    }
    auto const tokens_may_arrive =
        shared.servers.store_reachable ||
        shared.budgets.may_receive_tokens(current.budget);
    return tokens_may_arrive ? max_reserve_wait : max_wait_without_store;
}

void release_tokens(exchange& current)
{
    if (current.reservation.value.empty())
    {
        return;
    }
    auto& shared = current.shared;
    shared.budgets.finish(current.reservation, current.budget,
                          used_tokens(current));
    if (shared.returning_since)
    {
        shared.returning_since = shared.now.now();
    }
}

bool was_served(exchange const& current)
{
    return current.reason == "served" && is_success(current.status);
}

/// Records the time of complete responses. Other requests would have taken
/// longer, so they count only if they raise the estimate.
void record_service_time(exchange& current)
{
    if (current.possible_deliveries == 0)
    {
        return;
    }
    auto& times = current.shared.service_times;
    auto const now = current.shared.now.now();
    auto const elapsed = now - current.arrived;
    auto const usual = times.usual_longest(current.route->name);
    if (was_served(current) || (usual && elapsed > *usual))
    {
        times.note(current.route->name, elapsed, now);
    }
}

} // namespace

void send_rejection(exchange& current, rejection const& why)
{
    current.status = why.status;
    current.reason = why.reason;
    if (caller_disconnected(current))
    {
        return;
    }
    http::response<http::empty_body> head{static_cast<http::status>(why.status),
                                          11};
    current.shared.adapter.prepare_rejection(head, current.facts.id,
                                             why.retry_after);
    head.set(http::field::content_length, "0");
    current.keep_connection = current.keep_connection && !current.shared.stop;
    if (!current.keep_connection)
    {
        head.set(http::field::connection, "close");
    }
    current.caller->send(head_text(head));
}

bool needs_tokens(exchange const& current)
{
    return current.customer != nullptr && current.customer->paid &&
           current.work.prompt_tokens + current.work.output_tokens > 0;
}

bool caller_disconnected(exchange const& current)
{
    return current.caller->end() != peer_end::open;
}

bool caller_has_left(exchange const& current)
{
    return current.caller->current_end() != peer_end::open;
}

asio::awaitable<bool> wait_until(exchange& current, instant until)
{
    auto const left = until - current.shared.now.now();
    auto const point =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{left.ms};
    co_return co_await current.wakeup->wait(point);
}

asio::awaitable<std::optional<rejection>> find_route(exchange& current)
{
    current.site = current.shared.site;
    if (!current.site || !current.shared.servers_listed)
    {
        co_return rejection{http_unavailable, "not_ready",
                            not_ready_retry_after};
    }
    current.route = route_of(current, *current.site);
    if (current.route == nullptr)
    {
        co_return rejection{http_not_found, "no_route"};
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<rejection>> identify(exchange& current)
{
    current.customer = current.site->find_customer(current.facts.key);
    if (current.customer == nullptr && current.route->needs_key)
    {
        co_return rejection{http_unauthorized, "unknown_key"};
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<rejection>>
set_service_and_limits(exchange& current)
{
    auto const& route = *current.route;
    auto const hash = fleet::stable_hash(current.facts.id);
    auto const& name = fleet::choose_service(route, hash);
    current.service = current.site->find_service(name);
    if (current.service == nullptr)
    {
        co_return rejection{http_unavailable, "unknown_service",
                            not_ready_retry_after};
    }
    current.work.service = name;
    current.traits = fleet::traits_of(
        current.facts.shared_parts,
        current.customer != nullptr ? current.customer->id : customer_id{});
    if (route.has_prompt && current.facts.has_unreadable_size)
    {
        co_return rejection{http_bad_request, "unreadable_size"};
    }
    if (route.has_prompt)
    {
        current.work.shared_part = current.facts.shared_part;
        current.work.shared_tokens = current.facts.shared_tokens;
        current.work.prompt_tokens = current.facts.prompt_tokens;
        current.work.output_tokens = current.facts.output_tokens;
    }
    current.work.needs_confirmed_version =
        route.resumable && route.kind == fleet::request_kind::streaming;
    auto const& settings = current.shared.settings;
    current.work.regions = fleet::residency_of(route, current.customer);
    current.work.may_be_relayed = fleet::may_relay(
        current.work.regions, settings.regions, settings.region);
    current.deadline = deadline_of(current, route);
    current.attempts.kind = route.kind;
    current.attempts.resumable = route.resumable;
    current.attempts.max_servers = route.max_servers;
    current.shared.retries.note_request(name, current.shared.boot_time.now());
    co_return std::nullopt;
}

asio::awaitable<std::optional<rejection>> quarantine(exchange& current)
{
    co_return check_crash_evidence(current);
}

asio::awaitable<std::optional<rejection>> reserve(exchange& current)
{
    if (!needs_tokens(current))
    {
        co_return std::nullopt;
    }
    auto const amount = current.work.prompt_tokens + current.work.output_tokens;
    auto& shared = current.shared;
    auto const began = shared.now.now();
    shared.reservations += 1;
    request_id const id{std::to_string(shared.reservations)};
    current.budget = {current.customer->id.value};
    auto const reply = std::make_shared<std::optional<budget::reserve_reply>>();
    auto const wait =
        std::min(reserve_timeout(current, amount), current.deadline - began);
    shared.budgets.reserve(
        id, current.budget, amount, wait,
        [reply, wakeup = current.wakeup](budget::reserve_reply const& decided)
        {
            *reply = decided;
            wakeup->raise();
        });
    auto const is_over = [&current, &shared]
    {
        return current.deadline_from_stop &&
               shared.now.now() >= current.deadline;
    };
    while (!*reply && !caller_disconnected(current) && !is_over())
    {
        // Only wakes up the loop: the reply is due at `wait`, and may be up to
        // a tick late.
        auto const until = began + wait + duration{100};
        static_cast<void>(
            co_await wait_until(current, current.deadline_from_stop
                                             ? std::min(until, current.deadline)
                                             : until));
    }
    current.reserve_wait = shared.now.now() - began;
    shared.metrics.reserve_wait(current.reserve_wait.ms);
    if (!*reply)
    {
        shared.budgets.cancel(id, current.budget);
        co_return caller_disconnected(current)
            ? rejection{http_unavailable, "caller_left"}
            : rejection{http_unavailable, "stopping", stopping_retry_after};
    }
    switch ((*reply)->verdict)
    {
    case budget::reserve_verdict::admitted:
        current.reservation = id;
        co_return std::nullopt;
    case budget::reserve_verdict::exhausted:
        // Other routers may return tokens that they hold. If they hold none,
        // the budget is exhausted for good.
        if ((*reply)->retry_after > duration{0})
        {
            co_return rejection{http_too_many, "budget_low",
                                (*reply)->retry_after};
        }
        co_return rejection{http_payment_required, "budget_used_up"};
    case budget::reserve_verdict::undecidable:
        break;
    }
    co_return rejection{http_unavailable, "budget_unknown",
                        (*reply)->retry_after};
}

std::array<named_filter, 9> const& request_filters()
{
    static constexpr std::array<named_filter, 9> all{
        {{"find_route", find_route},
         {"identify", identify},
         {"measure", set_service_and_limits},
         {"wanted", check_waiting},
         {"admit", check_stopping},
         {"quarantine", quarantine},
         {"resume", resume},
         {"reserve", reserve},
         {"dispatch", dispatch}}};
    return all;
}

namespace
{

asio::awaitable<void> run_filters(exchange& current)
{
    for (auto const& filter : request_filters())
    {
        current.step = filter.name;
        auto const rejected = co_await filter.run(current);
        if (rejected)
        {
            send_rejection(current, *rejected);
            co_return;
        }
    }
}

/// Ends a request that an exception has stopped. A part of a response that was
/// sent stays visibly incomplete.
void fail(exchange& current)
{
    current.keep_connection = false;
    current.reason = "internal_error";
    if (!current.response_started)
    {
        auto const may_have_run = current.possible_deliveries > 0;
        send_rejection(current,
                       {may_have_run ? http_bad_gateway : http_unavailable,
                        "internal_error"});
    }
}

/// Runs one step of the end of a request; the others follow in any case.
void run_step(exchange& current, std::function<void(exchange&)> const& step)
{
    try
    {
        step(current);
    }
    catch (...)
    {
        current.shared.log.write_exception("end of " + current.facts.id,
                                           std::current_exception());
    }
}

void publish_crash(exchange& current)
{
    if (current.server_crashed)
    {
        current.shared.crashes.publish_evidence(*current.fingerprint);
    }
}

} // namespace

asio::awaitable<void> serve(exchange& current)
{
    current.shared.open_requests.insert(&current);
    record_stopping(current);
    std::exception_ptr thrown;
    try
    {
        co_await run_filters(current);
    }
    catch (...)
    {
        thrown = std::current_exception();
    }
    // First of all: others walk this set.
    current.shared.open_requests.erase(&current);
    if (thrown)
    {
        run_step(current,
                 [thrown](exchange& failed)
                 {
                     failed.shared.log.write_exception(
                         "request " + failed.facts.id, thrown);
                     fail(failed);
                 });
    }
    for (auto* const step : {publish_crash, end_probation, note_stream_end,
                             release_tokens, record_service_time})
    {
        run_step(current, step);
    }
    run_step(current, log_request);
}

} // namespace caperpath::gateway
