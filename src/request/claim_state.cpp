#include <caperpath/request/claim_state.hpp>

#include <caperpath/budget/rows.hpp>

#include <utility>

namespace caperpath::request
{

namespace
{

claim_reply reply_of(claim_verdict verdict)
{
    claim_reply reply;
    reply.verdict = verdict;
    return reply;
}

claim_decision reply_only(claim_verdict verdict)
{
    return {std::nullopt, {}, reply_of(verdict)};
}

claim_decision acquire(claim_request const& asked, claimant const& self,
                       claim_snapshot const& seen, claim_options const& options,
                       instant wall_now)
{
    claim_row wanted;
    wanted.epoch = seen.row ? seen.row->epoch + 1 : 1;
    wanted.holder = self.incarnation;
    wanted.ticket = self.ticket;
    wanted.body_hash = asked.body_hash;
    wanted.idempotent = asked.idempotent;
    wanted.billed = seen.row ? seen.row->billed : 0;
    wanted.keep_until = wall_now + options.retention;
    auto reply = reply_of(claim_verdict::run);
    reply.epoch = wanted.epoch;
    reply.billed = wanted.billed;
    auto txn = claim_write(asked.request, self, seen.version, wanted);
    return {std::move(txn), std::move(wanted), std::move(reply)};
}

// The dead holder may have sent the call before it died, so the outcome stays
// unknown for this attempt and every later one. The new epoch makes the
// holder's own completion conflict in case the proof of its death was wrong.
claim_decision mark_unknown(claim_request const& asked, claimant const& self,
                            claim_snapshot const& seen)
{
    auto wanted = *seen.row;
    wanted.state = claim_state::unknown;
    wanted.epoch += 1;
    wanted.holder = self.incarnation;
    wanted.ticket = self.ticket;
    auto txn = claim_write(asked.request, self, seen.version, wanted);
    return {std::move(txn), std::move(wanted),
            reply_of(claim_verdict::unknown)};
}

claim_decision decide_claimed(claim_request const& asked, claimant const& self,
                              claim_snapshot const& seen, bool idempotent,
                              claim_options const& options, instant wall_now)
{
    if (!seen.holder_ended)
    {
        auto waiting = reply_only(claim_verdict::in_progress);
        waiting.reply.retry_after = options.retry_after;
        return waiting;
    }
    return idempotent ? acquire(asked, self, seen, options, wall_now)
                      : mark_unknown(asked, self, seen);
}

} // namespace

std::string claim_key(request_id const& request)
{
    return "claim/" + request.value;
}

store::transaction claim_write(request_id const& request, claimant const& self,
                               std::uint64_t version, claim_row const& row)
{
    auto const key = claim_key(request);
    return {{{key, version},
             {budget::holder_key(self.incarnation), self.holder_version}},
            {{key, encode(row)}}};
}

claim_decision decide_claim(claim_request const& asked, claimant const& self,
                            claim_snapshot const& seen,
                            claim_options const& options, instant wall_now)
{
    if (!seen.row)
    {
        return acquire(asked, self, seen, options, wall_now);
    }
    if (seen.row->body_hash != asked.body_hash)
    {
        return reply_only(claim_verdict::mismatch);
    }
    // The configuration of the call may have changed in between: it must be
    // idempotent both for the earlier run and for this one.
    bool const idempotent = seen.row->idempotent && asked.idempotent;
    switch (seen.row->state)
    {
    case claim_state::done:
    {
        auto replay = reply_only(claim_verdict::replay);
        replay.reply.response = seen.row->response;
        return replay;
    }
    case claim_state::not_run:
        return acquire(asked, self, seen, options, wall_now);
    case claim_state::unknown:
        return idempotent ? acquire(asked, self, seen, options, wall_now)
                          : reply_only(claim_verdict::unknown);
    case claim_state::claimed:
        break;
    }
    return decide_claimed(asked, self, seen, idempotent, options, wall_now);
}

bool is_own_claim(claimant const& self, claim_snapshot const& seen)
{
    return seen.row && seen.row->state == claim_state::claimed &&
           seen.row->holder == self.incarnation &&
           seen.row->ticket == self.ticket;
}

bool needs_object(claim_finish const& finish, claim_options const& options)
{
    return finish.result == claim_result::completed &&
           finish.response.body.size() > options.max_inline_bytes;
}

claim_row finished_row(claim_row held, claim_finish const& finish,
                       std::string const& object, claim_options const& options,
                       instant wall_now)
{
    held.billed += finish.billed;
    held.keep_until = wall_now + options.retention;
    switch (finish.result)
    {
    case claim_result::completed:
        held.state = claim_state::done;
        held.response = finish.response;
        held.object = object;
        break;
    case claim_result::not_run:
        held.state = claim_state::not_run;
        break;
    case claim_result::unknown:
        held.state = claim_state::unknown;
        break;
    }
    if (!object.empty())
    {
        held.response.body.clear();
    }
    return held;
}

} // namespace caperpath::request
