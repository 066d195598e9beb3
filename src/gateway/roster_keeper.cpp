#include "gateway/roster_keeper.hpp"

#include "gateway/call_after.hpp"

#include <chrono>
#include <optional>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// All heartbeat rows stand in one partition, named by the end of their keys.
constexpr std::string_view key_begin = "router/";
constexpr std::string_view key_end = "/fleet";
constexpr char range_begin[] = "router//fleet";
constexpr char range_end[] = "router0/fleet";

std::string key_of(incarnation_id const& router)
{
    return std::string{key_begin} + router.value + std::string{key_end};
}

/// Nothing for the key of another row.
std::optional<incarnation_id> router_of(std::string const& key)
{
    auto const around = key_begin.size() + key_end.size();
    if (key.size() <= around || !key.starts_with(key_begin) ||
        !key.ends_with(key_end))
    {
        return std::nullopt;
    }
    return incarnation_id{key.substr(key_begin.size(), key.size() - around)};
}

} // namespace

roster_keeper::roster_keeper(boost::asio::any_io_executor const& executor,
                             store::async_port port, incarnation_id self,
                             std::string address, duration window,
                             decision_log& log)
    : beat_timer{executor},
      read_timer{executor}, port{std::move(port)}, self{std::move(self)},
      address{std::move(address)}, window{window}, log{log}
{
}

void roster_keeper::start()
{
    this->beat_after(fleet::first_heartbeat_after(this->self));
    this->read();
}

void roster_keeper::leave()
{
    this->leaving = true;
    store::transaction txn;
    txn.writes.push_back({key_of(this->self), std::nullopt});
    // If it is lost, the row counts as dead after its lifetime.
    this->port.commit(txn, [](store::commit_result const&) {});
}

std::int64_t roster_keeper::alive_vms() const
{
    return fleet::alive_vms(this->known);
}

std::map<std::string, incarnation_id> roster_keeper::live_routers() const
{
    return fleet::live_routers(this->known);
}

std::uint64_t roster_keeper::reads() const
{
    return this->read_count;
}

std::int64_t roster_keeper::slack_sharers() const
{
    if (this->leaving)
    {
        return 0;
    }
    return fleet::slack_sharers(this->known, this->lease, this->self,
                                this->window, this->now.now());
}

duration roster_keeper::view_age() const
{
    return this->now.now() - this->known.read.sent;
}

void roster_keeper::beat()
{
    if (this->leaving)
    {
        return;
    }
    store::transaction txn;
    txn.writes.push_back({key_of(this->self), this->address});
    auto const sent = this->now.now();
    this->port.commit(txn,
                      [this, sent](store::commit_result const& result)
                      {
                          if (result.outcome != store::commit_outcome::applied)
                          {
                              this->log.fault(result.fault);
                              return;
                          }
                          this->lease = fleet::renewed(this->lease,
                                                       {sent, this->now.now()},
                                                       this->window);
                      });
    this->beat_after(fleet::heartbeat_interval);
}

void roster_keeper::beat_after(duration pause)
{
    call_after(this->beat_timer, pause, [this] { this->beat(); });
}

/// After a read that failed the next one comes soon: the view of the fleet
/// expires.
void roster_keeper::read()
{
    auto const sent = this->now.now();
    this->port.scan(
        range_begin, range_end,
        [this, sent](std::variant<std::vector<store::row>, error> const& reply)
        {
            if (auto const* fault = std::get_if<error>(&reply))
            {
                this->log.fault(*fault);
                this->read_after(fleet::heartbeat_interval);
                return;
            }
            this->take(std::get<std::vector<store::row>>(reply),
                       {sent, this->now.now()});
            this->read_after(fleet::read_interval(this->known));
        });
}

void roster_keeper::read_after(duration pause)
{
    call_after(this->read_timer, pause, [this] { this->read(); });
}

void roster_keeper::take(std::vector<store::row> const& rows,
                         fleet::call_times const& times)
{
    std::vector<fleet::heartbeat> beats;
    beats.reserve(rows.size());
    for (auto const& row : rows)
    {
        if (auto const router = router_of(row.key))
        {
            beats.push_back({*router, row.value, row.version});
        }
    }
    this->known = fleet::seen(std::move(this->known), beats, times);
    this->read_count += 1;
    this->remove_dead();
    auto const count = fleet::alive(this->known);
    if (count != this->last_alive)
    {
        this->log.write(log_weight::notable, "routers",
                        {{"alive", std::to_string(count)},
                         {"before", std::to_string(this->last_alive)}});
        this->last_alive = count;
    }
}

void roster_keeper::remove_dead()
{
    for (auto const& router : fleet::dead(this->known, this->self))
    {
        auto const key = key_of(router);
        store::transaction txn;
        txn.conditions.push_back({key, this->known.members.at(router).version});
        txn.writes.push_back({key, std::nullopt});
        // Another router may have removed it; the next read shows.
        this->port.commit(txn, [](store::commit_result const&) {});
    }
}

} // namespace caperpath::gateway
