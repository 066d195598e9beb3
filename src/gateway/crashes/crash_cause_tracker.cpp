#include "gateway/crashes/crash_cause_tracker.hpp"

#include "gateway/crashes/crash_cause_rows.hpp"
#include "gateway/run_after.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Other routers refute a wrong cause within this time, if the store responds.
constexpr duration refutation_time{200};
constexpr duration short_retry_after{300};
/// Collects the reports of the routers whose requests one crash ended.
constexpr duration report_batch_delay{20};
/// The routers without requests at the crashes write a cause only after this
/// time and one more that differs between them, unless another one has.
constexpr duration late_write_delay{500};
constexpr std::size_t late_write_jitter_ms = 500;
/// Many servers that crash together have another cause than their requests, and
/// their reports would only load the store.
constexpr std::size_t max_unwritten_reports = 16;

bool is_rejected(fleet::crash_investigation const& evidence,
                 fleet::crash_cause const& cause)
{
    auto const found = evidence.causes.find(cause);
    return found != evidence.causes.end() && found->second.state.rejected;
}

} // namespace

crash_cause_tracker::crash_cause_tracker(
    boost::asio::any_io_executor const& executor, store::async_port port,
    std::size_t salt, crash_explanation_listener listener,
    crash_row_sender const& announce, decision_log& log)
    : decision_timer{executor},
      late_timer{executor}, salt{salt}, listener{std::move(listener)}, log{log},
      writer{executor,
             std::move(port),
             salt,
             {[this](std::string const& key) { return this->row_value(key); },
              [this](store::row const& row) { this->merge(row); }, announce},
             log}
{
}

bool crash_cause_tracker::has_evidence() const
{
    return !this->evidence.crashes.empty() || !this->evidence.causes.empty();
}

std::size_t crash_cause_tracker::rejected_causes() const
{
    return static_cast<std::size_t>(std::count_if(
        this->evidence.causes.begin(), this->evidence.causes.end(),
        [](auto const& entry) { return entry.second.state.rejected; }));
}

fleet::crash_verdict
crash_cause_tracker::verdict(service_id const& service,
                             fleet::crash_traits const& traits) const
{
    return fleet::judge(this->evidence, service, traits);
}

std::optional<known_cause>
crash_cause_tracker::cause_of(service_id const& service,
                              fleet::crash_traits const& traits) const
{
    auto const* const cause = fleet::cause_of(this->evidence, service, traits);
    if (cause == nullptr)
    {
        return std::nullopt;
    }
    auto const age =
        this->now.now() - this->evidence.causes.at(*cause).noted_at;
    auto const is_final = age >= refutation_time;
    return known_cause{cause_id(*cause),
                       is_final
                           ? std::max(fleet::cause_lifetime - age, duration{0})
                           : short_retry_after,
                       is_final};
}

std::optional<fleet::crash_trait>
crash_cause_tracker::main_suspect(service_id const& service,
                                  fleet::crash_traits const& traits) const
{
    return fleet::main_suspect(this->evidence, service, traits);
}

bool crash_cause_tracker::has_recorded(backend_server_id const& server) const
{
    return this->recorded.contains(server);
}

void crash_cause_tracker::record_crash(backend_server_id const& server,
                                       fleet::server_crash const& crash,
                                       std::size_t requests)
{
    this->recorded.insert(server);
    this->log.write(log_weight::notable, "server_crash",
                    {{"server", server.value},
                     {"service", crash.service.value},
                     {"version", crash.version},
                     {"requests", std::to_string(requests)},
                     {"suspects", std::to_string(crash.suspects.size())}});
    if (crash.suspects.empty())
    {
        return;
    }
    fleet::note_crash(this->evidence, server, crash);
    auto const key = report_key(server, this->salt);
    auto const unwritten =
        std::count_if(this->own_reports.begin(), this->own_reports.end(),
                      [this](auto const& entry)
                      { return !this->report_rows.contains(entry.first); });
    if (static_cast<std::size_t>(unwritten) < max_unwritten_reports)
    {
        this->own_reports[key] =
            encode_report({server, this->evidence.crashes.at(server)});
        this->writer.schedule(key);
    }
    this->decide();
}

bool crash_cause_tracker::record_response(service_id const& service,
                                          std::string const& version,
                                          fleet::crash_traits const& traits)
{
    auto const refuted = fleet::note_success(this->evidence, service, version,
                                             traits, this->now.now());
    for (auto const& cause : refuted)
    {
        this->publish(cause, "response");
    }
    return !refuted.empty();
}

void crash_cause_tracker::merge(store::row const& row, bool earlier)
{
    if (is_report_key(row.key))
    {
        this->merge_report(row, earlier);
        this->writer.note_row(row);
    }
    else if (is_cause_key(row.key))
    {
        this->merge_cause(row);
        this->writer.note_row(row);
    }
}

void crash_cause_tracker::merge_announced(std::string const& key,
                                          std::string const& value)
{
    store::row const row{key, 0, value};
    if (is_report_key(key))
    {
        this->merge_report(row, false);
    }
    else if (is_cause_key(key))
    {
        this->merge_cause(row);
    }
}

void crash_cause_tracker::merge_report(store::row const& row, bool earlier)
{
    auto const at = this->now.now();
    this->report_rows.emplace(row.key, at);
    auto report = decode_report(row.value);
    if (!report)
    {
        return;
    }
    report->crash.noticed_at = at;
    report->crash.earlier = earlier;
    if (fleet::note_crash(this->evidence, report->server, report->crash))
    {
        this->decide_after(report_batch_delay);
    }
}

