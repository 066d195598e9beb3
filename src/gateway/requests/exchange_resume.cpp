#include "gateway/requests/exchange.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <algorithm>
#include <string>

/// Keeps a stream at the software version that began it.
namespace caperpath::gateway
{

namespace
{

/// The store replies within some ms, unless it is overloaded.
constexpr duration max_version_wait{600};

bool begins_resumable(exchange const& current)
{
    return current.route != nullptr && current.route->resumable &&
           current.route->kind == fleet::request_kind::streaming;
}

bool resumes_stream(exchange const& current)
{
    return current.route->kind == fleet::request_kind::streaming &&
           !current.facts.last_event_id.empty();
}

fleet::stream_key key_of(exchange const& current)
{
    auto const customer =
        current.customer != nullptr ? current.customer->id : customer_id{};
    return fleet::stream_key_of(customer, resumes_stream(current)
                                              ? current.facts.resumes
                                              : current.facts.id);
}

/// The server of the latest send.
fleet::stream_source source_of(exchange const& current)
{
    return {current.server_version, fleet::server_key_of(current.running_at)};
}

} // namespace

asio::awaitable<std::optional<rejection>> resume(exchange& current)
{
    if (!resumes_stream(current))
    {
        co_return std::nullopt;
    }
    auto& shared = current.shared;
    auto const began = shared.now.now();
    auto const version = co_await shared.streams.find(
        key_of(current), current.work.service,
        std::min(max_version_wait, current.deadline - began));
    shared.log.write(log_weight::notable, "resume",
                     {{"request", current.facts.id},
                      {"resumes", current.facts.resumes},
                      {"version", version.value_or("unknown")},
                      {"ms", std::to_string((shared.now.now() - began).ms)}});
    shared.metrics.stream_resumed(version.has_value());
    current.work.version = version;
    if (!version)
    {
        // No router will know it later, so the caller need not come back soon.
        co_return rejection{http_unavailable, "version_unknown",
                            current.deadline - shared.now.now()};
    }
    co_return std::nullopt;
}

void note_stream_send(exchange& current)
{
    if (begins_resumable(current) &&
        current.shared.streams.note_send(key_of(current), current.work.service,
                                         source_of(current), current.deadline))
    {
        current.work.version = current.server_version;
    }
}

void retract_stream_send(exchange& current)
{
    if (begins_resumable(current) && !resumes_stream(current) &&
        !current.response_started &&
        current.shared.streams.retract(key_of(current)))
    {
        current.work.version.reset();
    }
}

void invalidate_streams_at(core& shared, fleet::server_entry const& entry)
{
    for (auto* const open : shared.open_requests)
    {
        if (begins_resumable(*open) && open->running_at == entry.id &&
            open->server_version != entry.version)
        {
            shared.streams.invalidate(key_of(*open), open->deadline);
            open->work.version = ""; // it goes on nowhere
        }
    }
}

void note_stream_end(exchange& current)
{
    if (begins_resumable(current) && current.reason == "served")
    {
        current.shared.streams.end(key_of(current));
    }
}

void note_stream_version(exchange& current)
{
    auto const is_uncertain =
        current.work.version && current.work.version->empty();
    if (current.route->kind != fleet::request_kind::streaming || is_uncertain)
    {
        return;
    }
    current.work.version = current.server_version;
    if (current.route->resumable && !current.server_version.empty())
    {
        current.shared.streams.note_stream(
            key_of(current), current.work.service, source_of(current));
    }
}

} // namespace caperpath::gateway
