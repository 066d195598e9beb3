#include <caperpath/request/claim_run.hpp>

#include "claim_lookup.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/request/retry.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace caperpath::request
{

namespace
{

using store::commit_outcome;

bool has_ended(std::vector<store::row> const& rows,
               incarnation_id const& holder)
{
    auto const* const found = find_row(rows, budget::holder_key(holder));
    if (found == nullptr)
    {
        return false;
    }
    auto const decoded =
        value_or_error([&] { return budget::decode_holder(found->value); });
    auto const* const row = std::get_if<budget::holder_row>(&decoded);
    // A lapsed lease would prove nothing: a paused process wakes and goes on.
    // These two states are written only with proof, and are final.
    return row != nullptr && row->state != budget::holder_state::active;
}

/// The way of one request to its claim.
class claim_attempt
{
public:
    claim_attempt(claim_store const& store, claim_request const& asked,
                  claimant const& self)
        : store{store}, asked{asked}, self{self}, until{store.time.now() +
                                                        asked.wait}
    {
    }

    begun_claim run();

private:
    std::optional<begun_claim> act();
    std::optional<begun_claim> write(claim_decision const& decision);
    void take_failed(std::vector<store::row> const& failed);
    void look();
    begun_claim give_reply(claim_reply reply);
    begun_claim hold(claim_reply reply, std::uint64_t version, claim_row row);
    begun_claim time_is_up();

    claim_store const& store;
    claim_request const& asked;
    claimant const& self;
    instant until;
    /// Empty when the table could not be read. Begins as the usual case.
    std::optional<seen_claim> seen{seen_claim{}};
    std::optional<held_claim> doubtful;
    incarnation_id other; ///< the last holder seen that is not us
    bool fenced{false};
    int tries{1};
};

begun_claim claim_attempt::run()
{
    while (true)
    {
        if (auto ended = this->act())
        {
            return std::move(*ended);
        }
        if (this->fenced || this->store.time.now() >= this->until)
        {
            return this->time_is_up();
        }
        ++this->tries;
        this->store.pause(backoff(this->tries, this->store.random()));
        this->look();
    }
}

std::optional<begun_claim> claim_attempt::act()
{
    while (this->seen && !this->fenced)
    {
        if (is_own_claim(this->self, *this->seen))
        {
            claim_reply reply;
            reply.verdict = claim_verdict::run;
            reply.epoch = this->seen->row->epoch;
            reply.billed = this->seen->row->billed;
            return this->hold(std::move(reply), this->seen->version,
                              *this->seen->row);
        }
        auto const decision =
            decide_claim(this->asked, this->self, *this->seen,
                         this->store.options, this->store.wall.now());
        if (!decision.txn)
        {
            bool const waits =
                decision.reply.verdict == claim_verdict::in_progress;
            return waits ? std::nullopt
                         : std::optional{this->give_reply(decision.reply)};
        }
        auto const before = this->seen;
        auto ended = this->write(decision);
        if (ended || this->seen == before)
        {
            return ended;
        }
    }
    return std::nullopt;
}

std::optional<begun_claim> claim_attempt::write(claim_decision const& decision)
{
    auto const version = this->seen->version;
    auto const outcome = this->store.platform.commit(*decision.txn);
    switch (outcome.outcome)
    {
    case commit_outcome::applied:
        this->doubtful.reset();
        return decision.reply.verdict == claim_verdict::run
                   ? this->hold(decision.reply, version + 1, decision.wanted)
                   : this->give_reply(decision.reply);
    case commit_outcome::refused:
        if (!outcome.failed.empty())
        {
            this->take_failed(outcome.failed);
        }
        break;
    case commit_outcome::unknown:
        if (decision.reply.verdict == claim_verdict::run)
        {
            this->doubtful = held_claim{this->asked.request, this->self,
                                        version, decision.wanted};
        }
        this->seen.reset();
        break;
    }
    return std::nullopt;
}

void claim_attempt::take_failed(std::vector<store::row> const& failed)
{
    if (find_row(failed, claim_key(this->asked.request)) == nullptr)
    {
        // Our own holder row has changed: this process counts as dead and may
        // begin nothing any more.
        this->fenced = true;
        return;
    }
    this->seen = seen_in(failed, this->asked.request);
    bool const elsewhere = this->seen && this->seen->row &&
                           this->seen->row->state == claim_state::claimed &&
                           this->seen->row->holder != this->self.incarnation;
    if (elsewhere)
    {
        this->look();
    }
}

// One read when the claim's holder is the one that was seen last.
void claim_attempt::look()
{
    auto const claim = claim_key(this->asked.request);
    for (int read = 0; read < 2; ++read)
    {
        std::vector<std::string> keys{claim};
        if (!this->other.value.empty())
        {
            keys.push_back(budget::holder_key(this->other));
        }
        auto const both =
            value_or_error([&] { return this->store.platform.read(keys); });
        auto const* const rows = std::get_if<std::vector<store::row>>(&both);
        this->seen = rows == nullptr ? std::nullopt
                                     : seen_in(*rows, this->asked.request);
        bool const elsewhere =
            this->seen && this->seen->row &&
            this->seen->row->state == claim_state::claimed &&
            this->seen->row->holder != this->self.incarnation;
        if (!elsewhere)
        {
            break;
        }
        if (this->seen->row->holder == this->other)
        {
            this->seen->holder_ended = has_ended(*rows, this->other);
            break;
        }
        this->other = this->seen->row->holder;
    }
    // A row that has moved on refuses the write whose answer was lost.
    if (this->doubtful && this->seen &&
        this->seen->version != this->doubtful->version &&
        !is_own_claim(this->self, *this->seen))
    {
        this->doubtful.reset();
    }
}

begun_claim claim_attempt::give_reply(claim_reply reply)
{
    bool const stored = reply.verdict == claim_verdict::replay &&
                        !this->seen->row->object.empty();
    if (stored)
    {
        auto body = value_or_error(
            [&] {
                return this->store.platform.get_object(this->seen->row->object);
            });
        if (body.index() != 0)
        {
            // It ran, but its answer cannot be read now: ask again.
            return this->time_is_up();
        }
        reply.answer.body = std::move(std::get<std::string>(body));
    }
    return {std::move(reply), std::nullopt, std::nullopt};
}

begun_claim claim_attempt::hold(claim_reply reply, std::uint64_t version,
                                claim_row row)
{
    return {
        std::move(reply),
        held_claim{this->asked.request, this->self, version, std::move(row)},
        std::nullopt};
}

begun_claim claim_attempt::time_is_up()
{
    claim_reply reply;
    bool const elsewhere = this->seen && !this->fenced && this->seen->row &&
                           this->seen->row->state == claim_state::claimed;
    reply.verdict =
        elsewhere ? claim_verdict::in_progress : claim_verdict::undecidable;
    reply.retry_after = this->store.options.retry_after;
    return {std::move(reply), std::nullopt, this->doubtful};
}

} // namespace

begun_claim begin_claim(claim_store const& store, claim_request const& asked,
                        claimant const& self)
{
    return claim_attempt{store, asked, self}.run();
}

} // namespace caperpath::request
