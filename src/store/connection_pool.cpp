#include "store/connection_pool.hpp"

#include "http/message_framing.hpp"
#include "http/server.hpp"

#include <chrono>
#include <utility>

namespace caperpath::store
{

namespace
{

// httplib reports these two errors before it has written a byte. It checks a
// kept connection once, reconnects if that is closed, and writes the request
// only once; after any other error the request may have reached the platform.
bool never_sent(httplib::Error fault)
{
    return fault == httplib::Error::Connection ||
           fault == httplib::Error::ConnectionTimeout;
}

} // namespace

connection_pool::connection_pool(http_port_options options)
    : options{std::move(options)}
{
}

std::string const& connection_pool::peer() const
{
    return this->options.address;
}

exchange connection_pool::send(httplib::Request request)
{
    auto client = this->take();
    auto const deadline = this->now.now() + this->options.read_timeout;
    // The read timeout restarts with each received piece, so without this
    // deadline a peer that sends its response slowly could block the caller
    // indefinitely.
    request.progress = [this, deadline](std::uint64_t, std::uint64_t)
    {
        return this->now.now() < deadline;
    };
    httplib::Response response;
    auto fault = httplib::Error::Success;
    auto const sent = client->send(request, response, fault);
    auto const malformed =
        sent ? http::find_response_fault(response) : std::nullopt;
    if (sent && !malformed)
    {
        this->give_back(std::move(client));
        return {exchange_state::complete, response.status,
                std::move(response.body), ""};
    }
    this->drop_idle();
    auto const state =
        never_sent(fault) ? exchange_state::unsent : exchange_state::lost;
    return {state, 0, "",
            "http exchange: " + (malformed ? std::string{*malformed}
                                           : httplib::to_string(fault))};
}

std::unique_ptr<httplib::Client> connection_pool::take()
{
    std::lock_guard const lock{this->mutex};
    while (!this->idle.empty())
    {
        auto last = std::move(this->idle.back());
        this->idle.pop_back();
        if (this->now.now() - last.since <= this->options.max_idle)
        {
            return std::move(last.client);
        }
    }
    return this->make();
}

void connection_pool::give_back(std::unique_ptr<httplib::Client> client)
{
    std::lock_guard const lock{this->mutex};
    if (this->idle.size() < this->options.max_idle_connections)
    {
        this->idle.push_back({std::move(client), this->now.now()});
    }
}

// Drops all idle connections after a failed exchange: its cause (a restart of
// the platform, a device on the path that lost its state) probably broke them
// too. Otherwise each of them would cost one more call its full timeout.
void connection_pool::drop_idle()
{
    std::lock_guard const lock{this->mutex};
    this->idle.clear();
}

std::unique_ptr<httplib::Client> connection_pool::make() const
{
    using std::chrono::milliseconds;
    auto const where = http::parse_endpoint(this->options.address);
    auto client = std::make_unique<httplib::Client>(where.host, where.port);
    client->set_connection_timeout(
        milliseconds{this->options.connect_timeout.ms});
    client->set_read_timeout(milliseconds{this->options.read_timeout.ms});
    client->set_write_timeout(milliseconds{this->options.read_timeout.ms});
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    // Following a redirect or an authentication challenge would send a write
    // twice.
    client->set_follow_location(false);
    return client;
}

} // namespace caperpath::store
