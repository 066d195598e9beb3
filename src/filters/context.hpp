#ifndef CAPERPATH_SRC_FILTERS_CONTEXT_HPP
#define CAPERPATH_SRC_FILTERS_CONTEXT_HPP

#include "http/exchange.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/bill.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/observe/metrics.hpp>
#include <caperpath/observe/span_sink.hpp>
#include <caperpath/observe/trace.hpp>
#include <caperpath/request/chat_request.hpp>
#include <caperpath/request/claim.hpp>
#include <caperpath/request/outcome.hpp>
#include <caperpath/request/pricing.hpp>
#include <caperpath/routing/backend_port.hpp>
#include <caperpath/routing/limit_port.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace caperpath::router
{
class chat_relay;
}

namespace caperpath::filters
{

/// Interfaces through which the filters use the rest of the process. One per
/// router; every member is thread safe and outlives all requests.
struct request_dependencies
{
    std::string vm;
    std::string incarnation;
    clock time{clock::monotonic()};
    clock wall{clock::wall()};
    std::function<std::shared_ptr<config::document const>()> configuration;
    budget::port budgets;
    routing::limit_port limits;
    routing::backend_port backends;
    request::claim_port claims;
    http::worker_pool* workers{};
    http::connection_pool* connections{};
    observe::metrics* metrics{};
    observe::span_sink spans;
    observe::id_generator* ids{};
    duration reserve_wait{2'000}; ///< maximum wait for a draw of tokens
    duration claim_wait{2'000};   ///< maximum wait for a claim held elsewhere
    /// Monotonic time in ms after which a planned stop aborts open requests.
    std::atomic<std::int64_t>* stop_at{};
};

/// A parsed and validated call of a plain service. Immutable value.
struct service_request
{
    service_id service;
    std::string path; ///< below the service's name, with its query
    config::service_call call;

    friend bool operator==(service_request const&,
                           service_request const&) = default;
};

/// A request as received. Immutable value.
struct incoming
{
    std::string method;
    std::string path; ///< with its query
    std::string body;
    std::string content_type;
    std::string authorization;
    std::string idempotency_key;
    std::string traceparent;
};

enum class progress
{
    in_progress, ///< has not ended
    completed,   ///< the response is complete
    rejected,    ///< ended with `rejection`
    abandoned    ///< the caller disconnected
};

/// State of one request in the filter chain. Used by one thread at a time.
struct context
{
    context(request_dependencies const& shared, incoming given);
    ~context();

    context(context const&) = delete;
    context& operator=(context const&) = delete;

    request_dependencies const& shared;
    incoming in;
    instant received;
    instant deadline;

    std::optional<observe::span_builder> span;
    std::shared_ptr<config::document const> document;
    customer_id customer;
    config::customer const* customer_settings{};
    request_id id;
    std::variant<std::monostate, request::chat_request, service_request>
        parsed_request;
    token_count worst_case{};
    std::optional<std::uint64_t>
        claim_epoch;             ///< set until the claim is finished
    token_count billed_before{}; ///< by earlier runs of this request
    bool stores_response{false}; ///< a retry gets the stored one
    std::optional<request::stored_response>
        response; ///< of a service, or replayed
    bool replayed{false};
    std::unique_ptr<router::chat_relay> relay;
    std::string chat_text; ///< chat response text received so far

    progress state{progress::in_progress};
    std::optional<request::rejection> rejection;
    request::usage used;
    token_count cost{};
    bool first_token_seen{false};

    /// True if the request may be sent to a backend server twice.
    bool idempotent() const;

    /// Budget tokens that this run has cost so far. An incomplete response
    /// costs nothing, unless the caller disconnected: then the tokens generated
    /// until that time are charged.
    token_count cost_so_far() const;

    /// The bill for `cost_so_far`.
    budget::bill bill() const;
};

/// True once a planned stop aborts open requests. Thread safe.
bool shutdown_due(context const& request);

/// The rejection of a request that a planned stop aborts. Thread safe.
request::rejection shutdown_rejection(bool may_have_run);

/// Returns the next event, or empty after `bound`, or earlier if a planned stop
/// is due.
std::optional<http::exchange_event>
wait_for_event(context const& request, http::exchange& open, duration bound);

/// Opens a child span of the request's span; finish it with `finish_span`.
observe::span_builder child_span(context const& request, std::string name);

/// Finishes `span` and records it with the request's id.
void finish_span(context const& request, observe::span_builder span);

} // namespace caperpath::filters

#endif
