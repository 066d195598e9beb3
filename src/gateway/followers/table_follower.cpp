#include "gateway/followers/table_follower.hpp"

#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <caperpath/base/follow_backoff.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Hold after a lost call, to find out soon whether the store is reachable.
constexpr duration probe_hold{100};
constexpr duration poll_timeout{350};
constexpr duration list_timeout{800};
constexpr duration slow_transfer{250};

/// True if a transfer was slow and holds several versions of a row. The feed
/// returns each version: on a slow link more of them accumulate during each
/// read, and the newest arrives later and later. Reading the table returns only
/// the newest.
bool lags_behind(store::feed_page const& page)
{
    if (page.cost.total_time - page.cost.time_to_first_byte < slow_transfer)
    {
        return false;
    }
    std::set<std::string_view> keys;
    for (auto const& row : page.rows)
    {
        keys.insert(row.key);
    }
    return keys.size() < page.rows.size();
}

} // namespace

table_follower::table_follower(boost::asio::any_io_executor const& executor,
                               store::async_port port, std::string table,
                               table_listener listener, std::size_t salt,
                               decision_log& log)
    : port{std::move(port)}, table{std::move(table)},
      listener{std::move(listener)}, salt{salt}, log{log}, timer{executor}
{
}

void table_follower::start()
{
    this->hold = this->listener.hold;
    this->list();
}

void table_follower::list()
{
    this->is_current = false;
    // The timeout is lengthened at most once: in an outage, a longer one only
    // delays the call that detects its end.
    auto const lost = std::min(this->failures, 1);
    this->port.list(this->table, first_byte_timeout(list_timeout, lost),
                    [this](std::variant<store::feed_page, error> const& reply)
                    {
                        if (auto const* fault = std::get_if<error>(&reply))
                        {
                            this->retry(*fault);
                            return;
                        }
                        auto const& page = std::get<store::feed_page>(reply);
                        this->version = page.version;
                        if (this->deliver(this->listener.on_snapshot, page))
                        {
                            this->is_current = true;
                            this->follow(this->hold);
                        }
                    });
}

/// After an exception the page may be applied in part, so the whole table is
/// read again, and the function returns false.
bool table_follower::deliver(
    std::function<void(store::feed_page const&)> const& handler,
    store::feed_page const& page)
{
    run_part(this->log, this->table,
             [this] { this->listener.on_reachability(true, {}); });
    if (run_part(this->log, this->table, [&] { handler(page); }))
    {
        this->failures = 0;
        return true;
    }
    this->failures += 1;
    this->is_current = false;
    this->schedule_retry();
    return false;
}

void table_follower::restart_poll()
{
    if (!this->may_restart_poll)
    {
        return;
    }
    this->hold = this->listener.hold;
    this->follow(probe_hold);
    this->may_restart_poll = false;
}

void table_follower::follow(duration hold)
{
    this->may_restart_poll = true;
    this->calls_sent += 1;
    this->port.follow(this->table, this->version, hold,
                      first_byte_timeout(poll_timeout, this->lost_polls),
                      [this, hold, call = this->calls_sent](
                          std::variant<store::feed_page, error> const& reply)
                      {
                          if (call != this->calls_sent)
                          {
                              return; // replaced by `restart_poll`
                          }
                          this->may_restart_poll = false;
                          if (auto const* fault = std::get_if<error>(&reply))
                          {
                              this->lost_polls += 1;
                              this->retry(*fault);
                              return;
                          }
                          auto const& page = std::get<store::feed_page>(reply);
                          this->lost_polls = 0;
                          this->version = page.version;
                          if (!this->deliver(this->listener.on_change, page))
                          {
                              return;
                          }
                          if (page.rows.empty() && hold == this->hold)
                          {
                              this->hold = next_hold(this->hold,
                                                     this->listener.max_hold);
                          }
                          if (lags_behind(page))
                          {
                              this->list();
                              return;
                          }
                          this->follow_next();
                      });
}

void table_follower::follow_next()
{
    if (!this->listener.poll_delay)
    {
        this->follow(this->hold);
        return;
    }
    auto pause = poll_timeout;
    run_part(this->log, this->table,
             [&] { pause = this->listener.poll_delay(); });
    this->schedule(pause, [this] { this->follow(this->hold); });
}

void table_follower::schedule(duration pause, std::function<void()> next)
{
    run_after(this->timer, pause, std::move(next));
}

void table_follower::retry(error const& why)
{
    auto const history_gone = why.kind == error_kind::not_found;
    // A dropped history is not an outage, and neither is a single lost call.
    if (!history_gone && this->failures > 0)
    {
        run_part(this->log, this->table,
                 [&] { this->listener.on_reachability(false, why); });
    }
    if (this->failures == 0 && this->listener.on_first_failure)
    {
        run_part(this->log, this->table,
                 [&] { this->listener.on_first_failure(why); });
    }
    this->failures += 1;
    this->hold = this->listener.hold;
    if (history_gone || needs_full_read(this->failures))
    {
        this->is_current = false;
    }
    this->schedule_retry();
}

void table_follower::schedule_retry()
{
    auto const seed = this->salt + static_cast<std::size_t>(this->version) +
                      static_cast<std::size_t>(this->failures);
    auto const pause =
        retry_backoff(this->failures, std::hash<std::size_t>{}(seed));
    this->schedule(pause,
                   [this]
                   {
                       if (this->is_current)
                       {
                           this->follow(probe_hold);
                           return;
                       }
                       this->list();
                   });
}

} // namespace caperpath::gateway
