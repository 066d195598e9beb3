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

/// What the filters reach the rest of the process through. One a router; every
/// member may be used from any thread and outlives all requests.
struct services
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
    duration reserve_wait{2'000}; ///< longest wait for a draw of tokens
    duration claim_wait{2'000};   ///< longest wait for a claim elsewhere
    /// Monotonic milliseconds after which open work is given up, in a stop.
    std::atomic<std::int64_t>* stop_at{};
};

/// A call of a plain service, taken apart and checked. Immutable value.
struct service_request
{
    service_id service;
    std::string path; ///< below the service's name, with its query
    config::service_call call;

    friend bool operator==(service_request const&,
                           service_request const&) = default;
};

/// A request as it came in. Immutable value.
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
    open,      ///< not ended yet
    completed, ///< the whole answer is there
    refused,   ///< ended by `refusal`
    abandoned  ///< the caller left
};

/// One request on its way through the chain. Used by one thread at a time.
struct context
{
    context(services const& shared, incoming given);
    ~context();

    context(context const&) = delete;
    context& operator=(context const&) = delete;

    services const& shared;
    incoming in;
    instant received;
    instant deadline;

    std::optional<observe::span_builder> span;
    std::shared_ptr<config::document const> document;
    customer_id customer;
    config::customer const* customer_settings{};
    request_id id;
    std::variant<std::monostate, request::chat_request, service_request> work;
    token_count worst_case{};
    std::optional<std::uint64_t> claim_epoch; ///< until the claim is ended
    token_count billed_before{}; ///< for this request, by earlier runs
    bool keeps_answer{false};    ///< whoever asks again gets it
    std::optional<request::kept_answer> answer; ///< of a service, or replayed
    bool replayed{false};
    std::unique_ptr<router::chat_relay> relay;
    std::string chat_text; ///< a whole chat answer as it grows

    progress state{progress::open};
    std::optional<request::refusal> refusal;
    request::usage used;
    token_count cost{};
    bool first_token_seen{false};

    /// True for work that may be sent to a backend server twice.
    bool idempotent() const;

    /// Budget tokens that this run costs, as far as it has come. An answer that
    /// was not completed costs nothing, unless the caller left: what was
    /// generated for it until then has been used.
    token_count cost_so_far() const;

    /// The bill over `cost_so_far`.
    budget::bill bill() const;
};

/// True once a planned stop gives up open work. Thread safe.
bool stop_is_due(context const& request);

/// How a request ends that a planned stop gives up. Thread safe.
request::refusal stop_refusal(bool may_have_run);

/// The next event within `bound`; nothing earlier only when the stop is due.
std::optional<http::exchange_event>
wait_for_event(context const& request, http::exchange& open, duration bound);

/// Opens a child span of the request's span; finish it with `finish_span`.
observe::span_builder child_span(context const& request, std::string name);

/// Records a finished span with the request's id.
void finish_span(context const& request, observe::span_builder span);

} // namespace caperpath::filters

#endif
