#ifndef CAPERPATH_TESTS_HTTP_RAW_SERVER_HPP
#define CAPERPATH_TESTS_HTTP_RAW_SERVER_HPP

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace caperpath
{

/// A server that responds to the head of each request with the same bytes, in
/// pieces with pauses, and ends the connection.
class raw_server
{
public:
    enum class ending
    {
        close,
        reset
    };

    explicit raw_server(std::string bytes)
        : raw_server{std::vector{std::move(bytes)}, ending::close}
    {
    }

    raw_server(std::vector<std::string> pieces, ending end)
        : pieces{std::move(pieces)}, end{end}, listener{::socket(
                                                   AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(local);
        CPPUNIT_ASSERT_EQUAL(
            0, bind(this->listener, reinterpret_cast<sockaddr*>(&local), size));
        CPPUNIT_ASSERT_EQUAL(0, listen(this->listener, SOMAXCONN));
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&local), &size);
        this->port = ntohs(local.sin_port);
        this->thread = std::thread{[this]
                                   {
                                       this->run();
                                   }};
    }

    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;

    ~raw_server()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        close(this->listener);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

private:
    void run() const
    {
        for (int caller = accept(this->listener, nullptr, nullptr); caller >= 0;
             caller = accept(this->listener, nullptr, nullptr))
        {
            this->respond(caller);
            linger const how{this->end == ending::reset ? 1 : 0, 0};
            setsockopt(caller, SOL_SOCKET, SO_LINGER, &how, sizeof(how));
            close(caller);
        }
    }

    static bool is_complete(std::string const& request)
    {
        std::string const name = "Content-Length: ";
        auto const head_end = request.find("\r\n\r\n");
        auto const at = request.find(name);
        if (head_end == std::string::npos)
        {
            return false;
        }
        auto const length =
            at < head_end ? std::stoul(request.substr(at + name.size())) : 0;
        return request.size() >= head_end + 4 + length;
    }

    void respond(int caller) const
    {
        constexpr std::chrono::milliseconds pause{20};
        std::string request;
        std::array<char, 4'096> read{};
        // Unread bytes would make the close a reset.
        while (!is_complete(request))
        {
            auto const got = recv(caller, read.data(), read.size(), 0);
            if (got <= 0)
            {
                return;
            }
            request.append(read.data(), static_cast<std::size_t>(got));
        }
        for (auto const& piece : this->pieces)
        {
            ::send(caller, piece.data(), piece.size(), MSG_NOSIGNAL);
            std::this_thread::sleep_for(pause);
        }
    }

    std::vector<std::string> pieces;
    ending end;
    int listener;
    int port{};
    std::thread thread;
};

} // namespace caperpath

#endif
