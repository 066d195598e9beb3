#ifndef CAPERPATH_BUDGET_BILL_HPP
#define CAPERPATH_BUDGET_BILL_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/config/document.hpp>

#include <compare>
#include <cstdint>
#include <functional>

namespace caperpath::budget
{

/// What one request cost; written to the ledger exactly once. Immutable value.
struct bill
{
    request_id request;
    customer_id customer;
    budget_id budget;
    token_count tokens{}; ///< budget tokens, never above the reservation
    std::int64_t prompt_tokens{};
    std::int64_t completion_tokens{};
    std::uint64_t config_version{};
    /// Its answer is kept under an idempotency key, and the bill beside it
    /// until it is in the ledger.
    bool answer_kept{false};

    friend auto operator<=>(bill const&, bill const&) = default;
};

/// Asks to set aside the worst case of one request.
struct reserve_request
{
    request_id request;
    budget_id budget;
    config::budget_policy policy{};
    token_count amount{};
    duration wait{}; ///< how long the caller may be kept waiting for a draw
    /// The tokens go to another router: not counted as traffic of this one.
    bool is_transfer{false};

    friend bool operator==(reserve_request const&,
                           reserve_request const&) = default;
};

enum class reserve_verdict
{
    admitted,   ///< `amount` is set aside until `finish`
    exhausted,  ///< the paid amount does not cover it: 402
    undecidable ///< cannot be decided safely now: 503
};

struct reserve_reply
{
    reserve_verdict verdict{};
    duration retry_after{}; ///< when asking again makes sense, 0: never

    friend bool operator==(reserve_reply const&,
                           reserve_reply const&) = default;
};

/// Ends a reservation: `cost.tokens` of `reserved` are spent, the rest is free
/// again. A request that cost nothing has a bill of 0 tokens.
struct finish_request
{
    bill cost;
    config::budget_policy policy{};
    token_count reserved{};

    friend bool operator==(finish_request const&,
                           finish_request const&) = default;
};

/// How safe the bill is when `finish` returns.
enum class bill_state
{
    durable, ///< in the platform's table
    copied,  ///< held by a peer in another failure domain
    local    ///< in this router's memory only
};

/// What the request filters know of budgets. A struct of functions: the
/// controller makes one, tests make one over plain state. Thread safe.
struct port
{
    /// Blocks at most `wait`. An admitted request must be finished once.
    std::function<reserve_reply(reserve_request const&)> reserve;

    /// Blocks as long as the policy wants the bill safe before the answer ends
    /// (bounded); `false_refusals_first` returns at once. A repeat with the
    /// same request id changes nothing.
    std::function<bill_state(finish_request const&)> finish;
};

} // namespace caperpath::budget

#endif
