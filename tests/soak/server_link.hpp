#ifndef CAPERPATH_TESTS_SOAK_SERVER_LINK_HPP
#define CAPERPATH_TESTS_SOAK_SERVER_LINK_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace caperpath::soak
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// How a network path fails.
enum class link_fault
{
    refuse,  ///< open connections live on, new ones are refused
    reset,   ///< open connections are reset, new ones are refused
    silent,  ///< nothing is delivered, new connections get no response
    one_way, ///< the same, but open connections still carry requests
    /// As `silent`, and packets of the router get no acknowledgement.
    unreachable,
};

/// The bandwidth that all links of one router share, in each direction. What
/// comes while others use it waits behind their bytes. Loop thread only.
struct link_bandwidth
{
    double bytes_per_ms{};
    /// When the bytes that came before are delivered.
    std::chrono::steady_clock::time_point requests_free;
    std::chrono::steady_clock::time_point responses_free;
};

/// A proxy for the connections of one router to one server, which can be cut.
/// Loop thread only; must outlive the loop's last run.
class server_link
{
public:
    /// Without `bandwidth` bytes are delivered at once.
    server_link(asio::io_context& loop, std::string const& server,
                std::shared_ptr<link_bandwidth> bandwidth = nullptr);
    server_link(server_link const&) = delete;
    server_link& operator=(server_link const&) = delete;

    std::string address() const;

    /// @pre it is not cut.
    void cut(link_fault how);

    /// @pre it is cut.
    void restore();

    bool is_cut() const;

private:
    struct direction
    {
        explicit direction(asio::io_context& loop) : socket{loop}, timer{loop}
        {
        }

        tcp::socket socket; ///< read by this direction
        asio::steady_timer timer;
        std::array<char, 65'536> buffer{};
    };
    struct connection
    {
        explicit connection(asio::io_context& loop)
            : requests{loop}, responses{loop}
        {
        }

        direction requests;  ///< from the router
        direction responses; ///< from the server
    };
    using connection_ptr = std::shared_ptr<connection>;

    void listen(int backlog);
    void fill_backlog();
    void drop_all_packets();
    void accept();
    void begin(connection_ptr const& both);
    void read(connection_ptr const& both, bool responses);
    void deliver(connection_ptr const& both, bool responses,
                 boost::system::error_code fault, std::size_t size);
    bool blocks(bool responses) const;
    void write(connection_ptr const& both, bool responses, std::size_t size);
    std::chrono::steady_clock::time_point free_at(bool responses,
                                                  std::size_t size);

    asio::io_context& loop;
    tcp::endpoint server;
    std::shared_ptr<link_bandwidth> bandwidth;
    /// Bound but not listening, so that no other socket can take the port while
    /// the link refuses connections.
    tcp::acceptor reserved;
    tcp::endpoint local;
    tcp::acceptor acceptor;
    int generation{}; ///< of the acceptor
    bool cut_now{false};
    link_fault fault{link_fault::refuse};
    std::vector<std::weak_ptr<connection>> open;
    std::vector<std::unique_ptr<tcp::socket>> fillers;
    asio::steady_timer settled; ///< acknowledgements have arrived
};

} // namespace caperpath::soak

#endif
