#include "gateway/requests/stream_version_exchange.hpp"
#include "gateway/store_site.hpp"

#include <boost/asio/co_spawn.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// A router whose list of servers lacks a version at which streams began at
/// other routers, and to which callers come with such a stream.
class out_of_step_router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(out_of_step_router_test);
    CPPUNIT_TEST(a_router_without_any_path_knows_no_version);
    CPPUNIT_TEST(a_minority_of_routers_knows_no_version);
    CPPUNIT_TEST(most_routers_together_know_the_only_version);
    CPPUNIT_TEST(one_router_that_saw_another_version_is_believed);
    CPPUNIT_TEST(the_only_router_knows_the_only_version);
    CPPUNIT_TEST(the_row_of_the_store_decides_if_it_can_be_read);
    CPPUNIT_TEST_SUITE_END();

    /// A router that has seen the version v1 alone for longer than streams
    /// last. Its store is away; other routers reply with their only version.
    struct scenario
    {
        scenario()
        {
            this->here.store.reachable = false;
            this->note_servers();
            this->skipped = fleet::stream_lifetime + duration{1'000};
            this->note_servers();
        }

        void note_servers()
        {
            fleet::server one;
            one.entry.id = {"i-1"};
            one.entry.service = {"llm"};
            one.entry.version = "v1";
            this->table.servers[one.entry.id] = one;
            this->table.store_reachable = true;
            this->exchange.note_servers(this->table);
        }

        /// Another router, which replies if it has a version to report.
        void add_router(std::string const& address,
                        std::optional<std::string> const& only_version)
        {
            this->others[address] = only_version;
            std::vector<std::string> addresses;
            for (auto const& [each, version] : this->others)
            {
                addresses.push_back(each);
            }
            this->exchange.set_routers(addresses);
        }

        void deliver(std::string const& to, std::string const& bytes)
        {
            auto const version = this->others.at(to);
            auto const decoded = value_or_error(
                [&bytes] { return decode_stream_packet(bytes); });
            auto const& packet = std::get<stream_packet>(decoded);
            if (!version || packet.queries.empty())
            {
                return;
            }
            stream_packet reply;
            for (auto const& query : packet.queries)
            {
                reply.replies.push_back({query.number, {{}, *version, false}});
            }
            asio::post(this->here.loop, [this, to, text = encode(reply)]
                       { this->exchange.receive(to, text); });
        }

        /// The version at which a stream of another router goes on here.
        std::optional<std::string> find()
        {
            std::optional<std::optional<std::string>> found;
            asio::co_spawn(this->here.loop,
                           this->exchange.find(7, {"llm"}, duration{600}),
                           [&](std::exception_ptr const&,
                               std::optional<std::string> const& version)
                           { found = version; });
            CPPUNIT_ASSERT(
                this->here.run_until([&] { return found.has_value(); }));
            return *found;
        }

        store_site here;
        duration skipped{};
        caperpath::clock real{caperpath::clock::monotonic()};
        std::map<std::string, std::optional<std::string>> others;
        fleet::server_table table;
        stream_version_exchange exchange{
            this->here.loop.get_executor(),
            [this](std::string const& to, std::string const& bytes)
            { this->deliver(to, bytes); },
            this->here.store.port(),
            "vm-1",
            800,
            this->here.log,
            caperpath::clock{[this]
                             {
                                 return this->real.now() + this->skipped;
                             }}};
    };

    // Guards against a stream that goes on at another version than it began at,
    // at a router that is cut off from the others and the store.
    void a_router_without_any_path_knows_no_version()
    {
        scenario here;
        for (auto const* const address : {"a:1", "b:1", "c:1"})
        {
            here.add_router(address, std::nullopt);
        }
        CPPUNIT_ASSERT(!here.find());
    }

    // The same for routers that are cut off together.
    void a_minority_of_routers_knows_no_version()
    {
        scenario here;
        here.add_router("a:1", "v1");
        here.add_router("b:1", std::nullopt);
        here.add_router("c:1", std::nullopt);
        CPPUNIT_ASSERT(!here.find());
    }

    // Guards against the rejection of all resumed streams while the store is
    // away.
    void most_routers_together_know_the_only_version()
    {
        scenario here;
        here.add_router("a:1", "v1");
        here.add_router("b:1", "v1");
        here.add_router("c:1", std::nullopt);
        CPPUNIT_ASSERT(here.find() == "v1");
    }

    // Guards against a majority that has not listed the new servers yet.
    void one_router_that_saw_another_version_is_believed()
    {
        scenario here;
        here.add_router("a:1", "v1");
        here.add_router("b:1", "v1");
        here.add_router("c:1", "v2");
        CPPUNIT_ASSERT(!here.find());
    }

    // Guards against the same at a site of one router.
    void the_only_router_knows_the_only_version()
    {
        scenario here;
        CPPUNIT_ASSERT(here.find() == "v1");
    }

    // Guards against an answer from memory where the store has a newer one.
    void the_row_of_the_store_decides_if_it_can_be_read()
    {
        scenario here;
        here.here.store.reachable = true;
        store::transaction txn;
        txn.writes.push_back(
            {"versions/llm/versions", std::string{R"(["v1","v2"])"}});
        here.here.store.port().commit(txn, [](store::commit_result const&) {});
        here.add_router("a:1", "v1");
        CPPUNIT_ASSERT(!here.find());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(out_of_step_router_test);
