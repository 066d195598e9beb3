#include "fleet/resume_servers.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::fleet
{

resume_servers::resume_servers(resume_scenario const& scenario)
    : scenario{scenario}
{
}

rollout_step const& resume_servers::running_at(instant now) const
{
    auto const& all = this->scenario.rollout;
    auto const next =
        std::find_if(all.begin() + 1, all.end(),
                     [now](auto const& step) { return step.at > now; });
    return *(next - 1);
}

rollout_step const& resume_servers::listed_at(instant now) const
{
    return this->running_at(
        this->scenario.in_place ? now - this->scenario.entry_delay : now);
}

std::string resume_servers::version_at(rollout_step const& step, int server)
{
    return server < step.percent ? step.newer : step.older;
}

std::set<std::string> resume_servers::versions_of(rollout_step const& step)
{
    std::set<std::string> versions;
    if (step.percent > 0)
    {
        versions.insert(step.newer);
    }
    if (step.percent < count)
    {
        versions.insert(step.older);
    }
    return versions;
}

backend_server_id resume_servers::id_of(int server,
                                        std::string const& version) const
{
    auto const place = "i-" + std::to_string(server);
    return {this->scenario.in_place ? place : place + "-" + version};
}

stream_source resume_servers::source_of(int server,
                                        std::string const& version) const
{
    return {version, server_key_of(this->id_of(server, version))};
}

version_history resume_servers::listed(version_history history,
                                       rollout_step const& step,
                                       instant now) const
{
    for (int server = 0; server < count; ++server)
    {
        server_entry entry;
        entry.version = version_at(step, server);
        entry.id = this->id_of(server, entry.version);
        history = note_version(std::move(history), entry, now);
    }
    return history;
}

bool resume_servers::kept_version(std::vector<int> const& servers,
                                  std::string const& version, instant from,
                                  instant to) const
{
    if (!this->scenario.in_place)
    {
        return true;
    }
    auto const first = &this->listed_at(from);
    auto const last = &this->running_at(to);
    return std::all_of(first, last + 1,
                       [&](rollout_step const& step)
                       {
                           return std::all_of(
                               servers.begin(), servers.end(),
                               [&](int server)
                               { return version_at(step, server) == version; });
                       });
}

} // namespace caperpath::fleet
