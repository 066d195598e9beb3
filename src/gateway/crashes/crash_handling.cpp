#include "gateway/crashes/crash_handling.hpp"

#include "gateway/crashes/crash_cause_rows.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using fleet::crash_verdict;

/// `Retry-After` while another attempt of the same request is in progress; its
/// result decides about the probation.
constexpr duration probation_retry_after{500};
/// How long a request waits for the lease of its suspect, and how often it
/// asks. The result of the request that holds it may clear the suspect soon.
constexpr duration longest_permit_wait{500};
constexpr duration permit_poll_interval{50};

fleet::fingerprint const& fingerprint_of(exchange& current)
{
    if (!current.fingerprint)
    {
        auto const target = current.request.target();
        auto const host = current.request[http::field::host];
        auto const method = current.request.method_string();
        auto const& caller = current.customer != nullptr
                                 ? current.customer->id.value
                                 : current.facts.key;
        current.fingerprint =
            fleet::fingerprint_of({caller,
                                   {method.data(), method.size()},
                                   {host.data(), host.size()},
                                   {target.data(), target.size()},
                                   current.request.body()});
    }
    return *current.fingerprint;
}

/// Avoids computing the fingerprint while there is no evidence at all.
fleet::crash_evidence known_evidence(exchange& current)
{
    auto const& crashes = current.shared.crashes;
    return crashes.has_evidence() ? crashes.evidence(fingerprint_of(current))
                                  : fleet::crash_evidence{};
}

/// The ids of the shared parts of the prompt, for the log.
std::string parts_text(exchange const& current)
{
    constexpr std::size_t max_logged_parts = 16;
    auto const& parts = current.facts.shared_parts;
    std::string text;
    for (std::size_t i = 0; i < std::min(parts.size(), max_logged_parts); ++i)
    {
        text += text.empty() ? "" : ",";
        text += to_string(parts[i]);
    }
    return text;
}

crash_verdict verdict_on_traits(exchange const& current)
{
    auto const& causes = current.shared.crashes.causes();
    return causes.has_evidence() && !current.traits.empty()
               ? causes.verdict(current.work.service, current.traits)
               : crash_verdict::clear;
}

std::optional<rejection> check_traits(exchange& current)
{
    auto const& causes = current.shared.crashes.causes();
    if (auto const cause =
            causes.cause_of(current.work.service, current.traits))
    {
        current.crash_cause = cause->id;
        return cause->is_final
                   ? rejection{http_too_many, "crashes_servers", cause->left}
                   : rejection{http_unavailable, "crash_probation",
                               cause->left};
    }
    return std::nullopt;
}

/// The name of a lease that the request needs and does not hold: for itself, or
/// for the property of its prompt that is most suspected.
std::optional<std::string> missing_lease(exchange& current)
{
    std::vector<std::string> needed;
    if (fleet::judge(known_evidence(current)) == crash_verdict::on_probation)
    {
        needed.push_back("request " + to_string(fingerprint_of(current)));
    }
    if (auto const suspect = current.shared.crashes.causes().main_suspect(
            current.work.service, current.traits))
    {
        needed.push_back(current.work.service.value + " " +
                         to_text(fleet::crash_traits{*suspect}));
    }
    auto const missing = std::find_if(
        needed.begin(), needed.end(),
        [&current](std::string const& name)
        {
            return std::none_of(current.permits.begin(), current.permits.end(),
                                [&name](probation_permit const& held)
                                { return held.suspect == name; });
        });
    return missing == needed.end() ? std::nullopt : std::optional{*missing};
}

/// An id of one process of a server, whose id may survive restarts.
backend_server_id process_id(backend_server_id const& server,
                             std::int64_t born_ms)
{
    return born_ms == 0 ? server
                        : backend_server_id{server.value + "@" +
                                            std::to_string(born_ms)};
}

