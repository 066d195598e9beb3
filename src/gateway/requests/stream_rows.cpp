#include "gateway/requests/stream_rows.hpp"

#include "gateway/requests/stream_packet.hpp"
#include "gateway/run_after.hpp"

#include <caperpath/fleet/placement.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <string_view>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using nlohmann::json;

/// The suffix of a key is its partition. A partition applies its transactions
/// one after the other, so the rows of routers are spread over several.
constexpr std::size_t stream_partitions = 8;
constexpr std::string_view stream_begin = "streams/";
constexpr std::string_view version_begin = "versions/";
constexpr std::string_view version_end = "/versions";
/// '0' is the character after '/', so the ranges hold all rows.
constexpr char version_range_begin[] = "versions//versions";
constexpr char version_range_end[] = "versions0/versions";
constexpr duration read_retry{500};
constexpr duration least_commit_pause{200};
constexpr std::uint64_t commit_jitter_ms = 1'000;

std::string partition(std::size_t number)
{
    return "/p" + std::to_string(number);
}

std::string stream_key_of_vm(std::string const& vm)
{
    return std::string{stream_begin} + vm +
           partition(fleet::stable_hash(vm) % stream_partitions);
}

std::string version_key(service_id const& service)
{
    return std::string{version_begin} + service.value +
           std::string{version_end};
}

/// The versions in the value of a row; none if it is malformed.
std::set<std::string> parse_versions(std::string const& value)
{
    std::set<std::string> versions;
    auto const list = json::parse(value, nullptr, false);
    if (!list.is_array())
    {
        return versions;
    }
    for (auto const& one : list)
    {
        if (one.is_string())
        {
            versions.insert(one.get<std::string>());
        }
    }
    return versions;
}

std::string encode_row(fleet::streams_by_version const& streams)
{
    stream_packet packet;
    for (auto const& [version, keys] : streams)
    {
        packet.notes.push_back({version, keys});
    }
    return encode(packet);
}

} // namespace

stream_rows::stream_rows(boost::asio::any_io_executor const& executor,
                         store::async_port port, std::string vm,
                         std::int64_t writes_per_s, decision_log& log,
                         stream_row_handlers handlers)
    : write_timer{executor}, read_timer{executor},
      retry_timer{executor}, port{std::move(port)}, vm{std::move(vm)},
      writes_per_s{writes_per_s}, log{log}, handlers{std::move(handlers)}
{
}

void stream_rows::start()
{
    this->read(
        [this](bool whole)
        {
            if (!whole)
            {
                run_after(this->retry_timer, read_retry,
                          [this] { this->start(); });
            }
        });
}

void stream_rows::set_router_count(std::int64_t routers)
{
    this->routers = routers;
}

duration stream_rows::interval() const
{
    return fleet::record_interval(this->routers, this->writes_per_s);
}

bool stream_rows::has_read() const
{
    return this->read_once;
}

bool stream_rows::has_several(service_id const& service) const
{
    auto const found = this->sets.find(service);
    return found != this->sets.end() && found->second.versions.size() > 1;
}

std::optional<std::string>
stream_rows::only_version(service_id const& service) const
{
    auto const found = this->sets.find(service);
    if (found == this->sets.end() || found->second.versions.size() != 1 ||
        found->second.versions.begin()->empty())
    {
        return std::nullopt;
    }
    return *found->second.versions.begin();
}

fleet::stream_records& stream_rows::records()
{
    return this->own;
}

/// Sets which servers may get new streams. Versions count as seen only in a
/// list that is up to date.
void stream_rows::confirm(fleet::server_table& servers)
{
    auto const at = this->now.now();
    for (auto& [id, target] : servers.servers)
    {
        auto& known = this->confirmed[target.entry.service];
        auto const found = known.find(target.entry.version);
        target.version_confirmed =
            found != known.end() &&
            at - found->second < fleet::confirmation_lifetime;
        if (target.version_confirmed && servers.store_reachable &&
            !fleet::is_draining(target, at))
        {
            found->second = at;
        }
    }
}

