#include "gateway/token_exchange.hpp"

#include "gateway/token_refusal.hpp"

#include <algorithm>
#include <string>
#include <utility>

/// How a router asks the coordinators of a budget for tokens.
namespace caperpath::gateway
{

namespace
{

/// A coordinator that did not answer so long is passed over for a while.
constexpr duration answer_expected{120};
constexpr duration ask_again{40};
constexpr duration passed_over{1'000};
/// Callers that lack as much as one that was refused are refused at once.
constexpr duration denial_counts{300};

} // namespace

void token_exchange::take_denial(vm_id const& from, token_denial const& denial,
                                 instant now)
{
    auto& of = this->trade_of(denial.budget);
    if (!of.asked || denial.number != of.asks)
    {
        return; // of an earlier ask
    }
    duration const retry_after{denial.retry_ms};
    this->log.write(log_weight::routine, "denied",
                    {{"budget", denial.budget.value},
                     {"tokens", std::to_string(of.asked->tokens)},
                     {"coordinator", from.value},
                     {"retry_ms", std::to_string(denial.retry_ms)}});
    of.denied = {of.asked->tokens, retry_after, now + denial_counts};
    of.asked.reset();
    this->shares.refuse(denial.budget, retry_after);
}

void token_exchange::want(budget_id const& budget, instant now)
{
    auto& of = this->trade_of(budget);
    auto const lacking = this->shares.view(budget).lacking;
    if (lacking <= 0 || of.asked)
    {
        return;
    }
    if (of.denied && now < of.denied->until && lacking >= of.denied->tokens)
    {
        this->shares.refuse(budget, of.denied->retry_after);
        return;
    }
    of.asks += 1;
    of.asked = open_ask{lacking};
    this->ask(budget, of, now);
    this->flush();
}

/// Asks the first coordinator that is not silent; this router, where it comes
/// first, draws by itself and asks the others for what the row does not have.
void token_exchange::ask(budget_id const& budget, trade& of, instant now)
{
    auto& asked = *of.asked;
    while (asked.rank < of.coordinators.size() &&
           of.coordinators[asked.rank] != this->self &&
           this->is_silent(of.coordinators[asked.rank], now))
    {
        asked.rank += 1;
    }
    asked.sent_at = now;
    asked.sends = 1;
    if (asked.rank >= of.coordinators.size())
    {
        this->shares.draw_alone(budget);
        return;
    }
    if (of.coordinators[asked.rank] != this->self)
    {
        this->packet_to(of.coordinators[asked.rank])
            .asks.push_back({budget, of.asks, asked.tokens});
        return;
    }
    this->serve_self(budget, of, now);
}

/// Callers wait at the coordinator itself.
void token_exchange::serve_self(budget_id const& budget, trade& of, instant now)
{
    auto const view = this->shares.view(budget);
    auto const missing = view.lacking - view.ungranted;
    if (missing <= 0)
    {
        return;
    }
    auto const stock = this->stock_of(budget, of, now);
    if (free_elsewhere(stock) >= missing)
    {
        this->gather(budget, missing, now);
        return;
    }
    auto const retry_after = this->is_used_up(stock, view, view.lacking)
                                 ? duration{0}
                                 : retry_denied;
    of.denied = {view.lacking, retry_after, now + denial_counts};
    of.asked.reset();
    this->shares.refuse(budget, retry_after);
}

/// An ask, or its answer, may be lost: it is sent again, then the next
/// coordinator is asked.
void token_exchange::ask_next(budget_id const& budget, trade& of, instant now)
{
    if (this->shares.view(budget).lacking <= 0)
    {
        of.asked.reset();
        return;
    }
    auto& asked = *of.asked;
    auto const since = now - asked.sent_at;
    if (asked.rank >= of.coordinators.size() ||
        of.coordinators[asked.rank] == this->self)
    {
        if (since >= answer_expected)
        {
            of.asked.reset();
        }
        return;
    }
    auto const& coordinator = of.coordinators[asked.rank];
    if (since >= answer_expected)
    {
        this->log.write(log_weight::routine, "silent",
                        {{"budget", budget.value},
                         {"tokens", std::to_string(asked.tokens)},
                         {"coordinator", coordinator.value}});
        this->peers[coordinator].silent_until = now + passed_over;
        asked.rank += 1;
        this->ask(budget, of, now);
    }
    else if (since >= ask_again * asked.sends)
    {
        asked.sends += 1;
        this->packet_to(coordinator)
            .asks.push_back({budget, of.asks, asked.tokens});
    }
}

} // namespace caperpath::gateway
