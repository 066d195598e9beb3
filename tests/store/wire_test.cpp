#include <caperpath/store/wire.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>

using namespace caperpath;
using namespace caperpath::store;

namespace rc
{

// Generates any UTF-8 text, including characters that JSON escapes.
Gen<std::string> text()
{
    auto const piece = gen::element<std::string>(
        "a", "/", "\"", "\\", "\n", std::string(1, '\0'), "\xc3\xa9",
        "\xf0\x9f\x9b\xb5", "{}", "null");
    return gen::map(gen::container<std::vector<std::string>>(piece),
                    [](std::vector<std::string> const& pieces)
                    {
                        std::string joined;
                        for (auto const& part : pieces)
                        {
                            joined += part;
                        }
                        return joined;
                    });
}

template <>
struct Arbitrary<condition>
{
    static Gen<condition> arbitrary()
    {
        auto const version =
            gen::cast<std::uint64_t>(gen::inRange<std::int64_t>(
                0, std::numeric_limits<std::int64_t>::max()));
        return gen::build<condition>(gen::set(&condition::key, text()),
                                     gen::set(&condition::version, version));
    }
};

template <>
struct Arbitrary<row_write>
{
    static Gen<row_write> arbitrary()
    {
        return gen::apply(
            [](std::string key, std::string value, bool deletes)
            {
                return row_write{std::move(key),
                                 deletes ? std::nullopt : std::optional{value}};
            },
            text(), text(), gen::arbitrary<bool>());
    }
};

template <>
struct Arbitrary<transaction>
{
    static Gen<transaction> arbitrary()
    {
        return gen::build<transaction>(gen::set(&transaction::conditions),
                                       gen::set(&transaction::writes));
    }
};

} // namespace rc

class wire_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wire_test);
    CPPUNIT_TEST(a_transaction_arrives_as_sent);
    CPPUNIT_TEST(a_lost_value_is_not_a_deletion);
    CPPUNIT_TEST(only_a_platform_body_is_a_rejection);
    CPPUNIT_TEST(too_many_keys_in_a_read_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    template <class Outcome>
    static error_kind kind_of(Outcome const& outcome)
    {
        return std::get<error>(outcome).kind;
    }

    void a_transaction_arrives_as_sent()
    {
        auto const holds = rc::check(
            [](transaction const& txn)
            {
                auto const arrived = value_or_error(
                    [&]() -> result<transaction>
                    {
                        BOOST_LEAF_AUTO(sent, wire::encode(txn));
                        return wire::decode_transaction(sent);
                    });
                RC_ASSERT(std::get<transaction>(arrived) == txn);
            });
        CPPUNIT_ASSERT(holds);
    }

    // A client bug drops the value of a write. Read as a deletion, it would
    // remove a budget's row, and every request of that customer would be
    // rejected.
    void a_lost_value_is_not_a_deletion()
    {
        auto const decoded = value_or_error(
            [] {
                return wire::decode_transaction(R"({"writes":[{"key":"a"}]})");
            });
        CPPUNIT_ASSERT_EQUAL(std::string{"/writes/0/value: expected text"},
                             std::get<error>(decoded).detail);
    }

    // A balancer in front of the platform responds 503 with its own body. If
    // that counted as a rejection by the platform, a written bill would be
    // written again.
    void only_a_platform_body_is_a_rejection()
    {
        wire::rejection const why{error_kind::conflict, "a", {{"a", 3, "1"}}};
        auto const decoded = value_or_error(
            [&] { return wire::decode_rejection(wire::encode(why)); });
        CPPUNIT_ASSERT(std::get<wire::rejection>(decoded) == why);
        for (auto const* body :
             {"", "upstream gone", "{}", R"({"effect":"none"})",
              R"({"effect":"some","kind":"refused","detail":""})",
              R"({"effect":"none","kind":"timeout","detail":""})"})
        {
            auto const foreign =
                value_or_error([&] { return wire::decode_rejection(body); });
            CPPUNIT_ASSERT(kind_of(foreign) == error_kind::invalid);
        }
    }

    void too_many_keys_in_a_read_are_rejected()
    {
        std::vector<std::string> keys(wire::max_read_keys + 1, "a");
        auto const body = std::get<std::string>(
            value_or_error([&] { return wire::encode_keys(keys); }));
        auto const decoded =
            value_or_error([&] { return wire::decode_keys(body); });
        CPPUNIT_ASSERT(kind_of(decoded) == error_kind::invalid);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wire_test);
