#include <caperpath/request/claim_run.hpp>

#include <caperpath/budget/rows.hpp>
#include <caperpath/request/retry.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace caperpath::request
{

namespace
{

using platform::commit_outcome;

platform::row const* find_row(std::vector<platform::row> const& rows,
                              std::string const& key)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(),
                     [&key](auto const& row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

// Empty when the row cannot be understood: nothing may be decided on it.
std::optional<seen_claim> seen_in(std::vector<platform::row> const& rows,
                                  request_id const& request)
{
    auto const* const found = find_row(rows, claim_key(request));
    if (found == nullptr || found->version == 0)
    {
        return seen_claim{};
    }
    auto decoded = value_or_error([&] { return decode_claim(found->value); });
    if (auto* const row = std::get_if<claim_row>(&decoded))
    {
        return seen_claim{std::move(*row), found->version, false};
    }
    return std::nullopt;
}

bool has_ended(std::vector<platform::row> const& rows,
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
    void take_failed(std::vector<platform::row> const& failed);
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

void claim_attempt::take_failed(std::vector<platform::row> const& failed)
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
        auto const* const rows = std::get_if<std::vector<platform::row>>(&both);
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

// Named after the ticket, so that no other claim can have written it.
std::string object_name(held_claim const& held)
{
    return "answer/" + held.request.value + "/" + held.row.ticket;
}

enum class found_end
{
    ours,      ///< the end that we want is there
    unchanged, ///< our claim stands, with another version
    foreign    ///< somebody else has written the row since
};

found_end compare(platform::row const& found, claim_row const& held,
                  claim_row const& wanted)
{
    auto const decoded =
        value_or_error([&] { return decode_claim(found.value); });
    auto const* const row = std::get_if<claim_row>(&decoded);
    bool const same = row != nullptr && row->ticket == held.ticket &&
                      row->epoch == held.epoch;
    if (!same)
    {
        return found_end::foreign;
    }
    return row->state == wanted.state ? found_end::ours
           : row->state == held.state ? found_end::unchanged
                                      : found_end::foreign;
}

platform::commit_result commit_end(claim_store const& store,
                                   held_claim const& held, claim_row const& row,
                                   std::optional<budget::bill> const& bill,
                                   std::uint64_t version)
{
    auto txn = claim_write(held.request, held.self, version, row);
    if (bill && bill->tokens > 0)
    {
        // Without this row a router that dies between the claim's end and the
        // settlement leaves an answer that repeats get and nobody paid for.
        txn.writes.push_back(
            {budget::answered_key(held.self.incarnation, *bill),
             budget::encode(std::vector{*bill})});
    }
    return store.platform.commit(txn);
}

} // namespace

begun_claim begin_claim(claim_store const& store, claim_request const& asked,
                        claimant const& self)
{
    return claim_attempt{store, asked, self}.run();
}

claim_end finish_claim(claim_store const& store, held_claim const& held,
                       claim_finish const& finish, std::uint64_t& version)
{
    std::string object;
    if (needs_object(finish, store.options))
    {
        object = object_name(held);
        auto const put = store.platform.put_object(object, finish.answer.body);
        if (put.outcome != commit_outcome::applied)
        {
            return claim_end::pending;
        }
    }
    auto const row =
        finished_row(held.row, finish, object, store.options, store.wall.now());
    version = held.version;
    auto outcome = commit_end(store, held, row, finish.bill, version);
    auto const* found = find_row(outcome.failed, claim_key(held.request));
    if (found != nullptr &&
        compare(*found, held.row, row) == found_end::unchanged)
    {
        // A row that was deleted once doesn't begin with version 1 again.
        version = found->version;
        outcome = commit_end(store, held, row, finish.bill, version);
        found = find_row(outcome.failed, claim_key(held.request));
    }
    if (outcome.outcome == commit_outcome::applied)
    {
        version += 1;
        return claim_end::kept;
    }
    if (outcome.outcome == commit_outcome::unknown || outcome.failed.empty())
    {
        return claim_end::pending;
    }
    // The first write may have taken effect and its answer been lost; the
    // second one is refused by it.
    bool const own =
        found != nullptr && compare(*found, held.row, row) == found_end::ours;
    version = own ? found->version : 0;
    return own ? claim_end::kept : claim_end::superseded;
}

// Not only a claim that stands is in the way: the lost write may still be under
// way to the table and take effect after a look has found nothing. A row
// written over the version that it expects refuses it.
bool withdraw_claim(claim_store const& store, held_claim const& doubtful)
{
    auto const key = claim_key(doubtful.request);
    auto const both =
        value_or_error([&] { return store.platform.read({key}); });
    auto const* const rows = std::get_if<std::vector<platform::row>>(&both);
    if (rows == nullptr)
    {
        return false;
    }
    auto const seen = seen_in(*rows, doubtful.request);
    if (!seen)
    {
        return false;
    }
    bool const ours = is_own_claim(doubtful.self, *seen);
    if (!ours && seen->version != doubtful.version)
    {
        return true;
    }
    auto released = doubtful.row;
    released.state = claim_state::not_run;
    auto const outcome = store.platform.commit(
        claim_write(doubtful.request, doubtful.self, seen->version, released));
    return outcome.outcome == commit_outcome::applied;
}

bool delete_claims(claim_store const& store,
                   std::vector<kept_claim> const& expired)
{
    platform::transaction txn;
    for (auto const& one : expired)
    {
        auto const key = claim_key(one.request);
        txn.conditions.push_back({key, one.version});
        txn.writes.push_back({key, std::nullopt});
    }
    auto outcome = store.platform.commit(txn);
    if (outcome.outcome == commit_outcome::refused && !outcome.failed.empty())
    {
        auto const changed = [&outcome](auto const& entry)
        {
            return find_row(outcome.failed, entry.key) != nullptr;
        };
        std::erase_if(txn.conditions, changed);
        std::erase_if(txn.writes, changed);
        outcome = txn.writes.empty()
                      ? platform::commit_result{commit_outcome::applied, {}, {}}
                      : store.platform.commit(txn);
    }
    return outcome.outcome == commit_outcome::applied;
}

} // namespace caperpath::request
