#include "gateway/followers/membership_tracker.hpp"

#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <chrono>
#include <optional>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// The suffix of the keys puts all heartbeat rows into one partition.
constexpr std::string_view key_begin = "router/";
constexpr std::string_view key_end = "/fleet";
/// '0' is the character after '/', so the range holds all keys `router/...`.
constexpr char range_begin[] = "router//fleet";
constexpr char range_end[] = "router0/fleet";

constexpr duration first_read_retry{1'000};

std::string key_of(incarnation_id const& router)
{
    return std::string{key_begin} + router.value + std::string{key_end};
}

/// Returns nothing if `key` is not a heartbeat row.
std::optional<incarnation_id> router_of(std::string const& key)
{
    auto const affix_length = key_begin.size() + key_end.size();
    if (key.size() <= affix_length || !key.starts_with(key_begin) ||
        !key.ends_with(key_end))
    {
        return std::nullopt;
    }
    return incarnation_id{
        key.substr(key_begin.size(), key.size() - affix_length)};
}

} // namespace

membership_tracker::membership_tracker(
    boost::asio::any_io_executor const& executor, store::async_port port,
    incarnation_id self, std::string address, duration window,
    decision_log& log)
    : heartbeat_timer{executor},
      read_timer{executor}, port{std::move(port)}, self{std::move(self)},
      address{std::move(address)}, window{window}, log{log}
{
}

void membership_tracker::start()
{
    this->heartbeat_after(fleet::first_heartbeat_after(this->self));
    this->read_members();
}

void membership_tracker::remove_own_row()
{
    this->leaving = true;
    store::transaction txn;
    txn.writes.push_back({key_of(this->self), std::nullopt});
    // If this write is lost, the row counts as dead after its lifetime.
    this->port.commit(txn, [](store::commit_result const&) {});
}

std::int64_t membership_tracker::alive_vms() const
{
    return fleet::alive_vms(this->known);
}

std::map<std::string, incarnation_id> membership_tracker::live_routers() const
{
    return fleet::live_routers(this->known);
}

std::uint64_t membership_tracker::completed_reads() const
{
    return this->read_count;
}

std::int64_t membership_tracker::retry_sharers() const
{
    if (this->leaving)
    {
        return 0;
    }
    return fleet::retry_allowance_sharers(this->known, this->lease, this->self,
                                          this->window, this->now.now());
}

duration membership_tracker::read_age() const
{
    return this->now.now() - this->known.read.sent;
}

void membership_tracker::send_heartbeat()
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
                              this->log.write_error(result.fault);
                              return;
                          }
                          this->lease = fleet::renewed(this->lease,
                                                       {sent, this->now.now()},
                                                       this->window);
                      });
    this->heartbeat_after(fleet::heartbeat_interval);
}

void membership_tracker::heartbeat_after(duration pause)
{
    run_after(this->heartbeat_timer, pause, [this] { this->send_heartbeat(); });
}

void membership_tracker::read_members()
{
    auto const sent = this->now.now();
    this->port.scan(
        range_begin, range_end,
        [this, sent](std::variant<std::vector<store::row>, error> const& reply)
        {
            auto applied = false;
            run_part(this->log, "heartbeat rows",
                     [&] { applied = this->take_rows(reply, sent); });
            // A failed read is retried soon, since the view of the fleet
            // expires. Without a first one no router can relay for this one.
            auto const retry = this->read_count == 0
                                   ? first_read_retry
                                   : fleet::heartbeat_interval;
            this->read_members_after(applied ? fleet::read_interval(this->known)
                                             : retry);
        });
}

/// Returns false if the read has failed.
bool membership_tracker::take_rows(
    std::variant<std::vector<store::row>, error> const& reply, instant sent)
{
    if (auto const* fault = std::get_if<error>(&reply))
    {
        this->log.write_error(*fault);
        return false;
    }
    this->apply(std::get<std::vector<store::row>>(reply),
                {sent, this->now.now()});
    return true;
}

void membership_tracker::read_members_after(duration pause)
{
    run_after(this->read_timer, pause, [this] { this->read_members(); });
}

void membership_tracker::apply(std::vector<store::row> const& rows,
                               fleet::call_times const& times)
{
    std::vector<fleet::heartbeat> heartbeats;
    heartbeats.reserve(rows.size());
    for (auto const& row : rows)
    {
        if (auto const router = router_of(row.key))
        {
            heartbeats.push_back({*router, row.value, row.version});
        }
    }
    // From a copy: an exception must not lose the known routers.
    this->known = fleet::update_membership(this->known, heartbeats, times);
    this->read_count += 1;
    this->remove_dead_rows();
    auto const count = fleet::live_router_count(this->known);
    if (count != this->last_alive)
    {
        this->log.write(log_weight::notable, "routers",
                        {{"alive", std::to_string(count)},
                         {"before", std::to_string(this->last_alive)}});
        this->last_alive = count;
    }
}

void membership_tracker::remove_dead_rows()
{
    for (auto const& router :
         fleet::dead_routers_to_remove(this->known, this->self))
    {
        auto const key = key_of(router);
        store::transaction txn;
        txn.conditions.push_back({key, this->known.members.at(router).version});
        txn.writes.push_back({key, std::nullopt});
        // On a conflict another router removed it; the next read shows that.
        this->port.commit(txn, [](store::commit_result const&) {});
    }
}

} // namespace caperpath::gateway
