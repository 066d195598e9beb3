#ifndef CAPERPATH_REQUEST_CLAIM_HPP
#define CAPERPATH_REQUEST_CLAIM_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/bill.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace caperpath::request
{

/// A finished response, stored for retries of the same request.
struct stored_response
{
    int status{};
    std::string content_type;
    std::string body;

    friend bool operator==(stored_response const&,
                           stored_response const&) = default;
};

/// Requests the exclusive right to run a request with an idempotency key.
struct claim_request
{
    request_id request;    ///< derived from customer and key
    std::string body_hash; ///< of method, path and body
    bool idempotent{false};
    duration wait{}; ///< longest wait for a claim in progress elsewhere

    friend bool operator==(claim_request const&,
                           claim_request const&) = default;
};

enum class claim_verdict
{
    run,         ///< the claim is durable; run the request
    replay,      ///< it ran; `response` is its response
    in_progress, ///< another client runs it: 409 with Retry-After
    mismatch,    ///< same key, different body: 422
    unknown,     ///< its runner died, it may have run; final if not idempotent
    undecidable  ///< the store is unavailable: 503, not run
};

struct claim_reply
{
    claim_verdict verdict{claim_verdict::undecidable};
    std::uint64_t epoch{}; ///< fencing number of the claim
    /// Tokens billed for earlier runs of this request, whose caller
    /// disconnected before the end. Subtract them from the bill of this run.
    token_count billed{};
    stored_response response;
    duration retry_after{};

    friend bool operator==(claim_reply const&, claim_reply const&) = default;
};

enum class claim_result
{
    completed, ///< `response` is stored for retries
    not_run,   ///< proved; a retry may run it
    unknown    ///< it may have run
};

struct claim_finish
{
    request_id request;
    std::uint64_t epoch{};
    claim_result result{claim_result::unknown};
    bool idempotent{false};
    token_count billed{}; ///< by this run
    stored_response response;
    /// The bill for `billed`; written in one transaction with the end of the
    /// claim, so that no response is stored without its bill.
    std::optional<budget::bill> bill{};

    friend bool operator==(claim_finish const&, claim_finish const&) = default;
};

/// Result of writing the end of a run.
enum class finish_result
{
    stored,     ///< durable; retries find it
    superseded, ///< a later runner owns the claim: bill 0, return an error
    pending     ///< claim still owned; the write is being retried
};

/// Interface of the request filters to claims. Thread safe. `finish` blocks for
/// a bounded time until retries can find the response; it returns `pending` if
/// they cannot yet.
/// @pre `finish` is called exactly once for each `run` verdict
struct claim_port
{
    std::function<claim_reply(claim_request const&)> begin;
    std::function<finish_result(claim_finish const&)> finish;
};

} // namespace caperpath::request

#endif
