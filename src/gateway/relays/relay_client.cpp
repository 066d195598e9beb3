#include "gateway/relays/relay_client.hpp"

#include "gateway/run_after.hpp"
#include "gateway/servers/timed_connect.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Routers accept a connection within milliseconds, also busy ones.
constexpr duration relay_connect_timeout{150};
/// More than a relay needs for a connect without a response and a second one,
/// which proves its other paths.
constexpr duration reply_timeout{600};
constexpr std::size_t most_asked = 8;

} // namespace

relay_client::relay_client(asio::any_io_executor const& executor,
                           std::string self, decision_log& log)
    : executor{executor}, self{std::move(self)}, log{log}
{
}

void relay_client::set_routers(std::vector<std::string> const& addresses)
{
    auto others = addresses;
    std::erase(others, this->self);
    fleet::set_relays(*this->table, others, this->now.now());
}

bool relay_client::has_relays() const
{
    return !this->table->open.empty();
}

std::shared_ptr<void> relay_client::count_use(std::string const& address)
{
    this->table->open[address] += 1;
    return {nullptr, [counted = this->table, address](void*)
            {
                auto const found = counted->open.find(address);
                if (found != counted->open.end() && found->second > 0)
                {
                    found->second -= 1;
                }
            }};
}

void relay_client::avoid(std::string const& address, service_id const& service,
                         std::optional<relay_reply> const& why)
{
    auto const all_services = !why || why->outcome == relay_outcome::busy ||
                              why->outcome == relay_outcome::stopping;
    fleet::avoid_relay(*this->table, address,
                       all_services ? service_id{} : service, this->now.now());
    this->log.write(
        log_weight::routine, "relay_avoided",
        {{"relay", address},
         {"service", service.value},
         {"reason", std::string{why ? to_text(why->outcome) : "no_reply"}}});
}

asio::awaitable<relayed_connection>
relay_client::connect(relay_request const& request, service_id const& service)
{
    relayed_connection result;
    std::vector<std::string> tried;
    auto const until = this->now.now() + relay_limit;
    while (tried.size() < most_asked && this->now.now() < until)
    {
        auto const address = fleet::choose_relay(
            *this->table, service, this->self, tried, this->now.now());
        if (!address)
        {
            break;
        }
        result.any_asked = true;
        tried.push_back(*address);
        auto use = this->count_use(*address);
        auto const got = co_await this->ask(*address, request, until);
        if (!got.message)
        {
            this->avoid(*address, service, got.message);
            continue;
        }
        switch (got.message->outcome)
        {
        case relay_outcome::connected:
            result.link = got.link;
            result.relay = *address;
            result.use = std::move(use);
            co_return result;
        case relay_outcome::refused:
        case relay_outcome::silent:
            if (got.message->proven)
            {
                result.server_failure = got.message->outcome;
                co_return result;
            }
            this->avoid(*address, service, got.message);
            break;
        case relay_outcome::unknown_server:
            break;
        case relay_outcome::cut_off:
        case relay_outcome::busy:
        case relay_outcome::stopping:
            this->avoid(*address, service, got.message);
            break;
        }
    }
    co_return result;
}

asio::awaitable<relay_client::reply>
relay_client::ask(std::string const& address, relay_request const& request,
                  instant until)
{
    reply got;
    auto const began = this->now.now();
    auto const limit = std::min(relay_connect_timeout, until - began);
    auto const connected =
        co_await timed_connect(this->executor, address, limit);
    if (!connected.link)
    {
        co_return got;
    }
    connected.link->send(encode(request));
    auto const reply_due = std::min(until, began + reply_timeout);
    got.message = co_await this->read_reply(*connected.link, reply_due);
    connected.link->set_waker(nullptr);
    auto const is_open =
        got.message && got.message->outcome == relay_outcome::connected;
    if (!is_open || request.probe_only)
    {
        connected.link->close();
    }
    got.link = connected.link;
    co_return got;
}

asio::awaitable<std::optional<relay_reply>>
relay_client::read_reply(connection& link, instant until)
{
    auto const wakeup = std::make_shared<waker>(this->executor);
    link.set_waker(wakeup);
    while (this->now.now() < until)
    {
        auto const taken =
            value_or_error([&] { return take_relay_reply(link.input()); });
        if (auto const* fault = std::get_if<error>(&taken))
        {
            this->log.write_error(*fault);
            co_return std::nullopt;
        }
        auto const& message = std::get<std::optional<relay_reply>>(taken);
        if (message || link.end() != peer_end::open)
        {
            link.resume();
            co_return message;
        }
        auto const left = until - this->now.now();
        static_cast<void>(co_await wakeup->wait(
            std::chrono::steady_clock::now() + to_chrono(left)));
    }
    co_return std::nullopt;
}

} // namespace caperpath::gateway
