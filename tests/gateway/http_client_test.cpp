#include "gateway/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace caperpath;
using namespace caperpath::gateway;

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(keepalive_probes_detect_silence_in_time);
    CPPUNIT_TEST(keepalive_probes_can_be_disabled);
    CPPUNIT_TEST_SUITE_END();

    struct scenario
    {
        scenario()
        {
            this->socket.open(asio::ip::tcp::v4());
        }

        int option(int level, int name)
        {
            int value{};
            socklen_t size = sizeof value;
            CPPUNIT_ASSERT_EQUAL(0, getsockopt(this->socket.native_handle(),
                                               level, name, &value, &size));
            return value;
        }

        asio::io_context loop;
        asio::ip::tcp::socket socket{loop};
    };

    // Guards against a long poll on a connection that went silent: changes in
    // the store would be missed for as long as the call is held.
    void keepalive_probes_detect_silence_in_time()
    {
        scenario here;
        set_keepalive_probes(here.socket, true);
        CPPUNIT_ASSERT_EQUAL(1, here.option(SOL_SOCKET, SO_KEEPALIVE));
        auto const detected_s = here.option(IPPROTO_TCP, TCP_KEEPIDLE) +
                                here.option(IPPROTO_TCP, TCP_KEEPINTVL) *
                                    here.option(IPPROTO_TCP, TCP_KEEPCNT);
        CPPUNIT_ASSERT(duration{detected_s * 1'000} <= duration{2'000});
    }

    // Guards against idle connections that end with each lost packet.
    void keepalive_probes_can_be_disabled()
    {
        scenario here;
        set_keepalive_probes(here.socket, true);
        set_keepalive_probes(here.socket, false);
        CPPUNIT_ASSERT_EQUAL(0, here.option(SOL_SOCKET, SO_KEEPALIVE));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);
