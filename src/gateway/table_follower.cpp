#include "gateway/table_follower.hpp"

#include "gateway/call_after.hpp"

#include <caperpath/base/follow_pace.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// After a lost call: an answer shows that the store is there.
constexpr duration short_hold_time{100};
constexpr duration change_answer{350};
constexpr duration list_answer{800};
constexpr duration long_transfer{250};

/// True when an answer took long and brought rows that others in it replace.
/// The store gives each version of a row: on a slow link more of them gather
/// while one is read, and the newest arrives later and later. The table itself
/// holds only the newest.
bool lags_behind(store::feed_page const& page)
{
    if (page.cost.took - page.cost.answered < long_transfer)
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
                               table_listener listener, std::size_t salt)
    : port{std::move(port)}, table{std::move(table)},
      listener{std::move(listener)}, salt{salt}, timer{executor}
{
}

void table_follower::start()
{
    this->hold = this->listener.hold;
    this->list();
}

void table_follower::list()
{
    this->listed = false;
    // In an outage a longer wait only delays the call that ends it.
    auto const lost = std::min(this->failures, 1);
    this->port.list(this->table, answer_limit(list_answer, lost),
                    [this](std::variant<store::feed_page, error> const& reply)
                    {
                        if (auto const* fault = std::get_if<error>(&reply))
                        {
                            this->retry(*fault);
                            return;
                        }
                        auto const& page = std::get<store::feed_page>(reply);
                        this->failures = 0;
                        this->listed = true;
                        this->version = page.version;
                        this->listener.reached(true, {});
                        this->listener.listed(page);
                        this->follow(this->hold);
                    });
}

void table_follower::renew()
{
    if (!this->held)
    {
        return;
    }
    this->hold = this->listener.hold;
    this->follow(short_hold_time);
    this->held = false;
}

void table_follower::follow(duration hold)
{
    this->held = true;
    this->asked += 1;
    this->port.follow(
        this->table, this->version, hold,
        answer_limit(change_answer, this->missed_changes),
        [this, hold,
         call = this->asked](std::variant<store::feed_page, error> const& reply)
        {
            if (call != this->asked)
            {
                return; // was renewed
            }
            this->held = false;
            if (auto const* fault = std::get_if<error>(&reply))
            {
                this->missed_changes += 1;
                this->retry(*fault);
                return;
            }
            auto const& page = std::get<store::feed_page>(reply);
            this->failures = 0;
            this->missed_changes = 0;
            this->version = page.version;
            this->listener.reached(true, {});
            this->listener.changed(page);
            if (page.rows.empty() && hold == this->hold)
            {
                this->hold = next_hold(this->hold, this->listener.longest_hold);
            }
            if (lags_behind(page))
            {
                this->list();
                return;
            }
            this->follow_on();
        });
}

void table_follower::follow_on()
{
    if (!this->listener.pause)
    {
        this->follow(this->hold);
        return;
    }
    this->after(this->listener.pause(), [this] { this->follow(this->hold); });
}

void table_follower::after(duration pause, std::function<void()> next)
{
    call_after(this->timer, pause, std::move(next));
}

void table_follower::retry(error const& why)
{
    auto const history_gone = why.kind == error_kind::not_found;
    // A dropped history is no outage, and a single lost call is none yet.
    if (!history_gone && this->failures > 0)
    {
        this->listener.reached(false, why);
    }
    if (this->failures == 0 && this->listener.missed)
    {
        this->listener.missed(why);
    }
    this->failures += 1;
    this->hold = this->listener.hold;
    if (history_gone || reads_anew(this->failures))
    {
        this->listed = false;
    }
    auto const drawn = this->salt + static_cast<std::size_t>(this->version) +
                       static_cast<std::size_t>(this->failures);
    auto const pause =
        retry_pause(this->failures, std::hash<std::size_t>{}(drawn));
    this->after(pause,
                [this]
                {
                    if (this->listed)
                    {
                        this->follow(short_hold_time);
                        return;
                    }
                    this->list();
                });
}

} // namespace caperpath::gateway
