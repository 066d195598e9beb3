#ifndef CAPERPATH_TESTS_HTTP_RAW_SERVER_HPP
#define CAPERPATH_TESTS_HTTP_RAW_SERVER_HPP

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
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
        reset,
        early, ///< ends its output before it has read the body of the request
        keep   ///< waits for the next request
    };

    explicit raw_server(std::string bytes)
        : raw_server{std::vector{std::move(bytes)}, ending::close}
    {
    }

    /// @pre nothing listens on `port`; 0: any free one.
    raw_server(std::vector<std::string> pieces, ending end, int port = 0)
        : pieces{std::move(pieces)}, end{end}, listener{::socket(
                                                   AF_INET, SOCK_STREAM, 0)}
    {
        int const on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (end == ending::early)
        {
            int const small = 4'096;
            setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &small,
                       sizeof(small));
        }
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_port = htons(static_cast<std::uint16_t>(port));
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
            while (this->respond(caller) && this->end == ending::keep)
            {
            }
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

    /// Returns false if the connection ended before a request.
    bool respond(int caller) const
    {
        constexpr std::chrono::milliseconds pause{20};
        std::string request;
        std::array<char, 4'096> read{};
        auto const is_enough = [this](std::string const& got)
        {
            return this->end == ending::early ? !got.empty() : is_complete(got);
        };
        // Unread bytes would make the close a reset.
        while (!is_enough(request))
        {
            auto const got = recv(caller, read.data(), read.size(), 0);
            if (got <= 0)
            {
                return false;
            }
            request.append(read.data(), static_cast<std::size_t>(got));
        }
        for (auto const& piece : this->pieces)
        {
            ::send(caller, piece.data(), piece.size(), MSG_NOSIGNAL);
            std::this_thread::sleep_for(pause);
        }
        if (this->end == ending::early)
        {
            shutdown(caller, SHUT_WR);
            std::this_thread::sleep_for(pause * 10);
        }
        return true;
    }

    std::vector<std::string> pieces;
    ending end;
    int listener;
    int port{};
    std::thread thread;
};

} // namespace caperpath

#endif