/// Records a crash with the suspects of all requests that were at the process.
void record_server_crash(core& shared, backend_server_id const& server,
                         std::int64_t born_ms)
{
    fleet::server_crash crash;
    crash.noticed_at = shared.now.now();
    std::size_t requests = 0;
    for (auto const* open : shared.open_requests)
    {
        if (open->running_at == server && open->server_born_ms == born_ms)
        {
            requests += 1;
            crash.service = open->work.service;
            crash.version = open->server_version;
            crash.suspects.insert(open->traits.begin(), open->traits.end());
        }
    }
    shared.crashes.causes().record_crash(process_id(server, born_ms), crash,
                                         requests);
}

std::vector<log_field> crash_details(exchange const& current)
{
    return {{"request", current.facts.id},
            {"route", current.route->name},
            {"version", current.server_version},
            {"parts", parts_text(current)}};
}

/// True if another process has the server's place than the one that got the
/// request.
bool has_restarted(exchange const& current, backend_server_id const& server)
{
    auto const& all = current.shared.servers.servers;
    auto const found = all.find(server);
    return found != all.end() && current.server_born_ms != 0 &&
           found->second.entry.born_ms != current.server_born_ms;
}

} // namespace

void watch_for_crash(exchange& current, backend_server_id const& server)
{
    auto& shared = current.shared;
    auto const now = shared.now.now();
    std::erase_if(shared.crash_watches, [now](crash_watch const& each)
                  { return now - each.lost_at >= crash_watch_time; });
    if (shared.crash_watches.size() < most_crash_watches)
    {
        shared.crash_watches.push_back(
            {server,
             current.server_born_ms,
             now,
             fingerprint_of(current),
             current.evidence,
             {current.work.service, current.server_version, now,
              current.traits},
             crash_details(current)});
    }
}

std::optional<rejection> check_crash_evidence(exchange& current)
{
    auto& shared = current.shared;
    if (auto const rejected = check_traits(current))
    {
        return rejected;
    }
    if (fleet::judge(known_evidence(current)) == crash_verdict::quarantined)
    {
        return rejection{
            http_too_many, "crashes_servers",
            shared.crashes.quarantine_left(fingerprint_of(current))};
    }
    return std::nullopt;
}

bool forbids_send(exchange& current)
{
    return fleet::judge(known_evidence(current)) ==
               crash_verdict::quarantined ||
           check_traits(current).has_value() || needs_permit(current);
}

bool needs_permit(exchange& current)
{
    return missing_lease(current).has_value();
}

asio::awaitable<std::optional<rejection>> acquire_permit(exchange& current)
{
    auto& shared = current.shared;
    auto const name = missing_lease(current);
    if (!name)
    {
        co_return std::nullopt;
    }
    auto permit = co_await shared.probations.acquire(*name);
    auto const now = shared.now.now();
    auto const wanted_at = current.permit_wanted_at.value_or(now);
    current.permit_wanted_at = wanted_at;
    if (permit)
    {
        current.permits.push_back(std::move(*permit));
        co_return std::nullopt;
    }
    if (now - wanted_at >= longest_permit_wait)
    {
        co_return rejection{http_unavailable, "crash_probation",
                            probation_retry_after};
    }
    static_cast<void>(co_await wait_until(current, now + permit_poll_interval));
    co_return std::nullopt;
}

void end_probation(exchange& current)
{
    auto const may_have_crashed =
        current.server_crashed ||
        (current.possible_deliveries > 0 && !is_success(current.status));
    for (auto const& permit : std::exchange(current.permits, {}))
    {
        current.shared.probations.release(
            permit, may_have_crashed ? fleet::pause_after_crash : duration{0});
    }
}

void record_evidence_at_send(exchange& current)
{
    current.evidence = known_evidence(current);
}

std::vector<backend_server_id> servers_to_avoid(exchange const& current)
{
    auto avoided = current.tried;
    for (auto const& [server, suspects] : current.shared.suspects_by_server)
    {
        if (suspects > 0)
        {
            avoided.push_back(server);
        }
    }
    return avoided;
}

