#include <caperpath/request/claim_store.hpp>

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
    // An expired lease proves nothing, because a paused process may resume. The
    // other states are written only with proof and are final.
    return row != nullptr && row->state != budget::holder_state::active;
}

/// Takes the claim of one request, with retries until its wait expires.
class claim_attempt
{
public:
    claim_attempt(claim_store const& store, claim_request const& asked,
                  claimant const& self)
        : store{store}, asked{asked}, self{self}, until{store.time.now() +
                                                        asked.wait}
    {
    }

    begin_result run();

private:
    std::optional<begin_result> advance();
    std::optional<begin_result> write(claim_decision const& decision);
    void handle_conflict(std::vector<store::row> const& failed);
    void refresh();
    begin_result make_reply(claim_reply reply);
    begin_result make_claimed(claim_reply reply, std::uint64_t version,
                              claim_row row);
    begin_result make_timeout();

    claim_store const& store;
    claim_request const& asked;
    claimant const& self;
    instant until;
    /// Empty if the table could not be read. Starts as no claim, the usual
    /// case.
    std::optional<claim_snapshot> current{claim_snapshot{}};
    std::optional<held_claim> uncertain;
    incarnation_id other_holder; ///< last holder read that is not this router
    bool fenced{false};
    int attempts{1};
};

begin_result claim_attempt::run()
{
    while (true)
    {
        if (auto ended = this->advance())
        {
            return std::move(*ended);
        }
        if (this->fenced || this->store.time.now() >= this->until)
        {
            return this->make_timeout();
        }
        ++this->attempts;
        this->store.pause(backoff(this->attempts, this->store.random()));
        this->refresh();
    }
}

std::optional<begin_result> claim_attempt::advance()
{
    while (this->current && !this->fenced)
    {
        if (is_own_claim(this->self, *this->current))
        {
            claim_reply reply;
            reply.verdict = claim_verdict::run;
            reply.epoch = this->current->row->epoch;
            reply.billed = this->current->row->billed;
            return this->make_claimed(std::move(reply), this->current->version,
                                      *this->current->row);
        }
        auto const decision =
            decide_claim(this->asked, this->self, *this->current,
                         this->store.options, this->store.wall.now());
        if (!decision.txn)
        {
            bool const in_progress =
                decision.reply.verdict == claim_verdict::in_progress;
            return in_progress
                       ? std::nullopt
                       : std::optional{this->make_reply(decision.reply)};
        }
        auto const previous = this->current;
        auto ended = this->write(decision);
        if (ended || this->current == previous)
        {
            return ended;
        }
    }
    return std::nullopt;
}

std::optional<begin_result> claim_attempt::write(claim_decision const& decision)
{
    auto const version = this->current->version;
    auto const outcome = this->store.platform.commit(*decision.txn);
    switch (outcome.outcome)
    {
    case commit_outcome::applied:
        this->uncertain.reset();
        return decision.reply.verdict == claim_verdict::run
                   ? this->make_claimed(decision.reply, version + 1,
                                        decision.wanted)
                   : this->make_reply(decision.reply);
    case commit_outcome::rejected:
        if (!outcome.failed.empty())
        {
            this->handle_conflict(outcome.failed);
        }
        break;
    case commit_outcome::unknown:
        if (decision.reply.verdict == claim_verdict::run)
        {
            this->uncertain = held_claim{this->asked.request, this->self,
                                         version, decision.wanted};
        }
        this->current.reset();
        break;
    }
    return std::nullopt;
}

void claim_attempt::handle_conflict(std::vector<store::row> const& failed)
{
    if (find_row(failed, claim_key(this->asked.request)) == nullptr)
    {
        // This router's own holder row has changed: other routers consider this
        // process dead, so it must not begin any more requests.
        this->fenced = true;
        return;
    }
    this->current = find_claim(failed, this->asked.request);
    bool const held_elsewhere =
        this->current && this->current->row &&
        this->current->row->state == claim_state::claimed &&
        this->current->row->holder != this->self.incarnation;
    if (held_elsewhere)
    {
        this->refresh();
    }
}

// Needs one read if the claim's holder is the same as in the last read.
void claim_attempt::refresh()
{
    auto const claim = claim_key(this->asked.request);
    for (int read = 0; read < 2; ++read)
    {
        std::vector<std::string> keys{claim};
        if (!this->other_holder.value.empty())
        {
            keys.push_back(budget::holder_key(this->other_holder));
        }
        auto const read_result =
            value_or_error([&] { return this->store.platform.read(keys); });
        auto const* const rows =
            std::get_if<std::vector<store::row>>(&read_result);
        this->current = rows == nullptr
                            ? std::nullopt
                            : find_claim(*rows, this->asked.request);
        bool const held_elsewhere =
            this->current && this->current->row &&
            this->current->row->state == claim_state::claimed &&
            this->current->row->holder != this->self.incarnation;
        if (!held_elsewhere)
        {
            break;
        }
        if (this->current->row->holder == this->other_holder)
        {
            this->current->holder_ended = has_ended(*rows, this->other_holder);
            break;
        }
        this->other_holder = this->current->row->holder;
    }
    // The uncertain write conflicts with a row that has changed since.
    if (this->uncertain && this->current &&
        this->current->version != this->uncertain->version &&
        !is_own_claim(this->self, *this->current))
    {
        this->uncertain.reset();
    }
}

begin_result claim_attempt::make_reply(claim_reply reply)
{
    bool const stored = reply.verdict == claim_verdict::replay &&
                        !this->current->row->object.empty();
    if (stored)
    {
        auto body = value_or_error(
            [&] {
                return this->store.platform.get_object(
                    this->current->row->object);
            });
        if (body.index() != 0)
        {
            // The request ran, but its response cannot be read: the caller
            // retries.
            return this->make_timeout();
        }
        reply.response.body = std::move(std::get<std::string>(body));
    }
    return {std::move(reply), std::nullopt, std::nullopt};
}

begin_result claim_attempt::make_claimed(claim_reply reply,
                                         std::uint64_t version, claim_row row)
{
    return {
        std::move(reply),
        held_claim{this->asked.request, this->self, version, std::move(row)},
        std::nullopt};
}

begin_result claim_attempt::make_timeout()
{
    claim_reply reply;
    bool const held_elsewhere =
        this->current && !this->fenced && this->current->row &&
        this->current->row->state == claim_state::claimed;
    reply.verdict = held_elsewhere ? claim_verdict::in_progress
                                   : claim_verdict::undecidable;
    reply.retry_after = this->store.options.retry_after;
    return {std::move(reply), std::nullopt, this->uncertain};
}

} // namespace

begin_result begin_claim(claim_store const& store, claim_request const& asked,
                         claimant const& self)
{
    return claim_attempt{store, asked, self}.run();
}

} // namespace caperpath::request
