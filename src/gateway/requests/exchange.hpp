#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_EXCHANGE_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_EXCHANGE_HPP

#include "gateway/connection.hpp"
#include "gateway/core.hpp"

#include <caperpath/fleet/attempt.hpp>
#include <caperpath/fleet/crash_cause.hpp>
#include <caperpath/fleet/crash_record.hpp>
#include <caperpath/fleet/event_splitter.hpp>
#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/response_end.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace caperpath::gateway
{

using caller_request = http::request<http::string_body>;

/// `Retry-After` of requests that a stopping process rejects: another router
/// can take them at once.
inline constexpr duration stopping_retry_after{50};

/// Silence timeout of connections to callers of open requests, and to servers
/// of those that cannot be sent again: longer than any request may take, so
/// that the deadline ends them.
inline constexpr std::chrono::milliseconds longest_silence{900'000};

/// A response by the gateway itself instead of a server.
struct rejection
{
    int status{};
    std::string_view reason; ///< a single word, for logs and metrics
    std::optional<duration> retry_after{};

    friend bool operator==(rejection const&, rejection const&) = default;
};

/// The time between two parts of a stream as they were read.
struct event_gap
{
    duration length{};
    duration loop_delay{}; ///< at its end: what the event loop may have added
    std::size_t unsent{};  ///< bytes that the caller had not taken by then
};

/// The state of one request: what the filters found out, and the resources to
/// release when it ends. Loop thread only.
struct exchange
{
    exchange(core& shared, connection_ptr caller, waker_ptr wakeup,
             caller_request request)
        : shared{shared}, caller{std::move(caller)}, wakeup{std::move(wakeup)},
          request{std::move(request)}
    {
    }

    core& shared;
    connection_ptr caller;
    waker_ptr wakeup;
    caller_request request;
    request_facts facts;
    instant arrived;

    std::shared_ptr<fleet::site const>
        site; ///< the configuration used for this request
    fleet::route const* route{};
    fleet::customer const* customer{};
    fleet::service const* service{};
    fleet::placement_request work;
    instant deadline{};
    bool deadline_from_stop{false}; ///< a planned stop set `deadline`

    request_id reservation; ///< empty if no tokens are reserved
    budget_id budget;

    fleet::attempt_state attempts;
    std::vector<backend_server_id> tried;
    /// Computed on first use; see `crash_handling.hpp`.
    std::optional<fleet::fingerprint> fingerprint;
    fleet::crash_evidence evidence; ///< as known at the latest send
    /// The leases that it holds while it is on probation, by itself and for a
    /// property of `traits`.
    std::vector<probation_permit> permits;
    std::optional<instant> permit_wanted_at; ///< when it asked first
    bool server_crashed{false};
    fleet::crash_traits traits; ///< of its prompt
    /// Where the latest send was not completed yet; empty if there is none.
    backend_server_id running_at;
    std::string crash_cause; ///< why it was not sent; empty if there is none
    std::int64_t possible_deliveries{}; ///< sends that may have arrived
    fleet::event_splitter events;
    bool response_started{false};
    /// The caller knows no chunks: the end of its connection ends the response,
    /// and only a reset shows that a part is missing.
    bool ends_with_connection{false};
    bool response_complete{false}; ///< all of it was handed to the connection
    duration reserve_wait{};       ///< time spent on reserving tokens
    duration unread{};             ///< how long it had waited when it was read
    std::optional<duration> sent_after; ///< of the latest send, from `arrived`
    /// Bytes of the latest send that were still here when its attempt ended.
    std::size_t left_unsent{};
    bool prompt_started{false}; ///< a server began to process the prompt
    bool keep_connection{true};
    std::string_view step{"read"}; ///< the current pipeline stage, for the log
    /// How long the process had been stopping when the request arrived.
    std::optional<duration> stopping_for{};

    // For the log line at the end of the request.
    int status{};
    std::string_view reason{"served"};
    std::string server;
    std::string relay; ///< of the latest attempt; empty if it was direct
    std::string server_version; ///< at the latest send
    /// When the server's process was started, at the latest send; 0: unknown.
    std::int64_t server_born_ms{};
    duration expected{};
    std::int64_t permits_denied{}; ///< for sends to brittle servers
    /// The limit on retries was charged for a send that was not made yet.
    bool retry_charged{false};
    /// The shortest time until a server's limit lets it in, of those that did
    /// not; empty if none refused it for that.
    std::optional<duration> limit_wait;
    std::optional<duration> first_part;
    std::optional<fleet::body_framing> framing; ///< of the latest response
    bool ended_in_event{false}; ///< the latest attempt ended within an event
    /// How the connection to the server of the latest attempt had ended by the
    /// attempt's end.
    std::string server_end;
    event_gap longest_gap;
    /// The server of a response without a length, after the response's end.
    std::optional<server_presence> server_after_end;
};

/// Sends `why` to the caller, unless it has disconnected, and records its
/// status and reason.
void send_rejection(exchange& current, rejection const& why);

/// True if the request needs tokens of a budget.
bool needs_tokens(exchange const& current);

/// True if the caller has closed its connection, as far as it was noticed.
bool caller_disconnected(exchange const& current);

/// The same as of now, for steps that cannot be taken back.
bool caller_has_left(exchange const& current);

/// Suspends until the waker of the request is raised. Returns false if `until`
/// passed first.
asio::awaitable<bool> wait_until(exchange& current, instant until);

/// A pipeline stage. Returns the rejection that ends the request, or nothing.
using filter = asio::awaitable<std::optional<rejection>> (*)(exchange&);

asio::awaitable<std::optional<rejection>> find_route(exchange& current);
asio::awaitable<std::optional<rejection>> identify(exchange& current);
asio::awaitable<std::optional<rejection>>
set_service_and_limits(exchange& current);
asio::awaitable<std::optional<rejection>> check_stopping(exchange& current);
asio::awaitable<std::optional<rejection>> check_waiting(exchange& current);
asio::awaitable<std::optional<rejection>> quarantine(exchange& current);
asio::awaitable<std::optional<rejection>> resume(exchange& current);
asio::awaitable<std::optional<rejection>> reserve(exchange& current);
asio::awaitable<std::optional<rejection>> dispatch(exchange& current);

struct named_filter
{
    std::string_view name;
    filter run;
};

/// The filters in the order in which they run.
std::array<named_filter, 9> const& request_filters();

/// Runs the filters, sends a rejection if one returns it, releases what is left
/// of the reservation and writes the log line of the request.
asio::awaitable<void> serve(exchange& current);

/// Records the version of the server whose events are forwarded: the stream may
/// go on only there.
void note_stream_version(exchange& current);

/// Records the version of the server that a resumable stream is sent to, and
/// keeps the stream there while the service has several versions.
void note_stream_send(exchange& current);

/// Takes that back after an attempt of which the caller got nothing, if no row
/// may have it.
void retract_stream_send(exchange& current);

/// Another process has the place of a server: the open streams there may have
/// begun at its version.
void invalidate_streams_at(core& shared, fleet::server_entry const& entry);

/// Records that a stream was sent to its caller as a whole.
void note_stream_end(exchange& current);

/// Records for how long the process had been stopping when the request arrived.
/// No effect if it is not stopping.
void record_stopping(exchange& current);

/// The tokens of a budget that the request has used so far: estimated from the
/// events that were relayed.
token_count used_tokens(exchange const& current);

/// Writes the log line of a request that has ended, with the facts that decided
/// how it ended.
void log_request(exchange const& current);

/// Adds the field `stopping_ms` if the request arrived during a stop.
void add_stopping_field(std::vector<log_field>& fields,
                        exchange const& current);

/// Applies the longer timeouts of `newer` to open requests that arrived at
/// `since` or later: their callers may have sent them under it. Shorter ones
/// apply to new requests only.
void adopt_longer_timeouts(core& shared, fleet::site const& newer,
                           instant since);

/// The request's route in `site`; null if it has none.
fleet::route const* route_of(exchange const& current, fleet::site const& site);

/// The deadline of the request under the timeout of `route`.
instant deadline_of(exchange const& current, fleet::route const& route);

/// Limits the deadline so that the process can respond before it exits. @pre
/// The process is stopping.
void limit_deadline_to_stop(exchange& current);

/// Moves the deadline to now, for a process that is about to exit.
void expire_deadline(exchange& current);

/// Logs the requests that are still open when the process exits.
void log_open_requests(core& shared);

} // namespace caperpath::gateway

#endif