void crash_cause_tracker::merge_cause(store::row const& row)
{
    auto const report = decode_cause(row.value);
    if (!report)
    {
        return;
    }
    this->cause_keys[row.key] = report->cause;
    switch (fleet::merge_cause(this->evidence, report->cause, report->state,
                               this->now.now()))
    {
    case fleet::merge_result::known:
        return;
    case fleet::merge_result::accepted:
        this->publish(report->cause, "store");
        break;
    case fleet::merge_result::refuted:
        this->publish(report->cause, "own_responses");
        break;
    }
    this->decide_after(report_batch_delay);
}

std::vector<std::string> crash_cause_tracker::stored_keys() const
{
    return this->writer.stored_keys();
}

void crash_cause_tracker::remove(std::string const& key)
{
    this->writer.note_removed(key);
    this->report_rows.erase(key);
    this->own_reports.erase(key);
    auto const found = this->cause_keys.find(key);
    if (found == this->cause_keys.end())
    {
        return;
    }
    auto const cause = found->second;
    this->cause_keys.erase(found);
    if (is_rejected(this->evidence, cause))
    {
        fleet::dismiss_cause(this->evidence, cause, this->now.now());
        this->publish(cause, "removal");
        this->decide_after(report_batch_delay);
    }
}

/// Finds the causes of the crashes known so far.
void crash_cause_tracker::decide()
{
    this->decision_at.reset();
    auto const at = this->now.now();
    for (auto const& cause : fleet::find_causes(this->evidence, at))
    {
        this->publish(cause, "crashes");
    }
    this->announce_explained();
    if (auto const next = fleet::next_decision(this->evidence, at))
    {
        this->decide_after(*next - at);
    }
}

void crash_cause_tracker::decide_after(duration pause)
{
    auto const at = this->now.now() + pause;
    if (!this->decision_at || at < *this->decision_at)
    {
        this->decision_at = at;
        run_after(this->decision_timer, pause, [this] { this->decide(); });
    }
}

void crash_cause_tracker::schedule_late_causes()
{
    for (auto const& key : std::exchange(this->late_causes, {}))
    {
        this->writer.schedule(key);
    }
}

/// Logs the state of `cause`, and writes its row unless the store has it.
void crash_cause_tracker::publish(fleet::crash_cause const& cause,
                                  std::string_view source)
{
    auto const servers = fleet::explained_crashes(this->evidence, cause);
    std::string crashes;
    for (auto const& server : servers)
    {
        crashes += (crashes.empty() ? "" : ",") + server.value;
    }
    this->log.write(
        log_weight::notable, "crash_cause",
        {{"cause", cause_id(cause)},
         {"service", cause.service.value},
         {"traits", to_text(cause.traits)},
         {"rejected", is_rejected(this->evidence, cause) ? "yes" : "no"},
         {"by", std::string{source}},
         {"crashes", crashes}});
    // An operator who removes a cause lets its requests through.
    if (!is_rejected(this->evidence, cause) && source != "removal")
    {
        this->announce_unexplained(servers);
    }
    if (source == "store" || source == "removal")
    {
        return;
    }
    auto const key = cause_key(cause);
    this->cause_keys[key] = cause;
    auto const is_own = std::any_of(servers.begin(), servers.end(),
                                    [this](backend_server_id const& server)
                                    { return this->has_recorded(server); });
    if (is_own || source != "crashes")
    {
        this->writer.schedule(key);
        return;
    }
    this->late_causes.insert(key);
    auto const jitter =
        duration{static_cast<std::int64_t>(this->salt % late_write_jitter_ms)};
    run_after(this->late_timer, late_write_delay + jitter,
              [this] { this->schedule_late_causes(); });
}

void crash_cause_tracker::announce_explained()
{
    for (auto const& [cause, entry] : this->evidence.causes)
    {
        if (!entry.state.rejected)
        {
            continue;
        }
        for (auto const& server :
             fleet::explained_crashes(this->evidence, cause))
        {
            this->listener.explained(server);
        }
    }
}

void crash_cause_tracker::announce_unexplained(
    std::vector<backend_server_id> const& servers)
{
    for (auto const& server : servers)
    {
        if (!fleet::is_explained(this->evidence, server))
        {
            this->listener.unexplained(server);
        }
    }
}

std::optional<std::string>
crash_cause_tracker::row_value(std::string const& key) const
{
    if (auto const own = this->own_reports.find(key);
        own != this->own_reports.end())
    {
        return own->second;
    }
    auto const cause = this->cause_keys.find(key);
    if (cause == this->cause_keys.end())
    {
        return std::nullopt;
    }
    auto const known = this->evidence.causes.find(cause->second);
    return known == this->evidence.causes.end()
               ? std::nullopt
               : std::optional{
                     encode_cause({known->first, known->second.state})};
}

void crash_cause_tracker::forget_old(instant at)
{
    fleet::forget_old(this->evidence, at);
    std::erase_if(this->cause_keys, [this](auto const& entry)
                  { return !this->evidence.causes.contains(entry.second); });
    std::erase_if(this->recorded, [this](backend_server_id const& server)
                  { return !this->evidence.crashes.contains(server); });
    std::erase_if(this->report_rows, [at](auto const& entry)
                  { return at - entry.second >= fleet::crash_lifetime; });
    std::erase_if(this->own_reports,
                  [this](auto const& entry)
                  {
                      return !this->report_rows.contains(entry.first) &&
                             !this->writer.contains(entry.first);
                  });
    this->writer.remove_rows(
        [this](std::string const& key) {
            return this->report_rows.contains(key) ||
                   this->cause_keys.contains(key);
        });
}

} // namespace caperpath::gateway
