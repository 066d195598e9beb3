#include "gateway/followers/merged_row_writer.hpp"

#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <caperpath/base/follow_backoff.hpp>
#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Batches the rows that one event changes into one write.
constexpr duration batch_delay{10};
constexpr std::size_t max_rows_per_write = 50;

} // namespace

merged_row_writer::merged_row_writer(
    boost::asio::any_io_executor const& executor, store::async_port port,
    std::size_t salt, merged_rows rows, decision_log& log)
    : timer{executor}, announce_timer{executor}, port{std::move(port)},
      salt{salt}, rows{std::move(rows)}, log{log}
{
}

void merged_row_writer::schedule(std::string const& key)
{
    this->unwritten.insert(key);
    if (this->unannounced.empty())
    {
        run_after(this->announce_timer, batch_delay,
                  [this] { this->announce(); });
    }
    this->unannounced.insert(key);
    if (!this->writing)
    {
        this->write_after(batch_delay);
    }
}

void merged_row_writer::announce()
{
    values all;
    for (auto const& key : std::exchange(this->unannounced, {}))
    {
        if (auto value = this->value_of(key))
        {
            all[key] = std::move(*value);
        }
    }
    if (!all.empty())
    {
        this->rows.announce(all);
    }
}

/// A row whose value cannot be found must not keep the others from being
/// written.
std::optional<std::string>
merged_row_writer::value_of(std::string const& key) const
{
    std::optional<std::string> value;
    run_part(this->log, key, [&] { value = this->rows.value(key); });
    return value;
}

void merged_row_writer::note_row(store::row const& row)
{
    auto& known = this->stored[row.key];
    if (row.version >= known.version)
    {
        known = {row.version, fleet::stable_hash(row.value)};
    }
}

void merged_row_writer::note_removed(std::string const& key)
{
    this->stored.erase(key);
}

std::vector<std::string> merged_row_writer::stored_keys() const
{
    std::vector<std::string> keys;
    keys.reserve(this->stored.size());
    for (auto const& [key, row] : this->stored)
    {
        keys.push_back(key);
    }
    return keys;
}

bool merged_row_writer::contains(std::string const& key) const
{
    return this->stored.contains(key) || this->unwritten.contains(key);
}

void merged_row_writer::remove_rows(
    std::function<bool(std::string const& key)> const& keep)
{
    store::transaction txn;
    for (auto const& [key, row] : this->stored)
    {
        if (txn.writes.size() < max_rows_per_write && !keep(key))
        {
            txn.conditions.push_back({key, row.version});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    for (auto const& condition : txn.conditions)
    {
        this->stored.erase(condition.key);
    }
    if (!txn.writes.empty())
    {
        // On a conflict another router removed one of them; the feed reports
        // that one. The other rows of a failed write stay in the store, and
        // this router forgets them until it reads all rows again.
        this->port.commit(txn, [](store::commit_result const&) {});
    }
}

void merged_row_writer::write_after(duration pause)
{
    this->writing = true;
    run_after(this->timer, pause, [this] { this->write(); });
}

void merged_row_writer::write()
{
    store::transaction txn;
    values sent;
    for (auto each = this->unwritten.begin();
         each != this->unwritten.end() && sent.size() < max_rows_per_write;)
    {
        auto const& key = *each;
        auto const value = this->value_of(key);
        auto const known = this->stored.find(key);
        auto const is_stored = known != this->stored.end();
        if (!value || (is_stored &&
                       known->second.value_hash == fleet::stable_hash(*value)))
        {
            each = this->unwritten.erase(each);
            continue;
        }
        txn.conditions.push_back({key, is_stored ? known->second.version : 0});
        txn.writes.push_back({key, *value});
        sent[key] = *value;
        ++each;
    }
    if (sent.empty())
    {
        this->writing = false;
        return;
    }
    this->port.commit(
        txn,
        [this, sent](store::commit_result const& result)
        {
            // Nothing else would write what is still queued.
            if (!run_part(this->log, "written rows",
                          [&] { this->handle_result(sent, result); }))
            {
                this->failures += 1;
                this->write_after(retry_backoff(this->failures, this->salt));
            }
        });
}

/// A row that cannot be merged is not written: this would remove what the other
/// router knows.
void merged_row_writer::merge(store::row const& row)
{
    if (run_part(this->log, row.key, [&] { this->rows.merge(row); }))
    {
        this->note_row(row);
        return;
    }
    this->unwritten.erase(row.key);
}

/// Also repairs a write whose response was lost: its condition fails the next
/// time.
void merged_row_writer::handle_result(values const& sent,
                                      store::commit_result const& result)
{
    if (result.outcome == store::commit_outcome::applied)
    {
        this->failures = 0;
        for (auto const& [key, written] : sent)
        {
            this->note_row({key, result.version, written});
        }
        // Writes those again whose value has changed since.
        this->write();
        return;
    }
    this->failures += 1;
    for (auto const& row : result.failed)
    {
        if (row.version == 0)
        {
            this->stored.erase(row.key);
            continue;
        }
        this->merge(row);
    }
    if (result.failed.empty() && this->failures == 1)
    {
        this->log.write_error(result.fault);
    }
    this->write_after(retry_backoff(this->failures, this->salt));
}

} // namespace caperpath::gateway