void stream_rows::note_servers(fleet::server_table& servers,
                               fleet::version_history const& history)
{
    auto const at = this->now.now();
    this->listed = &servers;
    this->confirm(servers);
    if (!this->read_once || !servers.store_reachable)
    {
        return;
    }
    std::map<service_id, std::set<std::string>> unconfirmed;
    for (auto const& [id, target] : servers.servers)
    {
        if (!target.version_confirmed && !fleet::is_draining(target, at))
        {
            unconfirmed[target.entry.service].insert(target.entry.version);
        }
    }
    for (auto const& [service, versions] : unconfirmed)
    {
        this->change_versions(service, versions, {});
    }
    for (auto const& [service, row] : this->sets)
    {
        auto const removed =
            fleet::removable_versions(row, history, service, at);
        if (!removed.empty())
        {
            this->change_versions(service, {}, removed);
        }
    }
}

/// Commits a changed row. Its condition fails if another router has changed it,
/// and the result then shows the current one.
void stream_rows::change_versions(service_id const& service,
                                  std::set<std::string> const& added,
                                  std::set<std::string> const& removed)
{
    auto const at = this->now.now();
    auto const paused = this->retry_at.find(service);
    if (this->committing.contains(service) ||
        (paused != this->retry_at.end() && at < paused->second))
    {
        return;
    }
    auto const& row = this->sets[service];
    auto versions = row.versions;
    versions.insert(added.begin(), added.end());
    for (auto const& version : removed)
    {
        versions.erase(version);
    }
    auto const value = json(versions).dump();
    auto const key = version_key(service);
    store::transaction txn;
    txn.conditions.push_back({key, row.row_version});
    txn.writes.push_back({key, value});
    this->port.commit(txn, [this, service, value, before = row.row_version](
                               store::commit_result const& result)
                      { this->handle_commit(service, value, before, result); });
    this->committing.insert(service);
}

void stream_rows::handle_commit(service_id const& service,
                                std::string const& value, std::uint64_t before,
                                store::commit_result const& result)
{
    this->committing.erase(service);
    auto const key = version_key(service);
    if (result.outcome == store::commit_outcome::applied)
    {
        this->take_version_row(
            {key, store::written_version(result, before), value});
        this->log.write(log_weight::notable, "stream_versions",
                        {{"service", service.value}, {"versions", value}});
        return;
    }
    if (result.failed.empty())
    {
        // Not all routers at the same moment.
        auto const jitter = fleet::stable_hash(this->vm) % commit_jitter_ms;
        this->retry_at[service] = this->now.now() + least_commit_pause +
                                  duration{static_cast<std::int64_t>(jitter)};
        this->log.write_error(result.fault);
    }
    for (auto const& row : result.failed)
    {
        this->take_version_row(row);
    }
}

void stream_rows::take_version_row(store::row const& row)
{
    if (!row.key.starts_with(version_begin) || !row.key.ends_with(version_end))
    {
        return;
    }
    service_id const service{row.key.substr(
        version_begin.size(),
        row.key.size() - version_begin.size() - version_end.size())};
    auto& set = this->sets[service];
    if (row.version < set.row_version)
    {
        return;
    }
    auto const had_several = set.versions.size() > 1;
    set = {parse_versions(row.value), row.version};
    auto& known = this->confirmed[service];
    std::erase_if(known, [&set](auto const& entry)
                  { return !set.versions.contains(entry.first); });
    for (auto const& version : set.versions)
    {
        known[version] = this->now.now();
    }
    if (!had_several && set.versions.size() > 1)
    {
        this->handlers.on_several(service);
        this->write_soon();
    }
    if (this->listed != nullptr)
    {
        this->confirm(*this->listed);
    }
}

