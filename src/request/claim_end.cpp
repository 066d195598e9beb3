#include <caperpath/request/claim_run.hpp>

#include "claim_lookup.hpp"

#include <caperpath/budget/rows.hpp>

#include <utility>
#include <variant>

namespace caperpath::request
{

namespace
{

using store::commit_outcome;

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

found_end compare(store::row const& found, claim_row const& held,
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

store::commit_result commit_end(claim_store const& store,
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
    auto const* const rows = std::get_if<std::vector<store::row>>(&both);
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
    store::transaction txn;
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
                      ? store::commit_result{commit_outcome::applied, {}, {}}
                      : store.platform.commit(txn);
    }
    return outcome.outcome == commit_outcome::applied;
}

} // namespace caperpath::request
