#include "gateway/crashes/crash_tracker.hpp"

#include "gateway/crashes/crash_rows.hpp"
#include "gateway/run_after.hpp"

#include <caperpath/fleet/placement.hpp>

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
constexpr duration sweep_interval{10'000};
/// Each router adds its own delay to the age at which it removes rows, so that
/// usually only one of them tries to remove a row.
constexpr std::size_t sweep_jitter_ms = 60'000;

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
                             store::async_port const& port, std::size_t salt,
                             crash_row_sender const& announce,
                             decision_log& log)
    : read_timer{executor}, sweep_timer{executor}, port{port}, log{log},
      salt{salt}, writer{executor,
                         port,
                         salt,
                         {[this](std::string const& key)
                          { return this->row_value(key); },
                          [this](store::row const& row) { this->merge(row); },
                          announce},
                         log},
      cause_tracker{executor,
                    port,
                    salt,
                    {[this](backend_server_id const& server)
                     { this->set_aside_evidence(server); },
                     [this](backend_server_id const& server)
                     {
                         this->restore_evidence(server);
                     }},
                    announce,
                    log},
      follower{executor,
               port,
               store::table_for_kind(crash_table),
               {[this](store::feed_page const&) { this->read_rows(); },
                [this](store::feed_page const& page)
                { this->merge(page.rows); },
                [](bool, error const&) {},
                [this](error const& why) { this->log.write_error(why); },
                {},
                poll_hold,
                max_poll_hold},
               salt,
               log}
{
}

crash_cause_tracker& crash_tracker::causes()
{
    return this->cause_tracker;
}

crash_cause_tracker const& crash_tracker::causes() const
{
    return this->cause_tracker;
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
    auto found = fleet::note_crash(this->record, request, known,
                                   fleet::stable_hash(server), this->now.now());
    this->crashed[{server}].insert(request);
    this->log_evidence("crash", request, server, std::move(details));
    // Evidence of a single crash stays local: a retry may still succeed.
    if (fleet::judge(found) != fleet::crash_verdict::suspected)
    {
        this->schedule_write(request);
    }
    return found;
}

void crash_tracker::record_response(fleet::fingerprint const& request,
                                    bool lifted_cause)
{
    this->set_aside.erase(request);
    auto const now = this->now.now();
    auto const is_known = this->record.entries.contains(request);
    auto const cleared =
        is_known && lifted_cause
            ? fleet::merge_evidence(
                  this->record, request,
                  {this->evidence(request).cleared + 1, 0, {}}, now)
            : fleet::note_response(this->record, request, now);
    if (!cleared)
    {
        return;
    }
    this->log_evidence("crash_cleared", request, "answer");
    if (this->writer.contains(crash_key(request)) ||
        this->announced.contains(request))
    {
        this->schedule_write(request);
    }
}

/// The crash has another cause than these requests.
void crash_tracker::set_aside_evidence(backend_server_id const& server)
{
    auto const found = this->crashed.extract(server);
    if (found.empty())
    {
        return;
    }
    for (auto const& request : found.mapped())
    {
        auto const before = this->evidence(request);
        if (fleet::note_response(this->record, request, this->now.now()))
        {
            this->set_aside[request] = {server, before};
            this->log_evidence("crash_cleared", request, "cause");
            if (this->writer.contains(crash_key(request)))
            {
                this->schedule_write(request);
            }
        }
    }
}

/// The crash has no known cause any more.
void crash_tracker::restore_evidence(backend_server_id const& server)
{
    for (auto const& [request, kept] : this->set_aside)
    {
        auto const& before = kept.before;
        // A response has cleared the request since if this is greater.
        auto const cleared = this->evidence(request).cleared;
        if (kept.server == server && cleared == before.cleared + 1 &&
            fleet::merge_evidence(this->record, request,
                                  {cleared, before.crashes, before.processes},
                                  this->now.now()))
        {
            this->log_evidence("crash_restored", request, server.value);
            if (this->writer.contains(crash_key(request)))
            {
                this->schedule_write(request);
            }
        }
    }
    std::erase_if(this->set_aside, [&server](auto const& entry)
                  { return entry.second.server == server; });
}

void crash_tracker::publish_evidence(fleet::fingerprint const& request)
{
    if (this->evidence(request).crashes > 0 &&
        !this->writer.contains(crash_key(request)))
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
        {"processes", std::to_string(known.processes.size())},
        {"cleared", std::to_string(known.cleared)},
        {"by", source}};
    std::move(details.begin(), details.end(), std::back_inserter(fields));
    this->log.write(log_weight::notable, step, fields);
}

void crash_tracker::schedule_write(fleet::fingerprint const& request)
{
    this->writer.schedule(crash_key(request));
}

/// The record is bounded and may have evicted the request.
std::optional<std::string>
crash_tracker::row_value(std::string const& key) const
{
    auto const request = crash_request(key);
    return request && this->record.entries.contains(*request)
               ? std::optional{encode_evidence(this->evidence(*request))}
               : std::nullopt;
}

void crash_tracker::sweep()
{
    auto const jitter =
        duration{static_cast<std::int64_t>(this->salt % sweep_jitter_ms)};
    auto const at = this->now.now() - jitter;
    static_cast<void>(fleet::forget_old(this->record, at));
    std::erase_if(this->announced, [this](fleet::fingerprint const& request)
                  { return !this->record.entries.contains(request); });
    std::erase_if(this->set_aside, [this](auto const& entry)
                  { return !this->record.entries.contains(entry.first); });
    std::erase_if(this->crashed,
                  [this](auto const& entry)
                  {
                      return std::none_of(
                          entry.second.begin(), entry.second.end(),
                          [this](fleet::fingerprint const& request)
                          { return this->record.entries.contains(request); });
                  });
    this->writer.remove_rows([this](std::string const& key)
                             { return this->row_value(key).has_value(); });
    this->cause_tracker.forget_old(at);
    run_after(this->sweep_timer, sweep_interval, [this] { this->sweep(); });
}

} // namespace caperpath::gateway
