#include "gateway/exchange.hpp"

#include "gateway/crash_step.hpp"
#include "gateway/head_text.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/budget/spend_journal.hpp>

#include <boost/beast/http/empty_body.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// The wait for tokens from the store: a draw takes two round trips, and many
/// times that while many routers draw at once.
constexpr duration longest_reserve_wait{250};
/// With the store out of reach nothing can come but what other requests of this
/// router give back.
constexpr duration wait_without_store{20};
/// A spend line opens the share some time after the last row: late for the
/// caller, and sooner than a retry. What it will not cover by then is known at
/// once.
constexpr duration wait_for_line = budget::flat_for + duration{300};
/// When to ask again while this process does not know the configuration.
constexpr duration not_ready_retry{500};
/// Requests without a time limit of the caller's are bounded by their route.
constexpr duration longest_patience{600'000};

std::string_view path_of(caller_request const& request)
{
    auto const target = request.target();
    std::string_view const text{target.data(), target.size()};
    return text.substr(0, text.find('?'));
}

duration longest_wait(exchange const& of, token_count amount)
{
    auto& shared = of.shared;
    if (shared.budgets.opens_within(of.budget, amount, wait_for_line))
    {
        return wait_for_line;
    }
    auto const may_come = shared.servers.store_reachable ||
                          shared.budgets.may_be_given(of.budget);
    return may_come ? longest_reserve_wait : wait_without_store;
}

/// Output is counted by whole events, at most what was asked for; an event
/// holds up to a known number of tokens.
token_count used_tokens(exchange const& of)
{
    if (!of.prompt_read)
    {
        return 0;
    }
    auto const per_event = std::max<token_count>(
        1, of.service != nullptr ? of.service->tokens_per_event : 1);
    auto const output =
        std::min(of.work.output_tokens, of.events.events() * per_event);
    return of.work.prompt_tokens + output;
}

void release_tokens(exchange& of)
{
    if (of.reservation.value.empty())
    {
        return;
    }
    auto& shared = of.shared;
    shared.budgets.finish(of.reservation, of.budget, used_tokens(of));
    if (shared.returning_since)
    {
        shared.returning_since = shared.now.now();
    }
}

bool is_whole(exchange const& of)
{
    return of.reason == "served" && is_success(of.status);
}

/// Only whole answers tell how long requests take; one that ended otherwise
/// would have taken longer, so it counts if it raises the estimate.
void note_time(exchange& of)
{
    if (of.arrivals == 0)
    {
        return;
    }
    auto& times = of.shared.service_times;
    auto const now = of.shared.now.now();
    auto const took = now - of.arrived;
    auto const usual = times.usual_longest(of.route->name);
    if (is_whole(of) || (usual && took > *usual))
    {
        times.note(of.route->name, took, now);
    }
}

/// One line a request, with what decided its end.
void write_line(exchange const& of)
{
    auto& shared = of.shared;
    auto const took = shared.now.now() - of.arrived;
    shared.metrics.request_ended(of.reason, of.status);
    auto const weight =
        of.reason == "served" ? log_weight::routine : log_weight::notable;
    std::vector<log_field> fields{
        {"request", of.facts.id},
        {"reason", std::string{of.reason}},
        {"status", std::to_string(of.status)},
        {"route", of.route != nullptr ? of.route->name : ""},
        {"config", of.site ? std::to_string(of.site->version()) : "none"},
        {"ms", std::to_string(took.ms)},
        {"sends", std::to_string(of.attempts.sends)},
        {"server", of.server}};
    if (of.customer != nullptr)
    {
        fields.push_back({"customer", of.customer->id.value});
    }
    if (of.work.prompt_tokens > 0)
    {
        fields.push_back({"tokens", std::to_string(of.work.prompt_tokens)});
        fields.push_back({"used", std::to_string(used_tokens(of))});
        fields.push_back({"events", std::to_string(of.events.events())});
        fields.push_back({"budget_ms", std::to_string(of.reserve_wait.ms)});
        fields.push_back({"expected_ms", std::to_string(of.expected.ms)});
    }
    if (of.first_part)
    {
        fields.push_back({"first_ms", std::to_string(of.first_part->ms)});
    }
    if (of.reason.starts_with("budget"))
    {
        for (auto& field : shared.budgets.describe(of.budget))
        {
            fields.push_back(std::move(field));
        }
    }
    add_stopping(fields, of);
    shared.log.write(weight, "request", fields);
}

} // namespace

void send_refusal(exchange& of, refusal const& why)
{
    of.status = why.status;
    of.reason = why.reason;
    if (caller_left(of))
    {
        return;
    }
    http::response<http::empty_body> head{static_cast<http::status>(why.status),
                                          11};
    of.shared.names.prepare_refusal(head, of.facts.id, why.retry_after);
    head.set(http::field::content_length, "0");
    of.keep_connection = of.keep_connection && !of.shared.stop;
    if (!of.keep_connection)
    {
        head.set(http::field::connection, "close");
    }
    of.caller->send(head_text(head));
}

bool needs_tokens(exchange const& of)
{
    return of.customer != nullptr && of.customer->paid &&
           of.work.prompt_tokens + of.work.output_tokens > 0;
}

bool caller_left(exchange const& of)
{
    return of.caller->end() != peer_end::open;
}

