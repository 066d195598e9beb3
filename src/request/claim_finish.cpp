#include <caperpath/request/claim_store.hpp>

#include "claim_lookup.hpp"

#include <caperpath/budget/rows.hpp>

#include <utility>
#include <variant>

namespace caperpath::request
{

namespace
{

using store::commit_outcome;

// Includes the ticket, so that no other claim can have written the object.
std::string object_name(held_claim const& held)
{
    return "answer/" + held.request.value + "/" + held.row.ticket;
}

enum class row_match
{
    finished,  ///< the claim is finished as wanted
    unchanged, ///< our claim is still open, at another version
    foreign    ///< another claimant has written the row since
};

row_match compare(store::row const& found, claim_row const& held,
                  claim_row const& wanted)
{
    auto const decoded =
        value_or_error([&] { return decode_claim(found.value); });
    auto const* const row = std::get_if<claim_row>(&decoded);
    bool const same = row != nullptr && row->ticket == held.ticket &&
                      row->epoch == held.epoch;
    if (!same)
    {
        return row_match::foreign;
    }
    return row->state == wanted.state ? row_match::finished
           : row->state == held.state ? row_match::unchanged
                                      : row_match::foreign;
}

store::commit_result commit_end(claim_store const& store,
                                held_claim const& held, claim_row const& row,
                                std::optional<budget::bill> const& bill,
                                std::uint64_t version)
{
    auto txn = claim_write(held.request, held.self, version, row);
    if (bill && bill->tokens > 0)
    {
        // Without this row, a router that dies between finishing the claim and
        // the settlement leaves a stored response that is never billed.
        txn.writes.push_back(
            {budget::kept_bill_key(held.self.incarnation, *bill),
             budget::encode(std::vector{*bill})});
    }
    return store.platform.commit(txn);
}

} // namespace

finish_result finish_claim(claim_store const& store, held_claim const& held,
                           claim_finish const& finish, std::uint64_t& version)
{
    std::string object;
    if (needs_object(finish, store.options))
    {
        object = object_name(held);
        auto const put =
            store.platform.put_object(object, finish.response.body);
        if (put.outcome != commit_outcome::applied)
        {
            return finish_result::pending;
        }
    }
    auto const row =
        finished_row(held.row, finish, object, store.options, store.wall.now());
    version = held.version;
    auto outcome = commit_end(store, held, row, finish.bill, version);
    auto const* found = find_row(outcome.failed, claim_key(held.request));
    if (found != nullptr &&
        compare(*found, held.row, row) == row_match::unchanged)
    {
        // A row that was deleted before does not start at version 1 again.
        version = found->version;
        outcome = commit_end(store, held, row, finish.bill, version);
        found = find_row(outcome.failed, claim_key(held.request));
    }
    if (outcome.outcome == commit_outcome::applied)
    {
        version += 1;
        return finish_result::stored;
    }
    if (outcome.outcome == commit_outcome::unknown || outcome.failed.empty())
    {
        return finish_result::pending;
    }
    // The first write may have taken effect although its response was lost;
    // then the second write conflicts with it.
    bool const own = found != nullptr &&
                     compare(*found, held.row, row) == row_match::finished;
    version = own ? found->version : 0;
    return own ? finish_result::stored : finish_result::superseded;
}

// Writes the row even if the claim is absent: the uncertain write may still be
// in flight and take effect after a read has found nothing. Writing the row at
// the version that it expects makes it conflict.
bool withdraw_claim(claim_store const& store, held_claim const& doubtful)
{
    auto const key = claim_key(doubtful.request);
    auto const read_result =
        value_or_error([&] { return store.platform.read({key}); });
    auto const* const rows = std::get_if<std::vector<store::row>>(&read_result);
    if (rows == nullptr)
    {
        return false;
    }
    auto const seen = find_claim(*rows, doubtful.request);
    if (!seen)
    {
        return false;
    }
    bool const own = is_own_claim(doubtful.self, *seen);
    if (!own && seen->version != doubtful.version)
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
                   std::vector<expiring_claim> const& expired)
{
    store::transaction txn;
    for (auto const& claim : expired)
    {
        auto const key = claim_key(claim.request);
        txn.conditions.push_back({key, claim.version});
        txn.writes.push_back({key, std::nullopt});
    }
    auto outcome = store.platform.commit(txn);
    if (outcome.outcome == commit_outcome::rejected && !outcome.failed.empty())
    {
        auto const changed = [&outcome](auto const& entry)
        {
            return find_row(outcome.failed, entry.key) != nullptr;
        };
        std::erase_if(txn.conditions, changed);
        std::erase_if(txn.writes, changed);
        outcome = txn.writes.empty()
                      ? store::commit_result{commit_outcome::applied, {}, {}}
                      : store.platform.commit(txn);
    }
    return outcome.outcome == commit_outcome::applied;
}

} // namespace caperpath::request
