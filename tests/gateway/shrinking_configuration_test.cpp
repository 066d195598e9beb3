#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

using nlohmann::json;

/// Configurations and lists of servers that no longer have what an open request
/// uses.
class shrinking_configuration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shrinking_configuration_test);
    CPPUNIT_TEST(a_removed_route_or_customer_cuts_no_stream);
    CPPUNIT_TEST(lower_limits_cut_no_stream);
    CPPUNIT_TEST(a_server_that_leaves_the_list_completes_its_stream);
    CPPUNIT_TEST(a_body_is_read_under_the_limits_of_its_head);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;
    using change = std::function<void(json&)>;

    static json& entry(json& list, std::string const& name)
    {
        for (auto& one : list)
        {
            if (one["name"] == name)
            {
                return one;
            }
        }
        throw std::out_of_range{name};
    }

    static void erase_entry(json& list, std::string const& name)
    {
        auto kept = json::array();
        for (auto const& one : list)
        {
            if (one["name"] != name)
            {
                kept.push_back(one);
            }
        }
        list = kept;
    }

    static std::string with_long_deadline(std::string bytes)
    {
        std::string const limit{"Deadline-Ms: 1500"};
        return bytes.replace(bytes.find(limit), limit.size(),
                             "Deadline-Ms: 30000");
    }

    /// A stream that ends when the test lets it.
    struct scenario
    {
        scenario()
        {
            this->site.route_timeout = duration{30'000};
            this->site.put_configuration(2);
            this->site.add_server(
                "i-1", "llm",
                [this](request const& got)
                {
                    script all{{stream_head(got),
                                chunk_of("id: 1\ndata: t\n\n"),
                                chunk_of("id: 2\ndata: t\n\n") + chunk_of("")}};
                    all.may_complete = [this]
                    {
                        return this->may_complete;
                    };
                    return all;
                });
            this->site.wait_ready();
            this->caller = this->site.begin(
                with_long_deadline(fleet_site::prompt("/chat/1", 500, 20)));
            CPPUNIT_ASSERT(this->site.run_until(
                [this] { return this->caller->has_input(); }));
        }

        /// Puts the changed configuration, which has one route more, and waits
        /// until it is in force.
        void apply(std::vector<change> const& changes)
        {
            auto next = json::parse(this->site.configuration(3, 100'000));
            for (auto const& one : changes)
            {
                one(next);
            }
            auto added = next["route-table"][0];
            added["name"] = "added";
            added["prefix"] = "/added/";
            added["public"] = true;
            next["route-table"].push_back(added);
            this->site.store.put("op", "config", next.dump());
            CPPUNIT_ASSERT(this->site.run_until(
                [this]
                {
                    auto const got =
                        this->site.send(fleet_site::request("GET", "/added/1"));
                    return got.status != 404 && got.status != 0;
                }));
        }

        /// Lets the stream end; true if the caller gets the whole of it.
        bool completes()
        {
            this->may_complete = true;
            auto const text = [this]
            {
                auto const bytes = this->caller->input().data();
                return std::string{static_cast<char const*>(bytes.data()),
                                   bytes.size()};
            };
            this->site.run_until(
                [&]
                {
                    return text().ends_with("\r\n0\r\n\r\n") ||
                           this->caller->end() != peer_end::open;
                });
            return text().find("id: 2\n") != std::string::npos &&
                   text().ends_with("\r\n0\r\n\r\n");
        }

        bool may_complete{false};
        fleet_site site;
        connection_ptr caller;
    };

    static void check(std::vector<change> const& changes)
    {
        scenario here;
        here.apply(changes);
        CPPUNIT_ASSERT(here.completes());
    }

    /// Each change alone, then all of them together.
    static void check_each(std::vector<change> const& changes)
    {
        for (auto const& one : changes)
        {
            check({one});
        }
        check(changes);
    }

    // Guards against an open request that reads what a newer configuration does
    // not have.
    void a_removed_route_or_customer_cuts_no_stream()
    {
        check_each({[](json& all) { erase_entry(all["route-table"], "chat"); },
                    [](json& all) { erase_entry(all["tenants"], "taller"); },
                    [](json& all)
                    {
                        erase_entry(all["backends"], "llm");
                    }});
        check_each(
            {[](json& all)
             { entry(all["route-table"], "chat")["backend"] = "app"; },
             [](json& all) {
                 entry(all["route-table"], "chat")["allowed-regions"] = {"far"};
             },
             [](json& all)
             {
                 entry(all["tenants"], "taller")["api-keys"] = json::array();
                 entry(all["tenants"], "otro")["api-keys"].push_back("key");
             }});
    }

    // Guards against an open request that a lower limit ends.
    void lower_limits_cut_no_stream()
    {
        check_each({[](json& all)
                    { entry(all["tenants"], "taller")["reserved"] = 1; },
                    [](json& all)
                    { entry(all["route-table"], "chat")["timeout-ms"] = 10; },
                    [](json& all) { all["limits"]["max-body-bytes"] = 1; },
                    [](json& all) { all["limits"]["header-timeout-ms"] = 50; },
                    [](json& all)
                    {
                        all["limits"]["idle-timeout-ms"] = 50;
                    }});
    }

    // Guards against a response that is cut because the entry of its server
    // changes: the server goes on until it has completed it.
    void a_server_that_leaves_the_list_completes_its_stream()
    {
        scenario unlisted;
        unlisted.site.store.put("servers", "i-1", std::nullopt);
        unlisted.apply({});
        CPPUNIT_ASSERT(unlisted.completes());
        scenario evacuated;
        evacuated.site.store.put("op", "evacuate/z", "{}");
        evacuated.apply({});
        CPPUNIT_ASSERT(evacuated.completes());
    }

    // Guards against a request that is rejected because the limits changed
    // while its body was sent.
    void a_body_is_read_under_the_limits_of_its_head()
    {
        scenario here;
        here.site.add_server(
            "i-2", "app",
            [](request const& got)
            { return script{{complete_response(got, 200, "done")}}; });
        auto const order = with_long_deadline(fleet_site::request(
            "POST", "/order/1", "", std::string(1'000, 'b')));
        auto const sent = order.size() - 500;
        auto const sender = here.site.begin(order.substr(0, sent));
        here.site.run_for(duration{50});
        here.apply({[](json& all)
                    {
                        all["limits"]["max-body-bytes"] = 10;
                    }});
        sender->send(order.substr(sent));
        CPPUNIT_ASSERT(
            here.site.run_until([&] { return sender->has_input(); }));
        auto const bytes = sender->input().data();
        std::string const got{static_cast<char const*>(bytes.data()),
                              bytes.size()};
        CPPUNIT_ASSERT(got.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(here.completes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shrinking_configuration_test);