void stream_rows::read(std::function<void(bool)> done)
{
    this->waiting_for_next.push_back(std::move(done));
    if (this->current.missing > 0 || this->waiting_for_next.size() > 1)
    {
        return;
    }
    auto const next =
        this->read_at + fleet::record_read_interval(this->routers);
    auto const pause = next - this->now.now();
    if (pause <= duration{0})
    {
        this->begin_read();
        return;
    }
    run_after(this->read_timer, pause, [this] { this->begin_read(); });
}

void stream_rows::begin_read()
{
    this->read_at = this->now.now();
    this->current = {stream_partitions + 1, false,
                     std::exchange(this->waiting_for_next, {})};
    for (std::size_t i = 0; i < stream_partitions; ++i)
    {
        this->scan("streams/" + partition(i), "streams0" + partition(i),
                   [this](auto const& rows) { this->take_streams(rows); });
    }
    this->scan(version_range_begin, version_range_end,
               [this](auto const& rows)
               {
                   for (auto const& row : rows)
                   {
                       this->take_version_row(row);
                   }
               });
}

void stream_rows::scan(std::string const& first, std::string const& last,
                       std::function<void(std::vector<store::row> const&)> take)
{
    this->port.scan(
        first, last,
        [this, take = std::move(take)](
            std::variant<std::vector<store::row>, error> const& reply)
        {
            if (auto const* fault = std::get_if<error>(&reply))
            {
                this->log.write_error(*fault);
                this->end_part(true);
                return;
            }
            auto failed = true;
            try
            {
                take(std::get<std::vector<store::row>>(reply));
                failed = false;
            }
            catch (std::exception const& fault)
            {
                this->log.write_error({error_kind::internal, "read stream rows",
                                       "store", fault.what()});
            }
            this->end_part(failed);
        });
}

void stream_rows::end_part(bool failed)
{
    auto& reading = this->current;
    reading.failed = reading.failed || failed;
    reading.missing -= 1;
    if (reading.missing > 0)
    {
        return;
    }
    if (!reading.failed)
    {
        this->read_once = true;
        this->write_soon();
    }
    for (auto const& done : std::exchange(reading.waiting, {}))
    {
        done(!reading.failed);
    }
    if (!this->waiting_for_next.empty())
    {
        run_after(this->read_timer, fleet::record_read_interval(this->routers),
                  [this] { this->begin_read(); });
    }
}

void stream_rows::take_streams(std::vector<store::row> const& rows)
{
    auto const own_key = stream_key_of_vm(this->vm);
    for (auto const& row : rows)
    {
        auto& seen = this->seen_rows[row.key];
        if (seen == row.version)
        {
            continue;
        }
        auto const decoded =
            value_or_error([&row] { return decode_stream_packet(row.value); });
        if (auto const* fault = std::get_if<error>(&decoded))
        {
            this->log.write_error(*fault);
            continue;
        }
        fleet::streams_by_version streams;
        for (auto const& note : std::get<stream_packet>(decoded).notes)
        {
            streams[note.version] = note.streams;
        }
        if (row.key == own_key && !this->read_once)
        {
            this->own.inherit(streams, this->now.now());
        }
        seen = row.version;
        this->handlers.on_streams(streams);
    }
}

void stream_rows::write_soon()
{
    if (this->write_scheduled || this->writing || !this->own.has_changed() ||
        !this->read_once)
    {
        return;
    }
    this->write_scheduled = true;
    run_after(this->write_timer, this->interval(), [this] { this->write(); });
}

/// The row holds only facts that stay true, so a late write of an older one
/// does no harm.
void stream_rows::write()
{
    this->write_scheduled = false;
    store::transaction txn;
    txn.writes.push_back({stream_key_of_vm(this->vm),
                          encode_row(this->own.take_row(this->now.now()))});
    this->port.commit(txn,
                      [this](store::commit_result const& result)
                      {
                          this->writing = false;
                          if (result.outcome != store::commit_outcome::applied)
                          {
                              this->log.write_error(result.fault);
                              this->own.note_lost_row();
                          }
                          this->write_soon();
                      });
    this->writing = true;
}

} // namespace caperpath::gateway
