#include "soak/server_link.hpp"

#include "soak/packet_filter.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperpath::soak
{

namespace
{

constexpr int usual_backlog = 128;
constexpr int more_than_no_backlog = 4;
constexpr std::chrono::milliseconds poll_interval{10};
/// A peer delays acknowledgements by less than this.
constexpr std::chrono::milliseconds acknowledgement_time{100};
/// With limited bandwidth: small, so that the sender notices the limit.
constexpr int window_bytes = 65'536;

tcp::endpoint endpoint_of(std::string const& address)
{
    auto const colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

void reset(tcp::socket& socket)
{
    boost::system::error_code ignored; // it may be closed already
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

server_link::server_link(asio::io_context& loop, std::string const& server,
                         std::shared_ptr<link_bandwidth> bandwidth)
    : loop{loop}, server{endpoint_of(server)}, bandwidth{std::move(bandwidth)},
      reserved{loop, tcp::v4()}, acceptor{loop}, settled{loop}
{
    this->reserved.set_option(tcp::acceptor::reuse_address{true});
    this->reserved.bind({asio::ip::make_address("127.0.0.1"), 0});
    this->local = this->reserved.local_endpoint();
    this->listen(usual_backlog);
    this->accept();
}

std::string server_link::address() const
{
    return "127.0.0.1:" + std::to_string(this->local.port());
}

bool server_link::is_cut() const
{
    return this->cut_now;
}

void server_link::listen(int backlog)
{
    this->acceptor.open(tcp::v4());
    this->acceptor.set_option(tcp::acceptor::reuse_address{true});
    this->acceptor.bind(this->local);
    this->acceptor.listen(backlog);
}

/// Further connects get no response, because the accept queue is full.
void server_link::fill_backlog()
{
    for (int i = 0; i < more_than_no_backlog; ++i)
    {
        auto& one = *this->fillers.emplace_back(
            std::make_unique<tcp::socket>(this->loop));
        one.async_connect(this->local, [](auto const&) {});
    }
}

/// Not before what was delivered is acknowledged: retransmissions would show
/// the router that its peer lives.
void server_link::drop_all_packets()
{
    this->settled.expires_after(acknowledgement_time);
    this->settled.async_wait(
        [this](boost::system::error_code cancelled)
        {
            for (auto const& each : this->open)
            {
                auto const both = each.lock();
                if (!cancelled && this->cut_now && both)
                {
                    drop_packets(both->requests.socket);
                }
            }
        });
}

void server_link::cut(link_fault how)
{
    this->cut_now = true;
    this->fault = how;
    this->generation += 1;
    this->acceptor.close();
    auto const refuses = how == link_fault::refuse || how == link_fault::reset;
    if (!refuses)
    {
        this->listen(0);
        this->fill_backlog();
    }
    for (auto const& each : std::exchange(this->open, {}))
    {
        auto const both = each.lock();
        if (both && how == link_fault::reset)
        {
            reset(both->requests.socket);
            reset(both->responses.socket);
        }
        else if (both)
        {
            this->open.push_back(both);
        }
    }
    if (how == link_fault::unreachable)
    {
        this->drop_all_packets();
    }
}

void server_link::restore()
{
    this->cut_now = false;
    this->generation += 1;
    this->settled.cancel();
    for (auto const& each : this->open)
    {
        if (auto const both = each.lock())
        {
            take_packets(both->requests.socket);
        }
    }
    for (auto const& each : this->fillers)
    {
        reset(*each);
    }
    this->fillers.clear();
    this->acceptor.close();
    this->listen(usual_backlog);
    this->accept();
}

void server_link::accept()
{
    auto const both = std::make_shared<connection>(this->loop);
    this->acceptor.async_accept(
        both->requests.socket,
        [this, both,
         accepted_by = this->generation](boost::system::error_code fault)
        {
            if (fault || this->generation != accepted_by)
            {
                return;
            }
            this->begin(both);
            this->accept();
        });
}

void server_link::begin(connection_ptr const& both)
{
    if (this->bandwidth)
    {
        asio::socket_base::receive_buffer_size const window{window_bytes};
        both->requests.socket.set_option(window);
        both->responses.socket.open(tcp::v4());
        both->responses.socket.set_option(window);
    }
    std::erase_if(this->open, [](auto const& each) { return each.expired(); });
    this->open.push_back(both);
    both->responses.socket.async_connect(
        this->server,
        [this, both](boost::system::error_code fault)
        {
            if (fault)
            {
                reset(both->requests.socket);
                return;
            }
            this->read(both, false);
            this->read(both, true);
        });
}

bool server_link::blocks(bool responses) const
{
    return this->cut_now && (this->fault == link_fault::silent ||
                             this->fault == link_fault::unreachable ||
                             (this->fault == link_fault::one_way && responses));
}

void server_link::read(connection_ptr const& both, bool responses)
{
    auto& from = responses ? both->responses : both->requests;
    from.socket.async_read_some(
        asio::buffer(from.buffer),
        [this, both, responses](boost::system::error_code fault,
                                std::size_t size)
        { this->deliver(both, responses, fault, size); });
}

void server_link::deliver(connection_ptr const& both, bool responses,
                          boost::system::error_code fault, std::size_t size)
{
    auto& from = responses ? both->responses : both->requests;
    auto& to = responses ? both->requests.socket : both->responses.socket;
    if (this->blocks(responses))
    {
        from.timer.expires_after(poll_interval);
        from.timer.async_wait([this, both, responses, fault, size](auto const&)
                              { this->deliver(both, responses, fault, size); });
        return;
    }
    if (fault == asio::error::eof)
    {
        boost::system::error_code ignored; // `to` may be closed already
        to.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    if (fault)
    {
        reset(to);
        return;
    }
    if (!this->bandwidth)
    {
        this->write(both, responses, size);
        return;
    }
    from.timer.expires_at(this->free_at(responses, size));
    from.timer.async_wait([this, both, responses, size](auto const&)
                          { this->write(both, responses, size); });
}

/// When `size` more bytes have passed the link.
std::chrono::steady_clock::time_point server_link::free_at(bool responses,
                                                           std::size_t size)
{
    auto& limit = *this->bandwidth;
    auto& free = responses ? limit.responses_free : limit.requests_free;
    std::chrono::duration<double, std::milli> const span{
        static_cast<double>(size) / limit.bytes_per_ms};
    free =
        std::max(free, std::chrono::steady_clock::now()) +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(span);
    return free;
}

void server_link::write(connection_ptr const& both, bool responses,
                        std::size_t size)
{
    auto& from = responses ? both->responses : both->requests;
    auto& to = responses ? both->requests.socket : both->responses.socket;
    asio::async_write(
        to, asio::buffer(from.buffer, size),
        [this, both, responses, &from](boost::system::error_code unsent, auto)
        {
            if (unsent)
            {
                reset(from.socket);
                return;
            }
            this->read(both, responses);
        });
}

} // namespace caperpath::soak
