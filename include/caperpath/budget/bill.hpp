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

/// The cost of one request; written to the ledger exactly once. Immutable
/// value.
struct bill
{
    request_id request;
    customer_id customer;
    budget_id budget;
    token_count tokens{}; ///< budget tokens, never above the reservation
    std::int64_t prompt_tokens{};
    std::int64_t completion_tokens{};
    std::uint64_t config_version{};
    /// The response is kept under an idempotency key, with the bill in a row of
    /// its own until it is in the ledger.
    bool answer_kept{false};

    friend auto operator<=>(bill const&, bill const&) = default;
};

/// Reserves the worst-case cost of one request.
struct reserve_request
{
    request_id request;
    budget_id budget;
    config::budget_policy policy{};
    token_count amount{};
    duration wait{}; ///< maximum time that the caller may wait for a draw
    /// The tokens go to another router and do not count as traffic of this one.
    bool is_transfer{false};

    friend bool operator==(reserve_request const&,
                           reserve_request const&) = default;
};

enum class reserve_verdict
{
    admitted,   ///< `amount` is reserved until `finish`
    exhausted,  ///< not enough tokens. `retry_after` > 0: other routers may
                ///< return some (429); 0: the paid amount is spent (402)
    undecidable ///< cannot be decided safely now: 503
};

struct reserve_reply
{
    reserve_verdict verdict{};
    /// When a retry makes sense. 0: a retry cannot succeed, or, for an unknown
    /// budget (`undecidable`), no delay is known.
    duration retry_after{};

    friend bool operator==(reserve_reply const&,
                           reserve_reply const&) = default;
};

/// Ends a reservation: `cost.tokens` of `reserved` are spent, the rest becomes
/// free. A request without cost has a bill of 0 tokens.
struct finish_request
{
    bill cost;
    config::budget_policy policy{};
    token_count reserved{};

    friend bool operator==(finish_request const&,
                           finish_request const&) = default;
};

/// How durable the bill is when `finish` returns.
enum class bill_state
{
    durable, ///< in the platform's table
    copied,  ///< held by a peer in another failure domain
    local    ///< in this router's memory only
};

/// The interface of budgets for the request filters. A struct of functions: the
/// controller implements it, and tests implement it over plain state. Thread
/// safe.
struct port
{
    /// Blocks for at most `wait`. An admitted request must be finished once.
    std::function<reserve_reply(reserve_request const&)> reserve;

    /// Blocks, for a bounded time, until the bill is as durable as the policy
    /// requires before the response ends; `false_refusals_first` returns at
    /// once. A retry with the same request id changes nothing.
    std::function<bill_state(finish_request const&)> finish;
};

} // namespace caperpath::budget

#endif
