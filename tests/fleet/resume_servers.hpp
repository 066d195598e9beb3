#ifndef CAPERPATH_TESTS_FLEET_RESUME_SERVERS_HPP
#define CAPERPATH_TESTS_FLEET_RESUME_SERVERS_HPP

#include "fleet/resume_fleet.hpp"

#include <caperpath/fleet/stream_version.hpp>

#include <set>
#include <string>
#include <vector>

namespace caperpath::fleet
{

/// The servers of a scenario: numbers from 0, of which each step of the rollout
/// gives the first ones the newer version.
class resume_servers
{
public:
    static constexpr int count = 100;

    explicit resume_servers(resume_scenario const& scenario);

    /// What runs at `now`.
    rollout_step const& running_at(instant now) const;

    /// What the entries of the servers name at `now`.
    rollout_step const& listed_at(instant now) const;

    static std::string version_at(rollout_step const& step, int server);
    static std::set<std::string> versions_of(rollout_step const& step);

    stream_source source_of(int server, std::string const& version) const;

    /// `history` with the servers as they are listed.
    version_history listed(version_history history, rollout_step const& step,
                           instant now) const;

    /// True if none of `servers` ran or named another version from `from` to
    /// `to`.
    bool kept_version(std::vector<int> const& servers,
                      std::string const& version, instant from,
                      instant to) const;

private:
    backend_server_id id_of(int server, std::string const& version) const;

    resume_scenario const& scenario;
};

} // namespace caperpath::fleet

#endif
