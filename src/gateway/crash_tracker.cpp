#include "gateway/crash_tracker.hpp"

#include "gateway/crash_rows.hpp"
#include "gateway/run_after.hpp"

#include <caperpath/base/follow_backoff.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// How long the store may keep a call for changes pending. The store reports
/// changes as soon as they are written, so a longer time saves calls and delays
/// nothing, except on a connection that goes silent. Keep-alive probes detect
/// that, and another lost store call makes the follower replace its own.
constexpr duration poll_hold{2'000};
constexpr duration max_poll_hold{15'000};
/// Batches the requests that one crash ended into one write.
constexpr duration batch_delay{10};
constexpr duration read_retry_delay{500};
constexpr duration sweep_interval{10'000};
/// Each router adds its own delay to the age at which it removes rows, so that
/// usually only one of them tries to remove a row.
constexpr std::size_t sweep_jitter_ms = 60'000;
constexpr std::size_t max_rows_per_write = 50;

std::string_view name_of(fleet::crash_verdict verdict)
{
    switch (verdict)
    {
    case fleet::crash_verdict::clear:
        return "clear";
    case fleet::crash_verdict::suspected:
        return "suspected";
    case fleet::crash_verdict::on_probation:
        return "on_probation";
    case fleet::crash_verdict::quarantined:
        break;
    }
    return "quarantined";
}

} // namespace

crash_tracker::crash_tracker(boost::asio::any_io_executor const& executor,
                             store::async_port port, std::size_t salt,
                             decision_log& log)
    : read_timer{executor}, write_timer{executor},
      sweep_timer{executor}, port{std::move(port)}, log{log}, salt{salt},
      follower{executor,
               this->port,
               store::table_for_kind(crash_table),
               {[this](store::feed_page const&) { this->read_rows(); },
                [this](store::feed_page const& page)
                { this->merge(page.rows); },
                [](bool, error const&) {},
                [this](error const& why) { this->log.write_error(why); },
                {},
                poll_hold,
                max_poll_hold},
               salt}
{
}

void crash_tracker::start()
{
    this->follower.start();
    this->sweep();
}

void crash_tracker::note_lost_store_call()
{
    this->follower.restart_poll();
}

bool crash_tracker::has_read_rows() const
{
    return this->rows_read;
}

bool crash_tracker::has_evidence() const
{
    return !this->record.entries.empty();
}

fleet::crash_evidence
crash_tracker::evidence(fleet::fingerprint const& request) const
{
    return fleet::evidence_of(this->record, request);
}

duration crash_tracker::quarantine_left(fleet::fingerprint const& request) const
{
    return fleet::quarantine_left(this->record, request, this->now.now());
}

fleet::crash_evidence crash_tracker::record_crash(
    fleet::fingerprint const& request, fleet::crash_evidence const& known,
    std::string const& server, std::vector<log_field> details)
{
    auto const found =
        fleet::note_crash(this->record, request, known, this->now.now());
    this->log_evidence("crash", request, server, std::move(details));
    // Evidence of a single crash stays local: a retry may still succeed.
    if (fleet::judge(found) != fleet::crash_verdict::suspected)
    {
        this->schedule_write(request);
    }
    return found;
}

void crash_tracker::record_response(fleet::fingerprint const& request)
{
    if (!fleet::note_response(this->record, request, this->now.now()))
    {
        return;
    }
    this->log_evidence("crash_cleared", request, "answer");
    if (this->rows.contains(request) || this->unwritten.contains(request))
    {
        this->schedule_write(request);
    }
}

void crash_tracker::publish_evidence(fleet::fingerprint const& request)
{
    if (this->evidence(request).crashes > 0 && !this->rows.contains(request))
    {
        this->schedule_write(request);
    }
}

void crash_tracker::log_evidence(std::string const& step,
                                 fleet::fingerprint const& request,
                                 std::string const& source,
                                 std::vector<log_field> details)
{
    auto const known = this->evidence(request);
    std::vector<log_field> fields{
        {"hash", to_string(request)},
        {"verdict", std::string{name_of(fleet::judge(known))}},
        {"crashes", std::to_string(known.crashes)},
        {"cleared", std::to_string(known.cleared)},
        {"by", source}};
    std::move(details.begin(), details.end(), std::back_inserter(fields));
    this->log.write(log_weight::notable, step, fields);
}

void crash_tracker::read_rows()
{
    this->port.scan(
        crash_range_begin, crash_range_end,
        [this](std::variant<std::vector<store::row>, error> const& reply)
        {
            if (auto const* fault = std::get_if<error>(&reply))
            {
                this->log.write_error(*fault);
                run_after(this->read_timer, read_retry_delay,
                          [this] { this->read_rows(); });
                return;
            }
            for (auto const& row : std::get<std::vector<store::row>>(reply))
            {
                this->merge(row);
            }
            this->rows_read = true;
        });
}

void crash_tracker::merge(std::vector<store::feed_row> const& rows)
{
    for (auto const& row : rows)
    {
        auto const request = crash_request(row.key);
        if (request && row.deleted)
        {
            this->rows.erase(*request);
        }
        else if (request)
        {
            this->merge(store::row{row.key, row.version, row.value});
        }
    }
}

void crash_tracker::merge(store::row const& row)
{
    auto const request = crash_request(row.key);
    auto const received = decode_evidence(row.value);
    if (!request || !received)
    {
        return;
    }
    auto& version = this->rows[*request];
    version = std::max(version, row.version);
    if (fleet::merge_evidence(this->record, *request, *received,
                              this->now.now()))
    {
        this->log_evidence("crash_told", *request, "store");
    }
}

void crash_tracker::schedule_write(fleet::fingerprint const& request)
{
    this->unwritten.insert(request);
    if (!this->writing)
    {
        this->write_after(batch_delay);
    }
}

void crash_tracker::write_after(duration pause)
{
    this->writing = true;
    run_after(this->write_timer, pause, [this] { this->write(); });
}

void crash_tracker::write()
{
    // The record is bounded and may have evicted some of them.
    std::erase_if(this->unwritten, [this](fleet::fingerprint const& request)
                  { return !this->record.entries.contains(request); });
    store::transaction txn;
    evidence_map sent;
    for (auto const& request : this->unwritten)
    {
        if (sent.size() == max_rows_per_write)
        {
            break;
        }
        auto const key = crash_key(request);
        auto const found = this->rows.find(request);
        auto const known = this->evidence(request);
        txn.conditions.push_back(
            {key, found == this->rows.end() ? 0 : found->second});
        txn.writes.push_back({key, encode_evidence(known)});
        sent[request] = known;
    }
    if (sent.empty())
    {
        this->writing = false;
        return;
    }
    this->port.commit(txn, [this, sent](store::commit_result const& result)
                      { this->handle_write_result(sent, result); });
}

/// Merges rows that another router wrote in the meantime, and writes them again
/// if this router still knows more. This also repairs a write whose response
/// was lost.
void crash_tracker::handle_write_result(evidence_map const& sent,
                                        store::commit_result const& result)
{
    if (result.outcome == store::commit_outcome::applied)
    {
        this->failures = 0;
        for (auto const& [request, written] : sent)
        {
            auto& version = this->rows[request];
            version = std::max(version, result.version);
            // Write again if the evidence has changed since.
            if (this->evidence(request) == written)
            {
                this->unwritten.erase(request);
            }
        }
        this->write();
        return;
    }
    this->failures += 1;
    for (auto const& row : result.failed)
    {
        auto const request = crash_request(row.key);
        if (request && row.version == 0)
        {
            this->rows.erase(*request);
        }
        this->merge(row);
    }
    if (result.failed.empty() && this->failures == 1)
    {
        this->log.write_error(result.fault);
    }
    this->write_after(retry_backoff(this->failures, this->salt));
}

void crash_tracker::sweep()
{
    auto const jitter =
        duration{static_cast<std::int64_t>(this->salt % sweep_jitter_ms)};
    for (auto const& request :
         fleet::forget_old(this->record, this->now.now() - jitter))
    {
        this->unwritten.erase(request);
    }
    this->remove_old_rows();
    run_after(this->sweep_timer, sweep_interval, [this] { this->sweep(); });
}

/// Removes the rows of requests that the record no longer holds.
void crash_tracker::remove_old_rows()
{
    store::transaction txn;
    for (auto const& [request, version] : this->rows)
    {
        if (txn.writes.size() < max_rows_per_write &&
            !this->record.entries.contains(request))
        {
            auto const key = crash_key(request);
            txn.conditions.push_back({key, version});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    for (auto const& condition : txn.conditions)
    {
        this->rows.erase(*crash_request(condition.key));
    }
    if (!txn.writes.empty())
    {
        // On a conflict another router removed one of them; the feed reports
        // that one. The other rows of a failed write stay in the store, and
        // this router forgets them until it reads all rows again.
        this->port.commit(txn, [](store::commit_result const&) {});
    }
}

} // namespace caperpath::gateway
