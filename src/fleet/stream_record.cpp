#include <caperpath/fleet/stream_record.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr duration least_interval{100};
constexpr duration longest_read_interval{350};
constexpr std::int64_t read_pause_per_router_ms = 2;
/// The part of the store's writes that all routers together use.
constexpr std::int64_t write_divisor = 4;
constexpr std::int64_t ms_per_s = 1'000;

} // namespace

void stream_records::begin(stream_key stream, stream_source const& source,
                           instant deadline)
{
    auto& found = this->records[stream];
    found.until = std::max(found.until, deadline + resumption_slack);
    if (found.uncertain)
    {
        return;
    }
    if (found.sources.version == source.version)
    {
        auto const added = add_server(found.sources, source.server);
        this->changed = this->changed || added;
        return;
    }
    this->changed = true;
    if (found.written)
    {
        // A row that names another version may have been written.
        this->make_uncertain(found);
        return;
    }
    found.sources = {source.version, {source.server}};
}

bool stream_records::retract(stream_key stream)
{
    auto const found = this->records.find(stream);
    if (found == this->records.end())
    {
        return true;
    }
    if (found->second.written)
    {
        return false;
    }
    this->records.erase(found);
    return true;
}

void stream_records::end(stream_key stream)
{
    auto const found = this->records.find(stream);
    if (found != this->records.end())
    {
        // A row with it does no harm, so this alone needs no write.
        this->records.erase(found);
    }
}

void stream_records::invalidate(stream_key stream, instant deadline)
{
    auto& found = this->records[stream];
    found.until = std::max(found.until, deadline + resumption_slack);
    this->make_uncertain(found);
}

void stream_records::make_uncertain(record& known)
{
    known.uncertain = true;
    this->changed = this->changed || !known.sources.version.empty();
    known.sources = {};
}

void stream_records::invalidate_uncertain(version_history const& history,
                                          instant now)
{
    for (auto& [stream, known] : this->records)
    {
        if (!known.uncertain && !is_certain(history, known.sources, now))
        {
            this->make_uncertain(known);
        }
    }
}

void stream_records::inherit(streams_by_source const& streams, instant now)
{
    for (auto const& [source, keys] : streams)
    {
        for (auto const key : keys)
        {
            auto const [found, added] = this->records.try_emplace(
                key, record{{source.version, {source.server}},
                            now + stream_lifetime,
                            true,
                            false});
            auto& known = found->second;
            if (!added && known.sources.version == source.version)
            {
                add_server(known.sources, source.server);
            }
            else if (!added)
            {
                this->make_uncertain(known);
            }
        }
    }
}

std::optional<std::string>
stream_records::written_version(stream_key stream) const
{
    auto const found = this->records.find(stream);
    return found != this->records.end() && found->second.written
               ? std::optional{found->second.sources.version}
               : std::nullopt;
}

bool stream_records::has_changed() const
{
    return this->changed;
}

streams_by_source stream_records::take_row(instant now)
{
    this->changed = false;
    std::erase_if(this->records, [now](auto const& entry)
                  { return now >= entry.second.until; });
    std::vector<std::pair<instant, stream_key>> kept;
    kept.reserve(this->records.size());
    for (auto const& [key, known] : this->records)
    {
        if (!known.sources.version.empty())
        {
            kept.emplace_back(known.until, key);
        }
    }
    if (kept.size() > max_row_streams)
    {
        auto const end =
            kept.begin() + static_cast<std::ptrdiff_t>(max_row_streams);
        std::nth_element(kept.begin(), end, kept.end(),
                         [](auto const& a, auto const& b)
                         { return a.first > b.first; });
        kept.erase(end, kept.end());
    }
    streams_by_source row;
    for (auto const& [until, key] : kept)
    {
        auto& known = this->records.at(key);
        known.written = true;
        for (auto const server : known.sources.servers)
        {
            row[{known.sources.version, server}].push_back(key);
        }
    }
    return row;
}

void stream_records::note_lost_row()
{
    this->changed = !this->records.empty();
}

duration record_interval(std::int64_t routers, std::int64_t writes_per_s)
{
    return std::max(least_interval, duration{routers * ms_per_s *
                                             write_divisor / writes_per_s});
}

duration record_read_interval(std::int64_t routers)
{
    return std::clamp(duration{routers * read_pause_per_router_ms},
                      least_interval, longest_read_interval);
}

std::set<std::string> removable_versions(version_set const& row,
                                         version_history const& history,
                                         service_id const& service, instant now)
{
    std::set<std::string> removable;
    auto const seen = history.last_seen.find(service);
    auto const long_enough = history.current_since &&
                             now - *history.current_since >= stream_lifetime;
    if (!long_enough || seen == history.last_seen.end())
    {
        return removable;
    }
    for (auto const& version : row.versions)
    {
        auto const found = seen->second.find(version);
        if (found == seen->second.end() ||
            now - found->second >= stream_lifetime)
        {
            removable.insert(version);
        }
    }
    if (removable.size() == row.versions.size())
    {
        removable.clear();
    }
    return removable;
}

} // namespace caperpath::fleet
