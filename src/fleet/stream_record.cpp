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

void stream_records::begin(stream_key stream, std::string const& version,
                           instant deadline)
{
    auto& found = this->records[stream];
    found.until = std::max(found.until, deadline + resumption_slack);
    if (found.uncertain || found.version == version)
    {
        return;
    }
    this->changed = true;
    // A row that names another version may have been written.
    found.uncertain = found.written;
    found.version = found.uncertain ? "" : version;
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
    found.uncertain = true;
    this->changed = this->changed || !found.version.empty();
    found.version.clear();
}

void stream_records::inherit(streams_by_version const& streams, instant now)
{
    for (auto const& [version, keys] : streams)
    {
        for (auto const key : keys)
        {
            this->records.try_emplace(
                key, record{version, now + stream_lifetime, true, false});
        }
    }
}

std::optional<std::string>
stream_records::written_version(stream_key stream) const
{
    auto const found = this->records.find(stream);
    return found != this->records.end() && found->second.written
               ? std::optional{found->second.version}
               : std::nullopt;
}

bool stream_records::has_changed() const
{
    return this->changed;
}

streams_by_version stream_records::take_row(instant now)
{
    this->changed = false;
    std::erase_if(this->records, [now](auto const& entry)
                  { return now >= entry.second.until; });
    std::vector<std::pair<instant, stream_key>> kept;
    kept.reserve(this->records.size());
    for (auto const& [key, known] : this->records)
    {
        if (!known.version.empty())
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
    streams_by_version row;
    for (auto const& [until, key] : kept)
    {
        auto& known = this->records.at(key);
        known.written = true;
        row[known.version].push_back(key);
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
