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

/// A finished answer as it is kept for a caller that asks again.
struct kept_answer
{
    int status{};
    std::string content_type;
    std::string body;

    friend bool operator==(kept_answer const&, kept_answer const&) = default;
};

/// Asks to be the one who runs a request that carries an idempotency key.
struct claim_request
{
    request_id request;    ///< derived from customer and key
    std::string body_hash; ///< of method, path and body
    bool idempotent{false};
    duration wait{}; ///< how long to wait for one in progress elsewhere

    friend bool operator==(claim_request const&,
                           claim_request const&) = default;
};

enum class claim_verdict
{
    run,         ///< the claim is ours, and durable
    replay,      ///< it ran; `answer` is what it gave
    in_progress, ///< somebody else runs it: 409 with Retry-After
    mismatch,    ///< same key, other body: 422
    unknown,     ///< its runner died and nobody knows: final if not idempotent
    undecidable  ///< the store cannot say now: 503, not run
};

struct claim_reply
{
    claim_verdict verdict{claim_verdict::undecidable};
    std::uint64_t epoch{}; ///< fencing number of our claim
    /// Tokens that earlier runs of this request were billed: a caller left
    /// before the end. The bill of this run is less by as much.
    token_count billed{};
    kept_answer answer;
    duration retry_after{};

    friend bool operator==(claim_reply const&, claim_reply const&) = default;
};

enum class claim_result
{
    completed, ///< `answer` is kept for whoever asks again
    not_run,   ///< proved; the next one may run it
    unknown    ///< it may have run
};

struct claim_finish
{
    request_id request;
    std::uint64_t epoch{};
    claim_result result{claim_result::unknown};
    bool idempotent{false};
    token_count billed{}; ///< by this run
    kept_answer answer;
    /// What `billed` is for; written in one with the end of the claim, so that
    /// no answer is kept without its bill.
    std::optional<budget::bill> bill{};

    friend bool operator==(claim_finish const&, claim_finish const&) = default;
};

/// What became of the end of a run.
enum class claim_end
{
    kept,       ///< whoever asks again finds it
    superseded, ///< a later runner holds the claim: bill 0, end in an error
    pending     ///< still ours; written as soon as the store takes it
};

/// What the request filters know of claims. Thread safe. Each `run` verdict is
/// finished once. `finish` blocks (bounded) until the answer can be found again
/// and says whether it can.
struct claim_port
{
    std::function<claim_reply(claim_request const&)> begin;
    std::function<claim_end(claim_finish const&)> finish;
};

} // namespace caperpath::request

#endif
