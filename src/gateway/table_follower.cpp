#include "gateway/table_follower.hpp"

#include <caperpath/budget/sizing.hpp>

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// How long the store holds a call without changes. A connection that went
/// silent is noticed after this and the client's margin; a change must be in
/// force within two seconds of its acknowledgement, half of them are left for
/// the read that follows.
constexpr duration hold_time{600};

} // namespace

table_follower::table_follower(boost::asio::any_io_executor const& executor,
                               store::async_port port, std::string table,
                               table_listener listener)
    : port{std::move(port)}, table{std::move(table)},
      listener{std::move(listener)}, timer{executor}
{
}

void table_follower::start()
{
    this->list();
}

void table_follower::list()
{
    this->port.list(this->table,
                    [this](std::variant<store::feed_page, error> const& reply)
                    {
                        if (auto const* fault = std::get_if<error>(&reply))
                        {
                            this->retry(*fault);
                            return;
                        }
                        auto const& page = std::get<store::feed_page>(reply);
                        this->failures = 0;
                        this->version = page.version;
                        this->listener.reached(true, {});
                        this->listener.listed(page);
                        this->follow();
                    });
}

void table_follower::follow()
{
    this->port.follow(this->table, this->version, hold_time,
                      [this](std::variant<store::feed_page, error> const& reply)
                      {
                          if (auto const* fault = std::get_if<error>(&reply))
                          {
                              this->retry(*fault);
                              return;
                          }
                          auto const& page = std::get<store::feed_page>(reply);
                          this->version = page.version;
                          this->listener.reached(true, {});
                          this->listener.changed(page);
                          if (!this->listener.pause)
                          {
                              this->follow();
                              return;
                          }
                          this->after(this->listener.pause(),
                                      [this] { this->follow(); });
                      });
}

void table_follower::after(duration pause, std::function<void()> next)
{
    this->timer.expires_after(std::chrono::milliseconds{pause.ms});
    this->timer.async_wait(
        [next = std::move(next)](boost::system::error_code fault)
        {
            if (!fault)
            {
                next();
            }
        });
}

void table_follower::retry(error const& why)
{
    // A dropped history is no outage, and a single lost call is none yet.
    if (why.kind != error_kind::not_found && this->failures > 0)
    {
        this->listener.reached(false, why);
    }
    if (this->failures == 0 && this->listener.missed)
    {
        this->listener.missed(why);
    }
    this->failures += 1;
    auto const salt = std::hash<std::string>{}(this->table) + this->version;
    auto const pause = this->failures == 1
                           ? duration{0}
                           : budget::backoff(this->failures - 1, salt);
    constexpr std::int64_t longest_pause_ms = 400;
    this->after({std::min<std::int64_t>(pause.ms, longest_pause_ms)},
                [this] { this->list(); });
}

} // namespace caperpath::gateway
