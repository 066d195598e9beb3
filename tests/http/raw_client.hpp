#ifndef CAPERPATH_TESTS_HTTP_RAW_CLIENT_HPP
#define CAPERPATH_TESTS_HTTP_RAW_CLIENT_HPP

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <utility>

namespace caperpath
{

/// A connection on which a test sends arbitrary bytes.
class raw_client
{
public:
    explicit raw_client(int port) : socket{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(port));
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(0, connect(this->socket,
                                        reinterpret_cast<sockaddr*>(&peer),
                                        sizeof(peer)));
    }

    raw_client(raw_client&& other) noexcept
        : socket{std::exchange(other.socket, -1)}
    {
    }

    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;
    raw_client& operator=(raw_client&&) = delete;

    ~raw_client()
    {
        if (this->socket >= 0)
        {
            close(this->socket);
        }
    }

    void send(std::string const& bytes) const
    {
        ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    std::string read_all() const
    {
        std::string all;
        std::array<char, 4096> piece{};
        ssize_t got = 0;
        while ((got = recv(this->socket, piece.data(), piece.size(), 0)) > 0)
        {
            all.append(piece.data(), static_cast<std::size_t>(got));
        }
        return all;
    }

private:
    int socket;
};

} // namespace caperpath

#endif
