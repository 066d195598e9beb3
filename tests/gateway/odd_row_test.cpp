#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Rows of another writer that hold something else than a router expects.
class odd_row_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_row_test);
    CPPUNIT_TEST(odd_servers_hide_no_others);
    CPPUNIT_TEST(odd_configurations_leave_the_last_one_in_force);
    CPPUNIT_TEST(odd_rows_of_routers_stop_no_router);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t depth = 400'000;

    static std::string nested(std::string const& open)
    {
        std::string text;
        for (std::size_t i = 0; i < depth; i += open.size())
        {
            text += open;
        }
        return text;
    }

    /// Texts that are no JSON objects, or hardly.
    static std::vector<std::string> odd_texts()
    {
        return {"",
                " ",
                "x",
                "null",
                "[]",
                "{}",
                "7",
                "\"text\"",
                "{\"a\":",
                std::string(1, '\0'),
                std::string{"{\"a\":\"\0\"}", 9},
                "\xff\xfe\x80",
                "{\"a\":\"\xff\"}",
                "1e999999",
                "-99999999999999999999999999",
                nested("["),
                nested("{\"a\":"),
                nested("[") + std::string(depth, ']'),
                std::string(100'000, ' ') + "{}",
                std::string(65'536, 'x')};
    }

    static std::string entry(std::string const& name, std::string const& value)
    {
        std::map<std::string, std::string> fields{
            {"backend", "\"app\""},
            {"address", "\"127.0.0.1:1\""},
            {"zone", "\"z\""},
            {"batch-slots", "4"},
            {"state", "\"healthy\""},
            {"warmup-left-ms", "0"},
            {"born", "1"},
            {"version", "\"v1\""}};
        fields[name] = value;
        std::string text;
        for (auto const& [each, content] : fields)
        {
            text += text.empty() ? "{\"" : ",\"";
            text += each;
            text += "\":";
            text += content;
        }
        return text + "}";
    }

    static std::vector<std::string> odd_values()
    {
        return {"null",
                "true",
                "{}",
                "[1]",
                "\"\"",
                "\"x\"",
                "-1",
                "0",
                "1e308",
                "-1e308",
                "1e400",
                "9223372036854775807",
                "-9223372036854775808",
                "18446744073709551615",
                "99999999999999999999999",
                "0.5",
                "\"127.0.0.1\"",
                "\"127.0.0.1:0\"",
                "\"127.0.0.1:65536\"",
                "\"127.0.0.1:99999999999\"",
                "\"127.0.0.1:-1\"",
                "\"127.0.0.1:1x\"",
                "\"1.2.3:80\"",
                "\"999.1.1.1:80\"",
                "\"[::1]:80\"",
                "\":80\"",
                "\":\"",
                "\"localhost:80\"",
                "\"" + std::string(60'000, 'v') + "\""};
    }

    static script respond(fake_server::request const& got)
    {
        return {{complete_response(got, 200, "ok")}};
    }

    /// A router with a sound server, which follows the table of servers.
    struct scenario
    {
        scenario()
        {
            this->site.add_server("i-1", "app", respond);
            this->site.wait_ready();
        }

        int read_status()
        {
            return this->site.send(fleet_site::request("GET", "/read/1"))
                .status;
        }

        /// Removes the only sound server and adds another one: the router
        /// serves only if it still follows.
        void assert_follows()
        {
            this->number += 1;
            auto const id = "i-" + std::to_string(this->number);
            this->site.store.put("servers",
                                 "i-" + std::to_string(this->number - 1),
                                 std::nullopt);
            auto& next = this->site.add_server(id, "app", respond);
            CPPUNIT_ASSERT(this->site.run_until(
                [&]
                {
                    static_cast<void>(this->read_status());
                    return !next.requests.empty();
                }));
        }

        int number{1};
        fleet_site site;
    };

    // Guards against an entry that ends a router, or after which it follows no
    // other.
    void odd_servers_hide_no_others()
    {
        scenario here;
        auto texts = odd_texts();
        for (auto const* const name :
             {"backend", "address", "zone", "batch-slots", "state",
              "warmup-left-ms", "born", "version"})
        {
            for (auto const& value : odd_values())
            {
                texts.push_back(entry(name, value));
            }
        }
        for (std::size_t i = 0; i < texts.size(); ++i)
        {
            here.site.store.put("servers", "odd-" + std::to_string(i),
                                texts[i]);
            here.site.run_for(duration{4});
            if (i % 40 == 0)
            {
                here.assert_follows();
            }
        }
        here.assert_follows();
    }

    // Guards against a configuration that replaces a sound one, or hides the
    // next.
    void odd_configurations_leave_the_last_one_in_force()
    {
        scenario here;
        for (auto const& text : odd_texts())
        {
            here.site.store.put("op", "config", text);
            here.site.run_for(duration{10});
            CPPUNIT_ASSERT_EQUAL(200, here.read_status());
        }
        here.site.put_configuration(5);
        here.assert_follows();
    }

    // Guards against a row of a router that ends the others, or stops what they
    // read.
    void odd_rows_of_routers_stop_no_router()
    {
        scenario here;
        here.site.add_server("i-llm", "llm",
                             [](fake_server::request const& got)
                             {
                                 return script{{stream_head(got),
                                                chunk_of("id: 1\ndata: t\n\n"),
                                                chunk_of("")}};
                             });
        static_cast<void>(here.site.send(fleet_site::prompt("/chat/1", 9, 9)));
        here.site.run_for(duration{1'500});
        std::set<std::string> keys;
        for (auto const& [key, value] : here.site.store.router_rows(""))
        {
            keys.insert(key);
            auto other = key;
            auto const at = other.find("vm-1");
            if (at != std::string::npos)
            {
                keys.insert(other.replace(at, 4, "vm-2"));
            }
        }
        CPPUNIT_ASSERT(keys.size() > 2);
        for (auto const& key : keys)
        {
            for (auto const& text : odd_texts())
            {
                store::transaction txn;
                txn.writes.push_back({key, text});
                here.site.store.port().commit(
                    txn, [](store::commit_result const&) {});
                here.site.run_for(duration{2});
            }
        }
        here.site.run_for(duration{2'000});
        here.assert_follows();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_row_test);
