#ifndef CAPERPATH_SRC_GATEWAY_GRANTER_QUERIES_HPP
#define CAPERPATH_SRC_GATEWAY_GRANTER_QUERIES_HPP

#include "gateway/run_after.hpp"
#include "gateway/waker.hpp"

#include <caperpath/base/clock.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace caperpath::gateway
{

/// Sends a datagram to another router.
using datagram_sender =
    std::function<void(std::string const& to, std::string const& bytes)>;

/// The queries of this router to those that grant something, and the routers
/// that do not respond. A `Reply` has the `number` of its query. Loop thread
/// only; must outlive its calls.
template <class Reply>
class granter_queries
{
public:
    /// `self` is the address of this router for datagrams.
    granter_queries(asio::any_io_executor executor, std::string self,
                    datagram_sender send)
        : executor{std::move(executor)}, own_address{std::move(self)},
          send{std::move(send)}, known{this->own_address}
    {
    }

    std::string const& self() const
    {
        return this->own_address;
    }

    /// The addresses of the routers that may grant; with this one until
    /// `leave` is called.
    std::vector<std::string> const& routers() const
    {
        return this->known;
    }

    /// The addresses of the other routers.
    void set_routers(std::vector<std::string> addresses)
    {
        this->known = std::move(addresses);
        if (!this->left)
        {
            this->known.push_back(this->own_address);
        }
        std::erase_if(this->silent_until, [this](auto const& entry)
                      { return !this->is_silent(entry.first); });
    }

    /// This router grants nothing any more: its process ends.
    void leave()
    {
        this->left = true;
        std::erase(this->known, this->own_address);
    }

    std::uint64_t next_number()
    {
        return ++this->last_number;
    }

    /// True if the router did not respond to a recent query.
    bool is_silent(std::string const& router) const
    {
        auto const found = this->silent_until.find(router);
        return found != this->silent_until.end() &&
               this->now.now() < found->second;
    }

    /// Sends query `number` to a router. Empty if it does not respond in time.
    asio::awaitable<std::optional<Reply>>
    ask(std::string router, std::uint64_t number, std::string bytes)
    {
        auto const open = std::make_shared<open_query>();
        open->wakeup = std::make_shared<waker>(this->executor);
        this->queries[number] = open;
        this->send(router, bytes);
        auto const until = this->now.now() + reply_timeout;
        for (auto left = reply_timeout; !open->reply && left > duration{0};
             left = until - this->now.now())
        {
            static_cast<void>(co_await open->wakeup->wait(
                std::chrono::steady_clock::now() + to_chrono(left)));
        }
        this->queries.erase(number);
        if (!open->reply)
        {
            this->silent_until[router] = this->now.now() + silence_time;
        }
        co_return open->reply;
    }

    /// Passes a reply on to its query, unless that has timed out.
    void deliver(Reply const& reply)
    {
        auto const found = this->queries.find(reply.number);
        if (found != this->queries.end())
        {
            found->second->reply = reply;
            found->second->wakeup->raise();
        }
    }

private:
    struct open_query
    {
        waker_ptr wakeup;
        std::optional<Reply> reply;
    };

    /// Routers respond within a round trip, a busy one within some turns of its
    /// event loop.
    static constexpr duration reply_timeout{100};
    /// A router that did not respond is not asked for this long.
    static constexpr duration silence_time{1'000};

    asio::any_io_executor executor;
    std::string own_address;
    datagram_sender send;
    std::vector<std::string> known;
    std::map<std::uint64_t, std::shared_ptr<open_query>> queries;
    std::uint64_t last_number{};
    std::map<std::string, instant> silent_until; ///< routers not to ask
    bool left{false};
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
