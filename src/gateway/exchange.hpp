#ifndef CAPERPATH_SRC_GATEWAY_EXCHANGE_HPP
#define CAPERPATH_SRC_GATEWAY_EXCHANGE_HPP

#include "gateway/connection.hpp"
#include "gateway/core.hpp"

#include <caperpath/fleet/attempt.hpp>
#include <caperpath/fleet/crash_record.hpp>
#include <caperpath/fleet/event_scan.hpp>
#include <caperpath/fleet/placement.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace caperpath::gateway
{

using caller_request = http::request<http::string_body>;

/// When to come back to whom a stopping process refuses: other routers can be
/// asked at once.
inline constexpr duration elsewhere_retry{50};

/// An answer of the gateway's own.
struct refusal
{
    int status{};
    std::string_view reason; ///< one word, for logs and metrics
    std::optional<duration> retry_after{};

    friend bool operator==(refusal const&, refusal const&) = default;
};

/// One request on its way: what the filters found out, and what is left to be
/// undone when it ends. Loop thread only.
struct exchange
{
    exchange(core& shared, connection_ptr caller, waker_ptr sleeper,
             caller_request request)
        : shared{shared}, caller{std::move(caller)},
          sleeper{std::move(sleeper)}, request{std::move(request)}
    {
    }

    core& shared;
    connection_ptr caller;
    waker_ptr sleeper;
    caller_request request;
    request_facts facts;
    instant arrived;

    std::shared_ptr<fleet::site const> site; ///< the version that decided
    fleet::route const* route{};
    fleet::customer const* customer{};
    fleet::service const* service{};
    fleet::work work;
    instant deadline{};
    bool ends_with_process{false}; ///< `deadline` is that of a planned stop

    request_id reservation; ///< empty if no tokens are set aside
    budget_id budget;

    fleet::attempt_state attempts;
    std::vector<backend_server_id> tried;
    /// Set once it is needed; see `crash_step.hpp`.
    std::optional<fleet::fingerprint> fingerprint;
    fleet::crash_evidence evidence; ///< known when it was sent last
    bool on_probation{false};       ///< the only attempt of its request here
    bool was_at_crash{false};
    std::int64_t arrivals{}; ///< sends that may have reached a server
    fleet::event_scan events;
    bool answer_begun{false};
    duration reserve_wait{}; ///< for tokens of the budget
    bool prompt_read{false}; ///< a server began to run it
    bool keep_connection{true};
    std::string_view step{"read"}; ///< what it is doing now
    /// How long the process had been stopping when it took the request.
    std::optional<duration> stopping_for{};

    // For the log line at the end.
    int status{};
    std::string_view reason{"served"};
    std::string server;
    duration expected{};
    std::optional<duration> first_part;
};

/// Sends the gateway's own answer to the caller.
void send_refusal(exchange& of, refusal const& why);

/// True when the request needs tokens of a budget.
bool needs_tokens(exchange const& of);

/// True when the caller has closed its connection.
bool caller_left(exchange const& of);

/// Sleeps until something happened to the request, or `until`. Returns false
/// when that time has come.
asio::awaitable<bool> sleep(exchange& of, instant until);

/// A step of a request. Returns the refusal that ends it, or nothing.
using filter = asio::awaitable<std::optional<refusal>> (*)(exchange&);

asio::awaitable<std::optional<refusal>> find_route(exchange& of);
asio::awaitable<std::optional<refusal>> identify(exchange& of);
asio::awaitable<std::optional<refusal>> measure(exchange& of);
asio::awaitable<std::optional<refusal>> admit(exchange& of);
asio::awaitable<std::optional<refusal>> quarantine(exchange& of);
asio::awaitable<std::optional<refusal>> reserve(exchange& of);
asio::awaitable<std::optional<refusal>> dispatch(exchange& of);

struct named_filter
{
    std::string_view name;
    filter run;
};

/// The filters in their order.
std::array<named_filter, 7> const& request_filters();

/// Runs the filters, sends what they refuse, gives back what is left of the
/// reservation and writes the request's log line.
asio::awaitable<void> serve(exchange& of);

/// Notes that a stopping process took the request.
void note_stopping(exchange& of);

/// Adds how long the process had been stopping when it took the request.
void add_stopping(std::vector<log_field>& fields, exchange const& of);

/// Ends the request in time for the process to answer it. @pre The process is
/// stopping.
void bound_by_stop(exchange& of);

/// As above, for a process that ends now.
void end_overdue(exchange& of);

/// Logs the requests that a process leaves without an answer when it ends.
void log_open_requests(core& shared);

} // namespace caperpath::gateway

#endif
