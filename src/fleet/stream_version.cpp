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

server_key server_key_of(backend_server_id const& id)
{
    return stable_hash(id.value);
}

bool add_server(stream_sources& sources, server_key server)
{
    auto& all = sources.servers;
    if (std::find(all.begin(), all.end(), server) != all.end())
    {
        return false;
    }
    all.push_back(server);
    return true;
}

void stream_versions::note(stream_key stream, stream_source const& source,
                           instant now)
{
    this->forget_old(now);
    auto const [found, added] = this->records.try_emplace(
        stream, record{{source.version, {source.server}}, now});
    if (!added)
    {
        auto& known = found->second;
        known.noted_at = now;
        if (known.sources.version == source.version)
        {
            add_server(known.sources, source.server);
        }
        else
        {
            known.sources = {};
        }
    }
    this->order.push_back({stream, now});
}

std::optional<stream_sources> stream_versions::find(stream_key stream,
                                                    instant now) const
{
    auto const found = this->records.find(stream);
    if (found == this->records.end() || found->second.sources.version.empty() ||
        now - found->second.noted_at >= stream_lifetime)
    {
        return std::nullopt;
    }
    return found->second.sources;
}

bool stream_versions::is_uncertain(stream_key stream, instant now) const
{
    auto const found = this->records.find(stream);
    return found != this->records.end() &&
           found->second.sources.version.empty() &&
           now - found->second.noted_at < stream_lifetime;
}

void stream_versions::forget(stream_key stream)
{
    this->records.erase(stream);
}

streams_by_source stream_versions::all(instant now) const
{
    streams_by_source by_source;
    for (auto const& [stream, known] : this->records)
    {
        if (!this->find(stream, now))
        {
            continue;
        }
        for (auto const server : known.sources.servers)
        {
            by_source[{known.sources.version, server}].push_back(stream);
        }
    }
    return by_source;
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

namespace
{

void note_entry(version_history& history, server_entry const& entry,
                instant now)
{
    history.last_seen[entry.service][entry.version] = now;
    auto const [found, added] = history.servers.try_emplace(
        server_key_of(entry.id), entry_versions{entry.version, now, {}});
    auto& known = found->second;
    if (known.latest != entry.version)
    {
        known.left_at[known.latest] = now;
        known.latest = entry.version;
    }
    known.seen_at = now;
}

bool is_past(instant at, instant now)
{
    return now - at >= stream_lifetime;
}

void forget_old_entries(version_history& history, instant now)
{
    std::erase_if(history.servers, [now](auto const& entry)
                  { return is_past(entry.second.seen_at, now); });
    for (auto& [server, known] : history.servers)
    {
        std::erase_if(known.left_at, [now](auto const& left)
                      { return is_past(left.second, now); });
    }
}

} // namespace

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
        note_entry(history, target.entry, now);
    }
    for (auto& [service, versions] : history.last_seen)
    {
        std::erase_if(versions, [now](auto const& entry)
                      { return is_past(entry.second, now); });
    }
    forget_old_entries(history, now);
    return history;
}

version_history note_version(version_history history, server_entry const& entry,
                             instant now)
{
    note_entry(history, entry, now);
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

bool is_certain(version_history const& history, stream_sources const& sources,
                instant now)
{
    return std::none_of(
        sources.servers.begin(), sources.servers.end(),
        [&](server_key server)
        {
            auto const found = history.servers.find(server);
            if (found == history.servers.end())
            {
                return false;
            }
            auto const& known = found->second;
            auto const left = known.left_at.find(sources.version);
            return known.latest != sources.version ||
                   (left != known.left_at.end() && !is_past(left->second, now));
        });
}

std::optional<std::string>
version_to_resume(std::vector<stream_report> const& reports,
                  version_history const& history, instant now)
{
    auto const proves_nothing = [&](stream_report const& report)
    {
        return report.uncertain || (!report.sources.version.empty() &&
                                    !is_certain(history, report.sources, now));
    };
    if (std::any_of(reports.begin(), reports.end(), proves_nothing))
    {
        return std::nullopt;
    }
    auto const agreed = [&reports](auto const& version_of)
    {
        std::string version;
        for (auto const& report : reports)
        {
            std::string const& reported = version_of(report);
            if (!version.empty() && !reported.empty() && reported != version)
            {
                return std::optional<std::string>{std::string{}};
            }
            version = reported.empty() ? version : reported;
        }
        return version.empty() ? std::nullopt : std::optional{version};
    };
    auto version = agreed([](stream_report const& report) -> std::string const&
                          { return report.sources.version; });
    if (!version)
    {
        version = agreed([](stream_report const& report) -> std::string const&
                         { return report.only_version; });
    }
    return version && version->empty() ? std::nullopt : version;
}

bool is_majority(std::size_t replied, std::size_t asked)
{
    return 2 * (replied + 1) > asked + 1;
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
