#include "http/server.hpp"
#include "router/caller.hpp"
#include "router/site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

using namespace caperpath;
using namespace caperpath::tests;

namespace
{

// A connection on which a test can send arbitrary bytes.
class raw_caller
{
public:
    explicit raw_caller(std::string const& address)
        : socket{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        auto const where = http::parse_endpoint(address);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(where.port));
        inet_pton(AF_INET, where.host.c_str(), &peer.sin_addr);
        CPPUNIT_ASSERT_EQUAL(0, connect(this->socket,
                                        reinterpret_cast<sockaddr*>(&peer),
                                        sizeof(peer)));
    }

    ~raw_caller()
    {
        close(this->socket);
    }

    raw_caller(raw_caller const&) = delete;
    raw_caller& operator=(raw_caller const&) = delete;

    void send(std::string const& bytes) const
    {
        ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    void half_close() const
    {
        shutdown(this->socket, SHUT_WR);
    }

    // Reads until the router closes the connection.
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

std::string chat_text(std::string const& key, std::string const& headers)
{
    std::string const body =
        R"({"model":"asistente","messages":[{"role":"user","content":"x"}]})";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
           "Connection: close\r\nAuthorization: Bearer " +
           key + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class sender_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sender_test);
    CPPUNIT_TEST(slow_sender_is_disconnected_and_not_billed);
    CPPUNIT_TEST(half_closed_sender_gets_its_response);
    CPPUNIT_TEST(headers_cannot_be_injected);
    CPPUNIT_TEST(malformed_bytes_affect_no_other_caller);
    CPPUNIT_TEST_SUITE_END();

    // A client sends half a request and stops. Guards against a thread that is
    // never released; other callers are served in the meantime.
    void slow_sender_is_disconnected_and_not_billed()
    {
        site here;
        raw_caller const head{here.router_address(0)};
        head.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConte");
        raw_caller const body{here.router_address(0)};
        auto const whole = chat_text(here.key(), "");
        body.send(whole.substr(0, whole.size() - 5));
        CPPUNIT_ASSERT_EQUAL(
            200, chat(here.router_address(0), here.key(), "meanwhile").status);
        head.read_all();
        auto const response = body.read_all();
        CPPUNIT_ASSERT(response.empty() || response.starts_with("HTTP/1.1 4"));
        CPPUNIT_ASSERT(here.wait_for_bills(1));
    }

    // Some clients close their sending side after the request. Guards against
    // treating them as disconnected.
    void half_closed_sender_gets_its_response()
    {
        site here;
        raw_caller const caller{here.router_address(0)};
        caller.send(chat_text(here.key(), ""));
        caller.half_close();
        auto const response = caller.read_all();
        CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(here.wait_for_bills(1));
    }

    // A caller hides a line break in a value that the router forwards. Guards
    // against a header of the caller's choice in the engine's request.
    void headers_cannot_be_injected()
    {
        site here;
        for (std::string const header : {"Idempotency-Key: a\x0b"
                                         "b\r\n",
                                         "Idempotency-Key: a%0d%0aX: y z\r\n",
                                         "Idempotency-Key: a\tb\r\n"})
        {
            raw_caller const caller{here.router_address(0)};
            caller.send(chat_text(here.key(), header));
            auto const response = caller.read_all();
            CPPUNIT_ASSERT_MESSAGE(response,
                                   response.starts_with("HTTP/1.1 400"));
            CPPUNIT_ASSERT(response.find("Idempotency-Key") !=
                           std::string::npos);
        }
        raw_caller const trace{here.router_address(0)};
        trace.send(chat_text(here.key(), "traceparent: 00-zz\rX: y\r\n"));
        auto const response = trace.read_all();
        CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200") ||
                       response.starts_with("HTTP/1.1 400"));
    }

    void malformed_bytes_affect_no_other_caller()
    {
        site here;
        for (std::string const& bytes :
             {std::string{"\x16\x03\x01\x02"}, std::string(20'000, 'x'),
              std::string{"GET / HTTP/9.9\r\n\r\n"},
              std::string{"POST /v1/chat/completions HTTP/1.1\r\n"
                          "Content-Length: 99999999999999999999\r\n\r\n"},
              std::string{"POST /v1/chat/completions HTTP/1.1\r\n"
                          "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}})
        {
            raw_caller const caller{here.router_address(0)};
            caller.send(bytes);
            caller.half_close();
            auto const response = caller.read_all();
            CPPUNIT_ASSERT(response.empty() ||
                           response.starts_with("HTTP/1.1 4"));
        }
        CPPUNIT_ASSERT_EQUAL(
            200, chat(here.router_address(0), here.key(), "still here").status);
        CPPUNIT_ASSERT(here.wait_for_bills(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sender_test);
