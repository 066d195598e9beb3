#include "gateway/servers/server_pool.hpp"

#include "gateway/run_after.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr std::size_t max_idle_per_server = 32;

bool is_reusable(connection& link)
{
    return link.end() == peer_end::open && link.input().size() == 0;
}

} // namespace

server_pool::server_pool(std::function<void()> on_exchange)
    : on_exchange{std::move(on_exchange)}
{
}

connection_ptr server_pool::acquire(backend_server_id const& server,
                                    duration max_idle)
{
    auto const found = this->idle.find(server);
    auto const now = std::chrono::steady_clock::now();
    while (found != this->idle.end() && !found->second.empty())
    {
        auto const last = std::move(found->second.back());
        found->second.pop_back();
        // The newest is checked first: if it is too old, so are the others.
        auto const fresh = now < last.until &&
                           now - last.link->last_use() < to_chrono(max_idle);
        if (fresh && is_reusable(*last.link))
        {
            return last.link;
        }
        last.link->close();
    }
    return nullptr;
}

void server_pool::release(backend_server_id const& server, connection_ptr link,
                          duration idle_timeout)
{
    link->set_waker(nullptr);
    this->on_exchange();
    auto& all = this->idle[server];
    if (all.size() >= max_idle_per_server || !is_reusable(*link))
    {
        link->close();
        return;
    }
    auto const until =
        std::chrono::steady_clock::now() + to_chrono(idle_timeout);
    all.push_back({std::move(link), until});
}

void server_pool::drop(backend_server_id const& server)
{
    auto const found = this->idle.find(server);
    if (found == this->idle.end())
    {
        return;
    }
    for (auto const& each : found->second)
    {
        each.link->close();
    }
    this->idle.erase(found);
}

void server_pool::sweep()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto& [server, all] : this->idle)
    {
        std::erase_if(all,
                      [now](idle_connection const& each)
                      {
                          auto const over =
                              now >= each.until || !is_reusable(*each.link);
                          if (over)
                          {
                              each.link->close();
                          }
                          return over;
                      });
    }
}

} // namespace caperpath::gateway