asio::awaitable<bool> sleep(exchange& of, instant until)
{
    auto const left = until - of.shared.now.now();
    auto const point =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{left.ms};
    co_return co_await of.sleeper->wait(point);
}

asio::awaitable<std::optional<refusal>> find_route(exchange& of)
{
    of.site = of.shared.site;
    if (!of.site || !of.shared.servers_listed)
    {
        co_return refusal{http_unavailable, "not_ready", not_ready_retry};
    }
    auto const host = of.request[http::field::host];
    of.route =
        of.site->find_route({host.data(), host.size()}, path_of(of.request));
    if (of.route == nullptr)
    {
        co_return refusal{http_not_found, "no_route"};
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<refusal>> identify(exchange& of)
{
    of.customer = of.site->find_customer(of.facts.key);
    if (of.customer == nullptr && of.route->needs_key)
    {
        co_return refusal{http_unauthorized, "unknown_key"};
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<refusal>> measure(exchange& of)
{
    auto const& route = *of.route;
    auto const draw = fleet::stable_hash(of.facts.id);
    auto const& name = fleet::choose_service(route, draw);
    of.service = of.site->find_service(name);
    if (of.service == nullptr)
    {
        co_return refusal{http_unavailable, "unknown_service", not_ready_retry};
    }
    of.work.service = name;
    if (route.has_prompt)
    {
        of.work.shared_part = of.facts.shared_part;
        of.work.shared_tokens = of.facts.shared_tokens;
        of.work.prompt_tokens = of.facts.prompt_tokens;
        of.work.output_tokens = of.facts.output_tokens;
    }
    auto const patience =
        std::min(of.facts.patience.value_or(longest_patience), route.timeout);
    of.deadline = of.arrived + patience;
    of.attempts.kind = route.kind;
    of.attempts.resumable = route.resumable;
    of.attempts.max_servers = route.max_servers;
    of.shared.repeats.note_request(name, of.shared.boot_time.now());
    co_return std::nullopt;
}

asio::awaitable<std::optional<refusal>> quarantine(exchange& of)
{
    co_return refuse_for_crashes(of);
}

asio::awaitable<std::optional<refusal>> reserve(exchange& of)
{
    if (!needs_tokens(of))
    {
        co_return std::nullopt;
    }
    auto const amount = of.work.prompt_tokens + of.work.output_tokens;
    auto& shared = of.shared;
    auto const began = shared.now.now();
    shared.requests += 1;
    request_id const id{std::to_string(shared.requests)};
    of.budget = {of.customer->id.value};
    auto const reply = std::make_shared<std::optional<budget::reserve_reply>>();
    auto const wait = std::min(longest_wait(of, amount), of.deadline - began);
    shared.budgets.reserve(
        id, of.budget, amount, wait,
        [reply, sleeper = of.sleeper](budget::reserve_reply const& decided)
        {
            *reply = decided;
            sleeper->raise();
        });
    auto const is_over = [&of, &shared]
    {
        return of.ends_with_process && shared.now.now() >= of.deadline;
    };
    while (!*reply && !caller_left(of) && !is_over())
    {
        auto const until = began + wait + duration{100};
        static_cast<void>(co_await sleep(
            of, of.ends_with_process ? std::min(until, of.deadline) : until));
    }
    of.reserve_wait = shared.now.now() - began;
    shared.metrics.reserve_wait(of.reserve_wait.ms);
    if (!*reply)
    {
        shared.budgets.cancel(id, of.budget);
        co_return caller_left(of)
            ? refusal{http_unavailable, "caller_left"}
            : refusal{http_unavailable, "stopping", elsewhere_retry};
    }
    switch ((*reply)->verdict)
    {
    case budget::reserve_verdict::admitted:
        of.reservation = id;
        co_return std::nullopt;
    case budget::reserve_verdict::exhausted:
        // Tokens that other routers hold may come back; without any the
        // budget is used up for good.
        if ((*reply)->retry_after > duration{0})
        {
            co_return refusal{http_too_many, "budget_low",
                              (*reply)->retry_after};
        }
        co_return refusal{http_payment_required, "budget_used_up"};
    case budget::reserve_verdict::undecidable:
        break;
    }
    co_return refusal{http_unavailable, "budget_unknown",
                      (*reply)->retry_after};
}

std::array<named_filter, 7> const& request_filters()
{
    static constexpr std::array<named_filter, 7> all{
        {{"find_route", find_route},
         {"identify", identify},
         {"measure", measure},
         {"admit", admit},
         {"quarantine", quarantine},
         {"reserve", reserve},
         {"dispatch", dispatch}}};
    return all;
}

asio::awaitable<void> serve(exchange& of)
{
    of.shared.open_requests.insert(&of);
    note_stopping(of);
    for (auto const& filter : request_filters())
    {
        of.step = filter.name;
        auto const refused = co_await filter.run(of);
        if (refused)
        {
            send_refusal(of, *refused);
            break;
        }
    }
    if (of.was_at_crash)
    {
        of.shared.crashes.left_unanswered(*of.fingerprint);
    }
    end_probation(of);
    release_tokens(of);
    note_time(of);
    write_line(of);
    of.shared.open_requests.erase(&of);
}

} // namespace caperpath::gateway
