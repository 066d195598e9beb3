#include <caperpath/fleet/event_splitter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <string>
#include <string_view>
#include <vector>

using namespace caperpath::fleet;

class event_splitter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_splitter_test);
    CPPUNIT_TEST(every_line_end_ends_an_event);
    CPPUNIT_TEST(events_split_anywhere_are_the_same);
    CPPUNIT_TEST(a_line_without_its_empty_line_is_within_an_event);
    CPPUNIT_TEST(blank_lines_and_comments_are_no_event);
    CPPUNIT_TEST(a_byte_order_mark_does_not_hide_the_first_id);
    CPPUNIT_TEST(fields_are_compared_whole);
    CPPUNIT_TEST_SUITE_END();

    /// Each of `texts` with `end` behind it.
    static std::string lines(std::vector<std::string> const& texts,
                             std::string const& end)
    {
        std::string all;
        for (auto const& text : texts)
        {
            all.append(text).append(end);
        }
        return all;
    }

    static bool ends_within_event(std::string_view bytes)
    {
        event_splitter splitter;
        splitter.feed(bytes);
        return splitter.in_event();
    }

    // Guards against events that are held back until the end of their stream
    // because their lines end with CR.
    void every_line_end_ends_an_event()
    {
        for (std::string const end : {"\n", "\r\n", "\r"})
        {
            event_splitter splitter;
            auto const event = lines({"id: 1", "data: a", ""}, end);
            auto const next = lines({"id: 2"}, end).append("data: b");
            auto const rest = lines({"", ""}, end);
            CPPUNIT_ASSERT_EQUAL(event, splitter.feed(event + next));
            CPPUNIT_ASSERT_EQUAL(std::string{"1"}, splitter.last_id());
            CPPUNIT_ASSERT(splitter.in_event());
            CPPUNIT_ASSERT_EQUAL(next + rest, splitter.feed(rest));
            CPPUNIT_ASSERT_EQUAL(std::string{"2"}, splitter.last_id());
            CPPUNIT_ASSERT(!splitter.in_event());
            CPPUNIT_ASSERT(splitter.events() == 2);
        }
    }

    // Guards against bytes that are lost, held back or counted twice at the
    // border of two reads, as between CR and LF.
    void events_split_anywhere_are_the_same()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                std::string all = *rc::gen::element<std::string>(
                    "", "\xEF\xBB\xBF", "\n", ": x\r\n\r\n");
                auto const count = *rc::gen::inRange(1, 6);
                for (int i = 1; i <= count; ++i)
                {
                    auto const end =
                        *rc::gen::element<std::string>("\n", "\r\n", "\r");
                    std::string const data(*rc::gen::inRange<std::size_t>(0, 9),
                                           'x');
                    all += lines(
                        {"id: " + std::to_string(i), "data: " + data, ""}, end);
                }
                event_splitter splitter;
                std::string forwarded;
                for (std::size_t at = 0; at < all.size();)
                {
                    auto const size = *rc::gen::inRange<std::size_t>(1, 12);
                    auto const part = std::string_view{all}.substr(at, size);
                    forwarded += splitter.feed(part);
                    at += part.size();
                }
                RC_ASSERT(forwarded == all);
                RC_ASSERT(splitter.last_id() == std::to_string(count));
                RC_ASSERT(splitter.events() == count);
                RC_ASSERT(!splitter.in_event());
            }));
    }

    // Guards against a broken-off stream whose last bytes look like an end.
    void a_line_without_its_empty_line_is_within_an_event()
    {
        for (auto const* const cut :
             {"data: a", "data: a\n", "data: a\r", "data: a\r\n", "id: 1\n",
              "data: a\n\ndata: b\n", "data: a\n\n\nd", "data: a\n\n: com"})
        {
            CPPUNIT_ASSERT(ends_within_event(cut));
        }
    }

    // Guards against taking a whole stream for a broken-off one.
    void blank_lines_and_comments_are_no_event()
    {
        for (auto const* const whole :
             {"", "\n", "data: a\n\n", "data: a\r\r", "data: a\r\n\r\n",
              "data: a\n\n\n", "data: a\n\n: comment\n", ": comment\r\n"})
        {
            CPPUNIT_ASSERT(!ends_within_event(whole));
        }
    }

    // Guards against resuming a stream from its begin because its only id was
    // not seen.
    void a_byte_order_mark_does_not_hide_the_first_id()
    {
        event_splitter splitter;
        std::string const all = "\xEF\xBB\xBFid: 7\ndata: a\n\n";
        CPPUNIT_ASSERT_EQUAL(all, splitter.feed(all));
        CPPUNIT_ASSERT_EQUAL(std::string{"7"}, splitter.last_id());
    }

    // Guards against billing lines of other fields as output.
    void fields_are_compared_whole()
    {
        event_splitter splitter;
        splitter.feed("data\n\ndatabase: x\n\nid\ndata:y\n\n");
        CPPUNIT_ASSERT(splitter.events() == 2);
        CPPUNIT_ASSERT(splitter.last_id().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_splitter_test);
