#include "gateway/crash_step.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using fleet::crash_verdict;

/// Another caller's attempt is on its way and clears the request or does not.
constexpr duration probation_retry{500};

fleet::fingerprint const& fingerprint_of(exchange& of)
{
    if (!of.fingerprint)
    {
        auto const target = of.request.target();
        auto const host = of.request[http::field::host];
        auto const method = of.request.method_string();
        auto const& caller =
            of.customer != nullptr ? of.customer->id.value : of.facts.key;
        of.fingerprint = fleet::fingerprint_of({caller,
                                                {method.data(), method.size()},
                                                {host.data(), host.size()},
                                                {target.data(), target.size()},
                                                of.request.body()});
    }
    return *of.fingerprint;
}

/// Clear while nothing is known of any request.
fleet::crash_evidence known_of(exchange& of)
{
    auto const& crashes = of.shared.crashes;
    return crashes.knows_any() ? crashes.evidence(fingerprint_of(of))
                               : fleet::crash_evidence{};
}

} // namespace

std::optional<refusal> refuse_for_crashes(exchange& of)
{
    auto& shared = of.shared;
    switch (fleet::judge(known_of(of)))
    {
    case crash_verdict::clear:
    case crash_verdict::suspected:
        return std::nullopt;
    case crash_verdict::on_probation:
        break;
    case crash_verdict::quarantined:
        return refusal{http_too_many, "crashes_servers",
                       shared.crashes.quarantine_left(fingerprint_of(of))};
    }
    if (of.on_probation)
    {
        return std::nullopt;
    }
    of.on_probation = shared.on_probation.insert(fingerprint_of(of)).second;
    if (of.on_probation)
    {
        return std::nullopt;
    }
    return refusal{http_unavailable, "crash_probation", probation_retry};
}

void end_probation(exchange& of)
{
    if (std::exchange(of.on_probation, false))
    {
        of.shared.on_probation.erase(fingerprint_of(of));
    }
}

void note_sent(exchange& of)
{
    of.evidence = known_of(of);
}

std::vector<backend_server_id> servers_to_avoid(exchange const& of)
{
    auto avoided = of.tried;
    for (auto const& [server, suspects] : of.shared.suspects_at)
    {
        if (suspects > 0)
        {
            avoided.push_back(server);
        }
    }
    return avoided;
}

asio::awaitable<void> check_for_crash(exchange& of,
                                      backend_server_id const& server)
{
    auto& shared = of.shared;
    auto const found = shared.servers.servers.find(server);
    if (found == shared.servers.servers.end())
    {
        co_return;
    }
    auto const address = found->second.entry.address;
    auto const gone = co_await shared.crash_checks.is_gone(server, address);
    if (!gone)
    {
        co_return;
    }
    of.was_at_crash = true;
    of.evidence =
        shared.crashes.crashed(fingerprint_of(of), of.evidence, server.value);
    auto const after = shared.servers.servers.find(server);
    if (after != shared.servers.servers.end())
    {
        fleet::note_failure(after->second, true, shared.now.now());
        shared.pool.forget(server);
    }
}

void note_whole_answer(exchange& of)
{
    if (is_success(of.status) && of.shared.crashes.knows_any())
    {
        of.shared.crashes.answered(fingerprint_of(of));
    }
}

bool stops_repeats(exchange const& of)
{
    return fleet::judge(of.evidence) >= crash_verdict::on_probation;
}

} // namespace caperpath::gateway
