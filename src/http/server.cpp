#include "http/server.hpp"

#include "http/socket_stream.hpp"
#include "http/worker_pool.hpp"

#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace caperpath::http
{

namespace
{

// cpp-httplib listens with a short backlog. When many callers connect at once
// the kernel drops the rest, and they come back after a second: a caller sees a
// first token that is late by just that.
constexpr int listen_backlog = 1'024;

class connection_queue : public httplib::TaskQueue
{
public:
    explicit connection_queue(std::size_t max_threads) : workers{max_threads}
    {
    }

    void enqueue(std::function<void()> task) override
    {
        this->workers.enqueue(std::move(task));
    }

    void shutdown() override
    {
        this->workers.shutdown();
    }

private:
    worker_pool workers;
};

// Connections that are established and not accepted; 0 when unknown.
unsigned waiting_connections(int listener)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    bool const known =
        getsockopt(listener, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    // Of a listening socket this is the length of its accept queue.
    return known ? info.tcpi_unacked : 0;
}

std::chrono::milliseconds to_chrono(duration span)
{
    return std::chrono::milliseconds{span.ms};
}

} // namespace

server::server(server_options options) : options{options}
{
    auto const max_threads = options.max_threads;
    this->new_task_queue = [max_threads]
    {
        return new connection_queue(max_threads);
    };
    // cpp-httplib sets SO_REUSEPORT by default: two processes could listen on
    // one port, each getting some of the callers, and neither would notice. A
    // router that has bound its address takes that as proof that the process
    // before it is dead, and takes back that one's share of the budgets.
    this->set_socket_options(
        [](socket_t socket)
        {
            int const on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        });
    this->set_payload_max_length(options.max_body_bytes);
    this->set_read_timeout(to_chrono(options.read_timeout));
    this->set_write_timeout(to_chrono(options.write_timeout));
    this->set_tcp_nodelay(true);
}

server::~server()
{
    this->finish();
}

int server::bind(std::string const& address)
{
    auto const where = parse_endpoint(address);
    int port = where.port;
    if (port == 0)
    {
        port = this->bind_to_any_port(where.host);
    }
    else if (!this->bind_to_port(where.host, port))
    {
        port = -1;
    }
    if (port < 0)
    {
        return -1;
    }
    ::listen(this->svr_sock_, listen_backlog);
    return port;
}

void server::serve()
{
    this->acceptor = std::thread{[this]
                                 {
                                     this->listen_after_bind();
                                 }};
}

int server::start(std::string const& address)
{
    int const port = this->bind(address);
    if (port >= 0)
    {
        this->serve();
    }
    return port;
}

void server::finish()
{
    if (!this->acceptor.joinable())
    {
        return;
    }
    this->finishing = true;
    // cpp-httplib's own `stop` also makes it leave out every body that is not
    // begun yet. Ending only the accept loop lets open requests get theirs.
    this->end_accepting();
    this->acceptor.join();
}

// Closing a listening socket resets the connections that were established and
// not accepted.
void server::end_accepting() const
{
    constexpr int most_looks = 500;
    constexpr std::chrono::milliseconds between_looks{1};
    for (int looks = 0;
         looks < most_looks && waiting_connections(this->svr_sock_) > 0;
         ++looks)
    {
        std::this_thread::sleep_for(between_looks);
    }
    ::shutdown(this->svr_sock_, SHUT_RDWR);
}

// Waits for the next request on a connection that is kept; looks up now and
// then, so that a stop does not wait out the whole time.
bool server::next_request(socket_t socket) const
{
    constexpr duration look{100};
    for (duration waited; waited < this->options.keep_alive;
         waited = waited + look)
    {
        if (wait_readable(socket, look))
        {
            return true;
        }
        if (this->finishing)
        {
            // It may have come since.
            return wait_readable(socket, {});
        }
    }
    return false;
}

bool server::process_and_close_socket(socket_t socket)
{
    bool served = true;
    bool closed = false;
    socket_stream stream{socket, this->options.read_timeout,
                         this->options.write_timeout};
    while (served && !closed &&
           (stream.has_buffered() || this->next_request(socket)))
    {
        bool const last = this->finishing;
        served = this->process_request(stream, last, closed, nullptr);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return served;
}

void set_body(httplib::Response& response, std::string body,
              std::string const& content_type)
{
    if (body.empty())
    {
        response.set_content("", content_type);
        return;
    }
    auto const kept = std::make_shared<std::string const>(std::move(body));
    response.set_content_provider(
        kept->size(), content_type,
        [kept](std::size_t offset, std::size_t length, httplib::DataSink& sink)
        { return sink.write(kept->data() + offset, length); });
}

endpoint parse_endpoint(std::string const& address)
{
    auto const colon = address.rfind(':');
    return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

} // namespace caperpath::http
