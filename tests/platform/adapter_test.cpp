#include "platform/documents.hpp"
#include "platform/headers.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;

class adapter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adapter_test);
    CPPUNIT_TEST(parses_request_headers);
    CPPUNIT_TEST(malformed_headers_leave_fields_empty);
    CPPUNIT_TEST(gateway_only_headers_are_not_forwarded);
    CPPUNIT_TEST(parses_response_headers);
    CPPUNIT_TEST(retry_after_is_in_fractional_seconds);
    CPPUNIT_TEST(parses_a_configuration);
    CPPUNIT_TEST(rejects_a_configuration_without_version);
    CPPUNIT_TEST(parses_a_server_entry);
    CPPUNIT_TEST(rejects_an_invalid_server_entry);
    CPPUNIT_TEST_SUITE_END();

    using fields = gateway::http::fields;

    void parses_request_headers()
    {
        fields head;
        head.set("Request-Id", "9c41");
        head.set("Deadline-Ms", "1500");
        head.set("Authorization", "bearer abc");
        head.set("Token-Count", "1460,80");
        head.set("Prefix-Hash", "5c:800, 91:410,e4:250");
        head.set("Last-Event-Id", "4");
        auto const facts = platform::read_request(head);
        CPPUNIT_ASSERT_EQUAL(std::string{"9c41"}, facts.id);
        CPPUNIT_ASSERT(facts.timeout == duration{1'500});
        CPPUNIT_ASSERT_EQUAL(std::string{"abc"}, facts.key);
        CPPUNIT_ASSERT_EQUAL(token_count{1'460}, facts.prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(token_count{80}, facts.output_tokens);
        CPPUNIT_ASSERT_EQUAL(token_count{1'210}, facts.shared_tokens);
        CPPUNIT_ASSERT(facts.shared_part != 0);
        CPPUNIT_ASSERT(
            (facts.shared_parts ==
             std::vector{fleet::prompt_part{0x5c}, fleet::prompt_part{0x91}}));
        CPPUNIT_ASSERT_EQUAL(std::string{"4"}, facts.last_event_id);
        // The same shared parts, followed by a different own part.
        head.set("Prefix-Hash", "5c:800,91:410,ff:9");
        CPPUNIT_ASSERT_EQUAL(facts.shared_part,
                             platform::read_request(head).shared_part);
        head.set("Prefix-Hash", "5c:800,92:410,ff:9");
        CPPUNIT_ASSERT(facts.shared_part !=
                       platform::read_request(head).shared_part);
    }

    void malformed_headers_leave_fields_empty()
    {
        fields head;
        head.set("Deadline-Ms", "soon");
        head.set("Authorization", "Basic abc");
        head.set("Token-Count", "-5,80");
        head.set("Prefix-Hash", "nonsense");
        auto const facts = platform::read_request(head);
        CPPUNIT_ASSERT(!facts.timeout);
        CPPUNIT_ASSERT(facts.key.empty());
        CPPUNIT_ASSERT_EQUAL(token_count{0}, facts.prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, facts.shared_part);
    }

    // A caller sets headers that only the router may set, or lists a header in
    // Connection. If the router forwarded them, the server could bill another
    // customer or prioritise the request.
    void gateway_only_headers_are_not_forwarded()
    {
        fields head;
        head.set("Authorization", "Bearer abc");
        head.set("Tenant-Id", "somebody");
        head.set("Kv-Retention", "x");
        head.set("Kv-From", "x");
        head.set("Request-Priority", "0");
        head.set("Connection", "close, X-Own");
        head.set("X-Own", "1");
        head.set("X-Kept", "2");
        head.set("Request-Id", "9c41");
        gateway::dispatch_facts facts;
        facts.time_left = {250};
        facts.server = {"i-1"};
        facts.customer = customer_id{"taller"};
        platform::prepare_request(head, facts);
        CPPUNIT_ASSERT(head.find("Authorization") == head.end());
        CPPUNIT_ASSERT(head.find("Kv-Retention") == head.end());
        CPPUNIT_ASSERT(head.find("Kv-From") == head.end());
        CPPUNIT_ASSERT(head.find("Request-Priority") == head.end());
        CPPUNIT_ASSERT(head.find("Connection") == head.end());
        CPPUNIT_ASSERT(head.find("X-Own") == head.end());
        CPPUNIT_ASSERT(head["X-Kept"] == "2");
        CPPUNIT_ASSERT(head["Request-Id"] == "9c41");
        CPPUNIT_ASSERT(head["Tenant-Id"] == "taller");
        CPPUNIT_ASSERT(head["Deadline-Ms"] == "250");
        CPPUNIT_ASSERT(head["Expected-Instance"] == "i-1");
    }

    void parses_response_headers()
    {
        fields head;
        head.set("Request-Id", "9c41");
        head.set("Upstream-Signature", "s");
        head.set("Upstream-Load", "3,1,8");
        head.set("Keep-Alive", "timeout=7, max=5");
        auto facts = platform::read_response(head, 200);
        CPPUNIT_ASSERT(facts.is_signed && !facts.not_run);
        CPPUNIT_ASSERT(facts.load == (fleet::load_report{3, 1, 8}));
        CPPUNIT_ASSERT(facts.idle_timeout == duration{7'000});
        head.set("Not-Executed", "1");
        head.set("Upstream-Load", "3,1");
        facts = platform::read_response(head, 503);
        CPPUNIT_ASSERT(facts.not_run && !facts.wrong_server && !facts.load);
        CPPUNIT_ASSERT(platform::read_response({}, 421).wrong_server);
        CPPUNIT_ASSERT(!platform::read_response({}, 503).not_run);
    }

    void retry_after_is_in_fractional_seconds()
    {
        fields head;
        platform::prepare_rejection(head, "9c41", duration{1'250});
        CPPUNIT_ASSERT(head["Retry-After"] == "1.250");
        CPPUNIT_ASSERT(head["Request-Id"] == "9c41");
    }

    void parses_a_configuration()
    {
        auto const read = platform::read_site(R"({"version":7,"route-table":[
            {"name":"r","hostname":"a.example","prefix":"/x/",
             "route-type":"streaming","timeout-ms":8000,
             "target-latency-ms":300,"priority":2,"attempts":2,
             "weighted-backends":[{"backend":"a","weight":90},
                                  {"backend":"b","weight":10}],
             "session-affinity":true,"stream-resume":true},
            {"name":"broken","route-type":"other","backend":"a"}, 5],
            "backends":[{"name":"a","engine-type":{"batch-slots":64,
                         "kv-capacity":444000,"stride":9}},{"name":"b"}],
            "limits":{"max-body-bytes":100},
            "tenants":[{"name":"t","api-keys":["k"],"priority":1,
                        "reserved":500}]})");
        auto const& parts = std::get<fleet::site_parts>(read);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, parts.version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parts.routes.size());
        auto const& route = parts.routes.front();
        CPPUNIT_ASSERT(route.kind == fleet::request_kind::streaming);
        CPPUNIT_ASSERT(route.resumable && route.has_prompt && route.needs_key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, route.max_servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.services.size());
        CPPUNIT_ASSERT_EQUAL(token_count{9},
                             parts.services.front().tokens_per_event);
        CPPUNIT_ASSERT(parts.customers.front().paid == token_count{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, parts.limits.body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16'384}, parts.limits.header_bytes);
    }

    void rejects_a_configuration_without_version()
    {
        for (auto const* text : {"", "[]", "{}", R"({"version":"7"})"})
        {
            CPPUNIT_ASSERT(
                std::holds_alternative<error>(platform::read_site(text)));
        }
    }

    static constexpr char good_entry[] =
        R"({"backend":"a","address":"10.1.0.9:80","zone":"z","version":"v1",)"
        R"("batch-slots":64,"state":"healthy","warmup-left-ms":0,)"
        R"("born":1700000000000,"sequence":4})";

    void parses_a_server_entry()
    {
        auto const read = platform::read_server("i-1", good_entry);
        auto const& entry = std::get<fleet::server_entry>(read);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, entry.service.value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{64}, entry.slots);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'700'000'000'000}, entry.born_ms);
        CPPUNIT_ASSERT(!entry.draining);
    }

    // Another program writes the rows of the server table. A router must not
    // route callers to a server with an unknown state or an invalid address.
    void rejects_an_invalid_server_entry()
    {
        std::string const good{good_entry};
        auto const with =
            [&good](std::string const& from, std::string const& to)
        {
            auto text = good;
            text.replace(text.find(from), from.size(), to);
            return text;
        };
        for (auto const& text :
             {std::string{"\xff\x01"}, with("\"healthy\"", "\"resting\""),
              with("\"healthy\"", "3"), with(":64", ":\"64\""),
              with("10.1.0.9:80", "nowhere"), with("\"backend\":\"a\",", ""),
              with("1700000000000", "1.5"), with("1700000000000", "\"x\"")})
        {
            CPPUNIT_ASSERT(std::holds_alternative<error>(
                platform::read_server("i-1", text)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_test);
