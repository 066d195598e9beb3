#include "share_rules.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace caperpath::budget
{

namespace
{

using store::commit_outcome;

/// The decoded row, or empty if it cannot be decoded; the state then stays as
/// it was.
template <class Row>
std::optional<Row> decode_row(store::row const& found,
                              result<Row> (*decode)(std::string const&))
{
    auto both = value_or_error([&] { return decode(found.value); });
    auto* const row = std::get_if<Row>(&both);
    return row != nullptr ? std::optional<Row>{*row} : std::nullopt;
}

/// Counts what was granted since the last read as draws of other holders. Own
/// draws were recorded when they were written.
void record_other_draws(share_state& state, budget_row const& row, instant now)
{
    if (state.seen && state.seen->version > 0)
    {
        state.others =
            metered(state.others, row.granted - state.seen->row.granted, now);
    }
}

void record_budget(share_state& state, budget_row const& row,
                   std::uint64_t version, instant now)
{
    auto const same_wanted = state.seen && state.seen->row.wanted == row.wanted;
    auto const since = same_wanted ? state.seen->wanted_since : now;
    state.seen = seen_budget{row, version, now, since};
}

void apply_budget_row(share_state& state, store::row const& found, instant now)
{
    if (found.version == 0)
    {
        state.seen = seen_budget{{}, 0, now};
        return;
    }
    auto const row = decode_row(found, &decode_budget);
    if (row)
    {
        record_other_draws(state, *row, now);
        record_budget(state, *row, found.version, now);
    }
}

/// This router is the only writer of the share row, so a newer version than the
/// known one is its own write whose response was lost. It is the latest write,
/// since each is conditional on the version before it. A missing row was
/// recovered by another router.
void apply_share_row(share_state& state, store::row const& found)
{
    if (found.version == 0 && state.share_version > 0)
    {
        // While closing, this router itself deleted the row, and the response
        // was lost.
        state.fenced = !state.closing;
        state.share = {};
        state.share_version = 0;
        state.floor.reset();
        return;
    }
    if (found.version <= state.share_version)
    {
        return;
    }
    auto const row = decode_row(found, &decode_share);
    if (row)
    {
        state.share = *row;
        state.share_version = found.version;
        state.floor.reset();
    }
}

void apply_rows(share_state& state, holder_view const& holder,
                std::vector<store::row> const& rows, instant now)
{
    auto const budget = budget_key(state.budget);
    auto const share = share_key(state.budget, holder.incarnation);
    auto const own = holder_key(holder.incarnation);
    for (auto const& found : rows)
    {
        if (found.key == budget)
        {
            apply_budget_row(state, found, now);
        }
        if (found.key == share)
        {
            apply_share_row(state, found);
        }
        if (found.key == own && found.version != holder.version)
        {
            state.fenced = true;
        }
    }
}

std::size_t jitter_salt(share_state const& state, holder_view const& holder,
                        instant now)
{
    return std::hash<budget_id>{}(state.budget) +
           std::hash<incarnation_id>{}(holder.incarnation) +
           static_cast<std::size_t>(now.ms);
}

void store_failed(share_state& state, instant now)
{
    state.failures += 1;
    state.down_since = state.down_since.value_or(now);
    auto const salt =
        std::hash<budget_id>{}(state.budget) + static_cast<std::size_t>(now.ms);
    state.retry_at = now + backoff(state.failures, salt);
}

void store_reached(share_state& state)
{
    state.failures = 0;
    state.down_since.reset();
}

void apply_write(share_state& state, planned_write const& planned,
                 store::commit_result const& applied, instant now)
{
    if (planned.budget)
    {
        auto const version =
            store::written_version(applied, state.seen->version);
        record_budget(state, *planned.budget, version, now);
        state.own_wanted =
            planned.budget->wanted == state.own_wanted ? state.own_wanted : 0;
    }
    if (planned.share)
    {
        state.share = *planned.share;
        state.share_version =
            store::written_version(applied, state.share_version);
        // Every earlier write was conditional on a version that no longer
        // exists, so none of them can take effect any more.
        state.floor.reset();
    }
    if (planned.retires)
    {
        // The budget row counts tokens that were not returned as spent by a
        // former holder. Any of them that are free came from other routers.
        auto const free = free_tokens(state);
        auto const back = std::min(free, state.share.granted);
        state.share = {};
        state.share_version = 0;
        state.settled = 0;
        state.given = 0;
        state.received = free - back;
    }
}

/// The response was lost, so the write may take effect after any read. The
/// lower of the two values counts until a write on the same share row version
/// is applied, or is rejected because the row has changed. Otherwise a return
/// that takes effect late would leave tokens spent here that another router has
/// drawn.
void lower_floor(share_state& state, planned_write const& planned)
{
    state.read_first = true;
    if (!planned.share && !planned.retires)
    {
        return;
    }
    auto const after = planned.share.value_or(share_row{});
    auto const before = state.floor.value_or(state.share);
    state.floor = share_row{std::min(before.granted, after.granted),
                            std::min(before.exposed, after.exposed)};
}

store::row absent(std::string key)
{
    return {std::move(key), 0, ""};
}

} // namespace

std::vector<std::string> read_keys(share_state const& state,
                                   holder_view const& holder)
{
    return {budget_key(state.budget),
            share_key(state.budget, holder.incarnation),
            holder_key(holder.incarnation)};
}

share_state after_read(share_state state, holder_view const& holder,
                       std::vector<store::row> const& rows, instant now)
{
    state.busy = false;
    state.read_first = false;
    store_reached(state);
    std::vector<store::row> all;
    for (auto const& key : read_keys(state, holder))
    {
        auto const found = std::find_if(rows.begin(), rows.end(),
                                        [&key](store::row const& one)
                                        { return one.key == key; });
        all.push_back(found == rows.end() ? absent(key) : *found);
    }
    apply_rows(state, holder, all, now);
    return state;
}

share_state after_feed_update(share_state state, store::row const& budget,
                              instant now)
{
    auto const is_newer = !state.seen || budget.version > state.seen->version;
    if (is_newer && budget.key == budget_key(state.budget))
    {
        apply_budget_row(state, budget, now);
    }
    return state;
}

share_state after_feed_unchanged(share_state state, instant now)
{
    if (state.seen)
    {
        state.seen->at = now;
    }
    return state;
}

share_state after_failed_read(share_state state, instant now)
{
    state.busy = false;
    store_failed(state, now);
    return state;
}

share_state store_result(share_state state, bool reached, instant now)
{
    if (reached)
    {
        store_reached(state);
        return state;
    }
    state.down_since = state.down_since.value_or(now);
    return state;
}

share_state after_write(share_state state, holder_view const& holder,
                        store::commit_result const& outcome, instant now)
{
    state.busy = false;
    auto const planned = std::exchange(state.planned, std::nullopt);
    if (!planned)
    {
        return state;
    }
    switch (outcome.outcome)
    {
    case commit_outcome::applied:
        store_reached(state);
        apply_write(state, *planned, outcome, now);
        state.conflicts = 0;
        return state;
    case commit_outcome::rejected:
        if (outcome.failed.empty())
        {
            store_failed(state, now);
            return state;
        }
        store_reached(state);
        apply_rows(state, holder, outcome.failed, now);
        state.conflicts += 1;
        state.retry_at =
            now + conflict_pause(state.conflicts, !state.waiting.empty(),
                                 jitter_salt(state, holder, now));
        return state;
    case commit_outcome::unknown:
        store_failed(state, now);
        lower_floor(state, *planned);
        break;
    }
    return state;
}

} // namespace caperpath::budget
