#include "gateway/decision_log.hpp"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <fcntl.h>
#include <future>
#include <string>
#include <unistd.h>

using namespace caperpath;

/// The last lines of the log if the process ends while its reader is slow.
class decision_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decision_log_test);
    CPPUNIT_TEST(the_last_lines_wait_for_a_slow_reader);
    CPPUNIT_TEST(a_stalled_reader_does_not_block_the_exit);
    CPPUNIT_TEST_SUITE_END();

    struct pipe_ends
    {
        pipe_ends()
        {
            CPPUNIT_ASSERT_EQUAL(0, pipe(this->ends.data()));
        }

        ~pipe_ends()
        {
            close(this->ends[0]);
            this->close_writer();
        }

        pipe_ends(pipe_ends const&) = delete;
        pipe_ends& operator=(pipe_ends const&) = delete;

        int writer() const
        {
            return this->ends[1];
        }

        void close_writer()
        {
            close(this->ends[1]);
            this->ends[1] = -1;
        }

        /// Returns everything up to the end of the pipe.
        std::string read_all() const
        {
            std::string all;
            std::array<char, 4096> piece{};
            ssize_t got = 0;
            while ((got = read(this->ends[0], piece.data(), piece.size())) > 0)
            {
                all.append(piece.data(), static_cast<std::size_t>(got));
            }
            return all;
        }

        std::array<int, 2> ends{};
    };

    /// Writes more lines than a pipe holds; returns a part of the last one.
    static std::string fill_pipe(gateway::decision_log& log)
    {
        constexpr int lines = 200;
        std::string const filler(1'000, 'x');
        for (int line = 0; line < lines; ++line)
        {
            log.write(gateway::log_weight::notable, "end",
                      {{"line", std::to_string(line)}, {"filler", filler}});
        }
        return "line=" + std::to_string(lines - 1);
    }

    // Guards against losing the last lines, which say how the process ended,
    // because the pipe is full.
    void the_last_lines_wait_for_a_slow_reader()
    {
        boost::asio::io_context loop;
        pipe_ends pipe;
        gateway::decision_log log{loop.get_executor(), pipe.writer(), "vm"};
        auto const last = fill_pipe(log);
        log.flush();
        auto reader =
            std::async(std::launch::async, [&pipe] { return pipe.read_all(); });
        log.finish({60'000});
        pipe.close_writer();
        CPPUNIT_ASSERT(reader.get().find(last) != std::string::npos);
    }

    // Guards against a process that cannot end because its log is not read.
    void a_stalled_reader_does_not_block_the_exit()
    {
        boost::asio::io_context loop;
        pipe_ends pipe;
        gateway::decision_log log{loop.get_executor(), pipe.writer(), "vm"};
        auto const last = fill_pipe(log);
        log.finish({20});
        pipe.close_writer();
        CPPUNIT_ASSERT(pipe.read_all().find(last) == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_log_test);