asio::awaitable<void> probe_for_crash(exchange& current,
                                      backend_server_id const& server)
{
    auto& shared = current.shared;
    auto const born_ms = current.server_born_ms;
    auto presence =
        co_await shared.crash_checks.check(server, shared.now.now());
    if (has_restarted(current, server))
    {
        presence = server_presence::gone;
    }
    shared.log.write(log_weight::notable, "crash_probe",
                     {{"request", current.facts.id},
                      {"server", server.value},
                      {"presence", std::string{to_text(presence)}},
                      {"relay", current.relay}});
    // A running server may have closed the connection, so its failures count,
    // unless a relay lost it.
    auto const running = shared.servers.servers.find(server);
    if (presence == server_presence::running && current.relay.empty() &&
        running != shared.servers.servers.end())
    {
        fleet::note_failure(running->second, false, shared.now.now());
    }
    if (presence != server_presence::gone)
    {
        if (current.relay.empty())
        {
            watch_for_crash(current, server);
        }
        co_return;
    }
    current.server_crashed = true;
    auto const process = process_id(server, born_ms);
    if (!shared.crashes.causes().has_recorded(process))
    {
        record_server_crash(shared, server, born_ms);
    }
    current.evidence =
        shared.crashes.record_crash(fingerprint_of(current), current.evidence,
                                    process.value, crash_details(current));
    auto const after = shared.servers.servers.find(server);
    if (after != shared.servers.servers.end() &&
        !has_restarted(current, server))
    {
        fleet::note_failure(after->second, true, shared.now.now());
        shared.pool.drop(server);
    }
}

void confirm_crashes(core& shared, backend_server_id const& server,
                     std::optional<std::int64_t> born_ms)
{
    auto const now = shared.now.now();
    std::vector<crash_watch> confirmed;
    std::erase_if(shared.crash_watches,
                  [&](crash_watch const& each)
                  {
                      auto const ended = each.server == server &&
                                         each.born_ms != born_ms &&
                                         now - each.lost_at < crash_watch_time;
                      if (ended)
                      {
                          confirmed.push_back(each);
                      }
                      return ended;
                  });
    for (auto const& watch : confirmed)
    {
        auto const process = process_id(server, watch.born_ms);
        if (!shared.crashes.causes().has_recorded(process))
        {
            auto crash = watch.crash;
            for (auto const& other : confirmed)
            {
                crash.suspects.insert(other.crash.suspects.begin(),
                                      other.crash.suspects.end());
            }
            shared.crashes.causes().record_crash(process, crash,
                                                 confirmed.size());
        }
        static_cast<void>(shared.crashes.record_crash(
            watch.request, watch.known, process.value, watch.details));
        shared.crashes.publish_evidence(watch.request);
    }
}

void record_complete_response(exchange& current)
{
    if (!is_success(current.status))
    {
        return;
    }
    // A response without a length may be the begin of one that a crash cut off.
    auto const is_proven =
        !current.server_after_end ||
        *current.server_after_end == server_presence::running;
    if (!is_proven)
    {
        return;
    }
    auto& crashes = current.shared.crashes;
    auto const lifted_cause =
        !current.traits.empty() &&
        crashes.causes().record_response(
            current.work.service, current.server_version, current.traits);
    if (crashes.has_evidence())
    {
        crashes.record_response(fingerprint_of(current), lifted_cause);
    }
}

bool is_suspect(exchange const& current)
{
    return current.evidence.crashes > 0 ||
           verdict_on_traits(current) != crash_verdict::clear;
}

bool forbids_retry(exchange const& current)
{
    return fleet::judge(current.evidence) >= crash_verdict::on_probation ||
           verdict_on_traits(current) >= crash_verdict::on_probation;
}

} // namespace caperpath::gateway
