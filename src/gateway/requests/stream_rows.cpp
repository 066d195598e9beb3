#include "gateway/requests/stream_rows.hpp"

#include "gateway/run_after.hpp"

#include <caperpath/fleet/placement.hpp>

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using nlohmann::json;

/// The suffix of a key is its partition.
constexpr std::string_view version_begin = "versions/";
constexpr std::string_view version_end = "/versions";
constexpr duration read_retry{500};
constexpr duration least_commit_pause{200};
constexpr std::uint64_t commit_jitter_ms = 1'000;

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
    this->own.invalidate_uncertain(history, at);
    this->write_soon();
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

} // namespace caperpath::gateway
