#include "fleet/resume_fleet.hpp"

#include "fleet/resume_servers.hpp"

#include <caperpath/fleet/stream_record.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr duration tick{10};
/// Routers learn of a change of the list within this time.
constexpr std::int64_t longest_lag_ms = 1'000;
constexpr std::int64_t mean_life_ms = 2'500;
constexpr duration time_limit{10'000};
constexpr std::int64_t longest_return_ms = 1'000;
constexpr int whole = 100;

duration interval(resume_scenario const& scenario)
{
    return record_interval(scenario.routers, scenario.writes_per_s);
}

struct stream
{
    stream_key key{};
    std::string version;
    std::string listed_version; ///< that the entries of its servers named
    std::vector<int> servers;
    instant began;
    instant ends;
};

/// The simulated routers, their rows and their streams.
class resume_fleet
{
public:
    resume_fleet(resume_scenario const& scenario, resume_way way)
        : scenario{scenario}, servers{scenario}, way{way},
          random{scenario.seed}, losses{scenario.seed},
          records(static_cast<std::size_t>(scenario.routers))
    {
        auto const routers = static_cast<std::size_t>(scenario.routers);
        for (std::size_t i = 0; i < routers; ++i)
        {
            this->lags.push_back({this->draw(0, longest_lag_ms)});
            this->next_row.push_back({this->draw(0, interval(scenario).ms)});
            this->open.emplace_back();
        }
        this->rows.resize(routers);
        this->seen.resize(routers);
        this->histories.resize(routers);
        this->next_end.resize(routers, scenario.killed);
    }

    resume_result run()
    {
        auto const* step = &this->servers.running_at(instant{});
        for (instant now{}; now < this->scenario.killed; now = now + tick)
        {
            auto const* const before =
                std::exchange(step, &this->servers.running_at(now));
            if (this->scenario.in_place && before != step)
            {
                this->restart_servers(*before, *step, now);
            }
            for (std::size_t i = 0; i < this->open.size(); ++i)
            {
                this->run_router(i, now);
            }
        }
        return this->resume_all();
    }

private:
    std::int64_t draw(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>{least,
                                                           most}(this->random);
    }

    static std::string by_hash(rollout_step const& step, stream_key key)
    {
        return version_at(step, static_cast<int>(key % resume_servers::count));
    }

    static std::string version_at(rollout_step const& step, int server)
    {
        return resume_servers::version_at(step, server);
    }

    /// Streams at servers that start again go on at others of their version.
    void restart_servers(rollout_step const& before, rollout_step const& step,
                         instant now)
    {
        for (std::size_t i = 0; i < this->open.size(); ++i)
        {
            auto const& listed = this->servers.listed_at(now - this->lags[i]);
            auto const continues = [&](stream& each)
            {
                auto const at = each.servers.back();
                if (version_at(before, at) == version_at(step, at))
                {
                    return true;
                }
                auto const next =
                    static_cast<int>(this->draw(0, resume_servers::count - 1));
                auto const fits = each.listed_version == each.version &&
                                  version_at(step, next) == each.version &&
                                  version_at(listed, next) == each.version;
                if (fits)
                {
                    each.servers.push_back(next);
                    this->record(i, each, now);
                }
                else
                {
                    this->records[i].end(each.key);
                }
                return fits;
            };
            std::erase_if(this->open[i],
                          [&](stream& each) { return !continues(each); });
        }
    }

    /// Records the latest server of a stream.
    void record(std::size_t router, stream const& each, instant now)
    {
        if (this->set.versions.size() > 1)
        {
            this->records[router].begin(
                each.key,
                this->servers.source_of(each.servers.back(),
                                        each.listed_version),
                now + time_limit);
        }
    }

    void run_router(std::size_t router, instant now)
    {
        auto const view = now - this->lags[router];
        auto const& step = this->servers.listed_at(view);
        if (std::exchange(this->seen[router], &step) != &step)
        {
            this->note_versions(step, now);
            this->note_servers(router, step, now);
        }
        if (now >= this->next_end[router])
        {
            this->end_streams(router, now);
        }
        constexpr std::int64_t per_s = 1'000;
        if (this->draw(1, per_s) <= this->scenario.streams_per_s * tick.ms)
        {
            this->begin(router, step, now);
        }
        this->write_row(router, now);
    }

    /// The first router that sees a version adds it to the row.
    void note_versions(rollout_step const& step, instant now)
    {
        auto const listed = resume_servers::versions_of(step);
        auto const had_several = this->set.versions.size() > 1;
        this->set.versions.insert(listed.begin(), listed.end());
        if (!had_several && this->set.versions.size() > 1)
        {
            this->record_open_streams(now);
        }
    }

    void note_servers(std::size_t router, rollout_step const& step, instant now)
    {
        auto& history = this->histories[router];
        history = this->servers.listed(std::move(history), step, now);
        if (this->way != resume_way::versions)
        {
            this->records[router].invalidate_uncertain(history, now);
        }
    }

    void end_streams(std::size_t router, instant now)
    {
        auto& open = this->open[router];
        this->next_end[router] = this->scenario.killed;
        std::erase_if(open,
                      [&](stream const& each)
                      {
                          if (now < each.ends)
                          {
                              this->next_end[router] =
                                  std::min(this->next_end[router], each.ends);
                              return false;
                          }
                          this->records[router].end(each.key);
                          return true;
                      });
    }

    void record_open_streams(instant now)
    {
        for (std::size_t i = 0; i < this->open.size(); ++i)
        {
            for (auto const& each : this->open[i])
            {
                for (auto const server : each.servers)
                {
                    this->records[i].begin(
                        each.key,
                        this->servers.source_of(server, each.listed_version),
                        now + time_limit);
                }
            }
        }
    }

    void begin(std::size_t router, rollout_step const& step, instant now)
    {
        std::exponential_distribution<double> life{1.0 / mean_life_ms};
        stream made;
        made.key = this->random();
        made.began = now;
        made.ends =
            now +
            duration{std::min(static_cast<std::int64_t>(life(this->random)),
                              time_limit.ms)};
        auto const server = static_cast<int>(
            (this->way == resume_way::hash ? made.key : this->random()) %
            resume_servers::count);
        made.servers.push_back(server);
        made.listed_version = version_at(step, server);
        made.version = this->scenario.in_place
                           ? version_at(this->servers.running_at(now), server)
                           : made.listed_version;
        this->next_end[router] = std::min(this->next_end[router], made.ends);
        this->open[router].push_back(made);
        this->record(router, made, now);
    }

    void write_row(std::size_t router, instant now)
    {
        auto& records = this->records[router];
        if (now < this->next_row[router] || !records.has_changed())
        {
            return;
        }
        this->next_row[router] = now + interval(this->scenario);
        auto row = records.take_row(now);
        auto const is_lost = now >= this->scenario.store_away ||
                             std::uniform_int_distribution<int>{1, whole}(
                                 this->losses) <= this->scenario.lost_percent;
        if (is_lost)
        {
            records.note_lost_row();
            return;
        }
        this->rows[router] = std::move(row);
    }

    /// The version by the id, if all functions of the time in which the stream
    /// can have begun give the same.
    std::optional<std::string> by_history(stream_key key, instant now) const
    {
        std::optional<std::string> version;
        auto const from =
            now - time_limit - duration{longest_lag_ms + longest_return_ms};
        auto const& all = this->scenario.rollout;
        for (auto step = all.begin(); step != all.end(); ++step)
        {
            auto const ended = step + 1 != all.end() && (step + 1)->at <= from;
            if (ended || step->at >= this->scenario.killed)
            {
                continue;
            }
            auto const given = by_hash(*step, key);
            if (version && *version != given)
            {
                return std::nullopt;
            }
            version = given;
        }
        return version;
    }

    std::optional<std::string> by_rows(stream_key key) const
    {
        auto const found = this->read.find(key);
        if (found != this->read.end())
        {
            auto const& sources = found->second;
            auto const proves_it =
                this->way == resume_way::versions ||
                is_certain(this->restarted, sources, this->scenario.killed);
            return proves_it ? std::optional{sources.version} : std::nullopt;
        }
        return this->set.versions.size() == 1
                   ? std::optional{*this->set.versions.begin()}
                   : std::nullopt;
    }

    std::optional<std::string> find(stream const& of, instant now) const
    {
        switch (this->way)
        {
        case resume_way::memory:
            return std::nullopt;
        case resume_way::hash:
            return this->by_history(of.key, now);
        case resume_way::rows:
        case resume_way::versions:
            break;
        }
        return this->by_rows(of.key);
    }

    resume_result resume_all()
    {
        for (auto const& row : this->rows)
        {
            for (auto const& [source, keys] : row)
            {
                for (auto const key : keys)
                {
                    this->read[key].version = source.version;
                    add_server(this->read[key], source.server);
                }
            }
        }
        auto const back = this->scenario.killed + this->scenario.down;
        this->restarted =
            this->servers.listed({}, this->servers.listed_at(back), back);
        resume_result result;
        for (auto const& open : this->open)
        {
            for (auto const& each : open)
            {
                auto const now = this->scenario.killed + this->scenario.down +
                                 duration{this->draw(0, longest_return_ms)};
                auto const there =
                    resume_servers::versions_of(this->servers.running_at(now));
                if (now - each.began >= time_limit ||
                    !there.contains(each.version))
                {
                    continue;
                }
                result.streams += 1;
                auto const version = this->find(each, now);
                result.resumed += version ? 1 : 0;
                auto const undisturbed = this->servers.kept_version(
                    each.servers, each.version,
                    each.began - duration{longest_lag_ms}, now);
                result.undisturbed += undisturbed ? 1 : 0;
                result.undisturbed_resumed += undisturbed && version ? 1 : 0;
                result.at_another_version +=
                    version && *version != each.version ? 1 : 0;
            }
        }
        return result;
    }

    resume_scenario const& scenario;
    resume_servers servers;
    resume_way way;
    std::mt19937_64 random;
    std::mt19937_64 losses; ///< so that all ways have the same streams
    std::vector<stream_records> records;
    std::vector<duration> lags;
    std::vector<rollout_step const*> seen; ///< by each router
    std::vector<instant> next_row;
    std::vector<instant> next_end; ///< of the first stream to end
    std::vector<std::vector<stream>> open;
    std::vector<streams_by_source> rows;
    std::vector<version_history> histories; ///< of each router
    version_history restarted;              ///< of routers that came back
    std::unordered_map<stream_key, stream_sources> read;
    version_set set;
};

} // namespace

resume_result play(resume_scenario const& scenario, resume_way way)
{
    return resume_fleet{scenario, way}.run();
}

} // namespace caperpath::fleet
