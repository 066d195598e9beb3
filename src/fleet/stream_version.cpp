#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace caperpath::fleet
{

stream_key stream_key_of(customer_id const& customer,
                         std::string_view first_attempt)
{
    return stable_hash(customer.value + "\n" + std::string{first_attempt});
}

void stream_versions::note(stream_key stream, std::string const& version,
                           instant now)
{
    this->forget_old(now);
    auto const [found, added] =
        this->records.try_emplace(stream, record{version, now});
    if (!added)
    {
        auto& known = found->second;
        known.version = known.version == version ? version : "";
        known.noted_at = now;
    }
    this->order.push_back({stream, now});
}

std::optional<std::string> stream_versions::find(stream_key stream,
                                                 instant now) const
{
    auto const found = this->records.find(stream);
    if (found == this->records.end() || found->second.version.empty() ||
        now - found->second.noted_at >= stream_lifetime)
    {
        return std::nullopt;
    }
    return found->second.version;
}

bool stream_versions::is_uncertain(stream_key stream, instant now) const
{
    auto const found = this->records.find(stream);
    return found != this->records.end() && found->second.version.empty() &&
           now - found->second.noted_at < stream_lifetime;
}

void stream_versions::forget(stream_key stream)
{
    this->records.erase(stream);
}

std::map<std::string, std::vector<stream_key>>
stream_versions::all(instant now) const
{
    std::map<std::string, std::vector<stream_key>> by_version;
    for (auto const& [stream, known] : this->records)
    {
        if (this->find(stream, now))
        {
            by_version[known.version].push_back(stream);
        }
    }
    return by_version;
}

void stream_versions::forget_old(instant now)
{
    while (!this->order.empty() &&
           (this->order.size() >= max_known_streams ||
            now - this->order.front().at >= stream_lifetime))
    {
        auto const oldest = this->order.front();
        this->order.pop_front();
        auto const found = this->records.find(oldest.stream);
        if (found != this->records.end() && found->second.noted_at == oldest.at)
        {
            this->records.erase(found);
        }
    }
}

version_history note_versions(version_history history,
                              server_table const& table, instant now)
{
    if (!table.store_reachable)
    {
        history.current_since.reset();
        return history;
    }
    history.current_since = history.current_since.value_or(now);
    for (auto const& [id, target] : table.servers)
    {
        history.last_seen[target.entry.service][target.entry.version] = now;
    }
    for (auto& [service, versions] : history.last_seen)
    {
        std::erase_if(versions, [now](auto const& entry)
                      { return now - entry.second >= stream_lifetime; });
    }
    return history;
}

version_history note_version(version_history history, server_entry const& entry,
                             instant now)
{
    history.last_seen[entry.service][entry.version] = now;
    return history;
}

std::optional<std::string> only_version(version_history const& history,
                                        service_id const& service, instant now)
{
    auto const found = history.last_seen.find(service);
    auto const long_enough = history.current_since &&
                             now - *history.current_since >= stream_lifetime;
    if (!long_enough || found == history.last_seen.end() ||
        found->second.size() != 1 || found->second.begin()->first.empty())
    {
        return std::nullopt;
    }
    return found->second.begin()->first;
}

std::optional<std::string>
version_to_resume(std::vector<stream_report> const& reports)
{
    auto const agreed = [&reports](std::string stream_report::*of)
    {
        std::string version;
        for (auto const& report : reports)
        {
            auto const& reported = report.*of;
            if (!version.empty() && !reported.empty() && reported != version)
            {
                return std::optional<std::string>{std::string{}};
            }
            version = reported.empty() ? version : reported;
        }
        return version.empty() ? std::nullopt : std::optional{version};
    };
    auto version = agreed(&stream_report::version);
    if (!version)
    {
        version = agreed(&stream_report::only_version);
    }
    return version && version->empty() ? std::nullopt : version;
}

std::vector<std::string> keepers_of(stream_key stream,
                                    std::vector<std::string> const& routers,
                                    std::size_t most)
{
    std::vector<std::pair<std::uint64_t, std::string const*>> ranked;
    ranked.reserve(routers.size());
    for (auto const& router : routers)
    {
        ranked.emplace_back(XXH64(router.data(), router.size(), stream),
                            &router);
    }
    auto const count = std::min(ranked.size(), most);
    auto const end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>{});
    std::vector<std::string> chosen;
    chosen.reserve(count);
    std::transform(ranked.begin(), end, std::back_inserter(chosen),
                   [](auto const& entry) { return *entry.second; });
    return chosen;
}

} // namespace caperpath::fleet
