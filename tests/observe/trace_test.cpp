#include <caperpath/observe/span_sink.hpp>
#include <caperpath/observe/trace.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace caperpath;
using namespace caperpath::observe;

namespace
{

span make_span(std::string name)
{
    id_generator ids{1};
    caperpath::clock const wall{[]
                                {
                                    return instant{7};
                                }};
    span_builder builder{std::move(name), continue_trace("", ids), ids, wall};
    return builder.finish();
}

std::vector<std::string> lines_of(std::filesystem::path const& file)
{
    std::ifstream stream{file};
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);)
    {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

class trace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(trace_test);
    CPPUNIT_TEST(traceparent_round_trip);
    CPPUNIT_TEST(random_bytes_never_crash);
    CPPUNIT_TEST(malformed_starts_a_new_trace);
    CPPUNIT_TEST(span_line_round_trip);
    CPPUNIT_TEST(file_sink_writes_each_span_once);
    CPPUNIT_TEST(spans_lost_to_a_full_disk_are_counted);
    CPPUNIT_TEST(a_hanging_disk_does_not_block_requests);
    CPPUNIT_TEST_SUITE_END();

    void traceparent_round_trip()
    {
        CPPUNIT_ASSERT(rc::check(
            [](std::uint64_t high, std::uint64_t low, bool sampled)
            {
                auto const parent = *rc::gen::nonZero<std::uint64_t>();
                RC_PRE(high != 0 || low != 0);
                trace_context const context{{high, low}, {parent}, sampled};
                RC_ASSERT(parse_traceparent(format_traceparent(context)) ==
                          context);
            }));
    }

    void random_bytes_never_crash()
    {
        CPPUNIT_ASSERT(rc::check(
            [](std::string const& noise)
            {
                parse_traceparent(noise);
                auto const both =
                    value_or_error([&] { return parse_json_line(noise); });
                RC_ASSERT(std::holds_alternative<error>(both));
                // A valid header with one byte changed: accepted or rejected.
                id_generator ids{3};
                auto header = format_traceparent(
                    {ids.next_trace_id(), ids.next_span_id(), true});
                auto const place = *rc::gen::inRange<std::size_t>(0, 55);
                header[place] = *rc::gen::arbitrary<char>();
                auto const parsed = parse_traceparent(header);
                if (parsed && header.starts_with("00"))
                {
                    RC_ASSERT(format_traceparent(*parsed).substr(0, 53) ==
                              header.substr(0, 53));
                }
            }));
    }

    void malformed_starts_a_new_trace()
    {
        std::string const good{
            "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"};
        std::vector<std::string> const malformed{
            "",
            good.substr(1),
            good + "-00",
            "ff" + good.substr(2),
            "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
            "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"};
        id_generator ids{1};
        for (auto const& header : malformed)
        {
            auto const context = continue_trace(header, ids);
            CPPUNIT_ASSERT(context.span == span_id{});
            CPPUNIT_ASSERT(context.trace != trace_id{});
        }
        CPPUNIT_ASSERT(format_traceparent(continue_trace(good, ids)) == good);
        CPPUNIT_ASSERT(parse_traceparent("cc" + good.substr(2) + "-later"));
    }

    void span_line_round_trip()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const text = rc::gen::string<std::string>();
                span value{
                    {*rc::gen::arbitrary<std::uint64_t>(), 1},
                    {2},
                    {*rc::gen::arbitrary<std::uint64_t>()},
                    "route",
                    {*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000)},
                    *rc::gen::inRange<std::int64_t>(0, 1'000'000'000),
                    {{request_attribute, *rc::gen::nonEmpty(text)}}};
                auto const line = to_json_line(value);
                RC_ASSERT(line.find('\n') == std::string::npos);
                auto read = parse_json_line(line).value();
                // Bytes that are not UTF-8 are replaced.
                read.attributes = value.attributes;
                RC_ASSERT(read == value);
            }));
    }

    void file_sink_writes_each_span_once()
    {
        auto const file = std::filesystem::temp_directory_path() /
                          ("spans-" + std::to_string(::getpid()));
        {
            auto const sink = make_file_sink(file.string(), 100).value();
            sink.record(make_span("first"));
            sink.flush();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines_of(file).size());
            sink.record(make_span("second"));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sink.dropped());
        }
        auto const lines = lines_of(file);
        std::filesystem::remove(file);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
        CPPUNIT_ASSERT(parse_json_line(lines[1]).value().name == "second");
    }

    // The disk of the span file is full. Requests continue, and the lost spans
    // are counted in the metrics.
    void spans_lost_to_a_full_disk_are_counted()
    {
        auto const sink = make_file_sink("/dev/full", 100).value();
        sink.record(make_span("lost"));
        sink.flush();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sink.dropped());
    }

    // The disk hangs: a write neither fails nor returns. Requests must not wait
    // for it; spans that do not fit into the queue are dropped and counted.
    void a_hanging_disk_does_not_block_requests()
    {
        auto const fifo = std::filesystem::temp_directory_path() /
                          ("stuck-" + std::to_string(::getpid()));
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(fifo.c_str(), 0600));
        int const reader = ::open(fifo.c_str(), O_RDONLY | O_NONBLOCK);
        std::uint64_t dropped = 0;
        std::thread drain;
        {
            auto const sink = make_file_sink(fifo.string(), 10).value();
            std::string const large(4'096, 'x');
            while (dropped == 0)
            {
                sink.record(make_span(large));
                dropped = sink.dropped();
            }
            ::fcntl(reader, F_SETFL, 0);
            drain = std::thread{
                [reader]
                {
                    char buffer[4'096];
                    while (::read(reader, buffer, sizeof buffer) > 0)
                    {
                    }
                }};
        }
        drain.join();
        ::close(reader);
        std::filesystem::remove(fifo);
        CPPUNIT_ASSERT(dropped > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_test);
