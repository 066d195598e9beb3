#include "gateway/crash_keeper.hpp"

#include "gateway/call_after.hpp"
#include "gateway/crash_rows.hpp"

#include <caperpath/base/follow_pace.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Changes come as soon as they are written; a longer wait costs fewer calls.
/// How late they may come is bounded: a connection that goes silent during the
/// longer one is found by the kernel's probes, a lost call by other lost calls.
constexpr duration hold_time{2'000};
constexpr duration longest_hold_time{15'000};
/// Requests that one crash ended are written together.
constexpr duration gather_time{10};
constexpr duration read_pause{500};
constexpr duration sweep_time{10'000};
/// Old rows are removed by whichever router comes first.
constexpr std::size_t sweep_spread_ms = 60'000;
constexpr std::size_t most_rows_in_a_write = 50;

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

crash_keeper::crash_keeper(boost::asio::any_io_executor const& executor,
                           store::async_port port, std::size_t salt,
                           decision_log& log)
    : read_timer{executor}, write_timer{executor},
      sweep_timer{executor}, port{std::move(port)}, log{log}, salt{salt},
      follower{executor,
               this->port,
               store::own_table(crash_table),
               {[this](store::feed_page const&) { this->read_rows(); },
                [this](store::feed_page const& page) { this->take(page.rows); },
                [](bool, error const&) {},
                [this](error const& why) { this->log.fault(why); },
                {},
                hold_time,
                longest_hold_time},
               salt}
{
}

void crash_keeper::start()
{
    this->follower.start();
    this->sweep();
}

void crash_keeper::store_call_missed()
{
    this->follower.renew();
}

bool crash_keeper::has_read() const
{
    return this->rows_read;
}

bool crash_keeper::knows_any() const
{
    return !this->record.entries.empty();
}

fleet::crash_evidence
crash_keeper::evidence(fleet::fingerprint const& request) const
{
    return fleet::evidence_of(this->record, request);
}

duration crash_keeper::quarantine_left(fleet::fingerprint const& request) const
{
    return fleet::quarantine_left(this->record, request, this->now.now());
}

fleet::crash_evidence crash_keeper::crashed(fleet::fingerprint const& request,
                                            fleet::crash_evidence const& known,
                                            std::string const& server)
{
    auto const found =
        fleet::note_crash(this->record, request, known, this->now.now());
    this->note("crash", request, server);
    // A first crash that a repeat makes good is nobody else's concern.
    if (fleet::judge(found) != fleet::crash_verdict::suspected)
    {
        this->share(request);
    }
    return found;
}

void crash_keeper::answered(fleet::fingerprint const& request)
{
    if (!fleet::note_answer(this->record, request, this->now.now()))
    {
        return;
    }
    this->note("crash_cleared", request, "answer");
    if (this->rows.contains(request) || this->unwritten.contains(request))
    {
        this->share(request);
    }
}

void crash_keeper::left_unanswered(fleet::fingerprint const& request)
{
    if (this->evidence(request).crashes > 0 && !this->rows.contains(request))
    {
        this->share(request);
    }
}

void crash_keeper::note(std::string const& step,
                        fleet::fingerprint const& request,
                        std::string const& who)
{
    auto const known = this->evidence(request);
    this->log.write(log_weight::notable, step,
                    {{"hash", to_string(request)},
                     {"verdict", std::string{name_of(fleet::judge(known))}},
                     {"crashes", std::to_string(known.crashes)},
                     {"cleared", std::to_string(known.cleared)},
                     {"by", who}});
}

void crash_keeper::read_rows()
{
    this->port.scan(
        crash_range_begin, crash_range_end,
        [this](std::variant<std::vector<store::row>, error> const& reply)
        {
            if (auto const* fault = std::get_if<error>(&reply))
            {
                this->log.fault(*fault);
                call_after(this->read_timer, read_pause,
                           [this] { this->read_rows(); });
                return;
            }
            for (auto const& row : std::get<std::vector<store::row>>(reply))
            {
                this->take(row);
            }
            this->rows_read = true;
        });
}

void crash_keeper::take(std::vector<store::feed_row> const& rows)
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
            this->take(store::row{row.key, row.version, row.value});
        }
    }
}

void crash_keeper::take(store::row const& row)
{
    auto const request = crash_request(row.key);
    auto const told = decode_evidence(row.value);
    if (!request || !told)
    {
        return;
    }
    auto& version = this->rows[*request];
    version = std::max(version, row.version);
    if (fleet::merge_evidence(this->record, *request, *told, this->now.now()))
    {
        this->note("crash_told", *request, "store");
    }
}

void crash_keeper::share(fleet::fingerprint const& request)
{
    this->unwritten.insert(request);
    if (!this->writing)
    {
        this->write_soon(gather_time);
    }
}

void crash_keeper::write_soon(duration pause)
{
    this->writing = true;
    call_after(this->write_timer, pause, [this] { this->write(); });
}

void crash_keeper::write()
{
    // The record is bounded and may have dropped some of them.
    std::erase_if(this->unwritten, [this](fleet::fingerprint const& request)
                  { return !this->record.entries.contains(request); });
    store::transaction txn;
    evidence_map sent;
    for (auto const& request : this->unwritten)
    {
        if (sent.size() == most_rows_in_a_write)
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
                      { this->wrote(sent, result); });
}

/// A row that another router wrote meanwhile is merged and written again if
/// this router still knows more. The same repairs a write whose answer was
/// lost.
void crash_keeper::wrote(evidence_map const& sent,
                         store::commit_result const& result)
{
    if (result.outcome == store::commit_outcome::applied)
    {
        this->failures = 0;
        for (auto const& [request, written] : sent)
        {
            auto& version = this->rows[request];
            version = std::max(version, result.version);
            // More may be known by now; then it is written again.
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
        this->take(row);
    }
    if (result.failed.empty() && this->failures == 1)
    {
        this->log.fault(result.fault);
    }
    this->write_soon(retry_pause(this->failures, this->salt));
}

void crash_keeper::sweep()
{
    auto const later =
        duration{static_cast<std::int64_t>(this->salt % sweep_spread_ms)};
    for (auto const& request :
         fleet::forget_old(this->record, this->now.now() - later))
    {
        this->unwritten.erase(request);
    }
    this->remove_rows();
    call_after(this->sweep_timer, sweep_time, [this] { this->sweep(); });
}

/// Rows of requests that are forgotten.
void crash_keeper::remove_rows()
{
    store::transaction txn;
    for (auto const& [request, version] : this->rows)
    {
        if (txn.writes.size() < most_rows_in_a_write &&
            !this->record.entries.contains(request))
        {
            auto const key = crash_key(request);
            txn.conditions.push_back({key, version});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    for (auto const& one : txn.conditions)
    {
        this->rows.erase(*crash_request(one.key));
    }
    if (!txn.writes.empty())
    {
        // Another router may have removed one of them; the feed shows.
        this->port.commit(txn, [](store::commit_result const&) {});
    }
}

} // namespace caperpath::gateway
