#include "gateway/connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <chrono>
#include <memory>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// How the end of a connection is told: in order, or by a reset.
class connection_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_end_test);
    CPPUNIT_TEST(an_end_in_order_is_finished);
    CPPUNIT_TEST(a_reset_that_a_write_noticed_is_not_an_end_in_order);
    CPPUNIT_TEST(a_reset_after_the_end_is_noticed);
    CPPUNIT_TEST(a_write_that_fails_after_the_end_is_noticed);
    CPPUNIT_TEST_SUITE_END();

    /// A connection and the socket of its peer.
    struct pair
    {
        pair()
        {
            tcp::acceptor acceptor{this->loop,
                                   {asio::ip::make_address("127.0.0.1"), 0}};
            this->near.connect(acceptor.local_endpoint());
            acceptor.accept(this->peer);
        }

        void reset_by_peer()
        {
            this->peer.set_option(asio::socket_base::linger{true, 0});
            this->peer.close();
        }

        void start()
        {
            this->link = std::make_shared<connection>(
                std::move(this->near), std::chrono::milliseconds{1'000});
            this->link->start();
        }

        void run()
        {
            this->loop.run_for(std::chrono::milliseconds{50});
            this->loop.restart();
        }

        ~pair()
        {
            if (this->link)
            {
                this->link->close();
            }
            this->run();
        }

        asio::io_context loop;
        tcp::socket near{this->loop};
        tcp::socket peer{this->loop};
        connection_ptr link;
    };

    // Guards against an error for a response that ends with its connection.
    void an_end_in_order_is_finished()
    {
        pair here;
        asio::write(here.peer, asio::buffer(std::string{"whole"}));
        here.peer.close();
        here.start();
        here.run();
        CPPUNIT_ASSERT(here.link->end() == peer_end::finished);
        CPPUNIT_ASSERT(!here.link->was_reset());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, here.link->input().size());
    }

    // The kernel reports a reset once, to whichever call comes first; a read
    // after that finds the end of the stream. Guards against a part of a
    // response that looks complete because a write took the report.
    void a_reset_that_a_write_noticed_is_not_an_end_in_order()
    {
        pair here;
        asio::write(here.peer, asio::buffer(std::string{"part"}));
        here.reset_by_peer();
        char const byte{};
        CPPUNIT_ASSERT_EQUAL(ssize_t{-1}, send(here.near.native_handle(), &byte,
                                               1, MSG_NOSIGNAL));
        here.start();
        here.run();
        CPPUNIT_ASSERT(here.link->end() == peer_end::broken);
        CPPUNIT_ASSERT(here.link->was_reset());
    }

    // A peer that still has unread input ends its connection in order, and then
    // resets it. Guards against taking only the first end into account.
    void a_reset_after_the_end_is_noticed()
    {
        pair here;
        here.start();
        here.peer.shutdown(tcp::socket::shutdown_send);
        here.run();
        CPPUNIT_ASSERT(here.link->end() == peer_end::finished);
        CPPUNIT_ASSERT(!here.link->was_reset());
        here.reset_by_peer();
        here.run();
        CPPUNIT_ASSERT(here.link->was_reset());
    }

    // The same while bytes are being sent.
    void a_write_that_fails_after_the_end_is_noticed()
    {
        constexpr std::size_t more_than_the_kernel_takes = 32U * 1024 * 1024;
        pair here;
        here.start();
        here.link->send(std::string(more_than_the_kernel_takes, 'x'));
        here.peer.shutdown(tcp::socket::shutdown_send);
        here.run();
        CPPUNIT_ASSERT(here.link->end() == peer_end::finished);
        here.reset_by_peer();
        here.run();
        CPPUNIT_ASSERT(here.link->end() == peer_end::broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_end_test);
