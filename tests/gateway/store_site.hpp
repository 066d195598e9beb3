#ifndef CAPERPATH_TESTS_GATEWAY_STORE_SITE_HPP
#define CAPERPATH_TESTS_GATEWAY_STORE_SITE_HPP

#include "gateway/decision_log.hpp"
#include "gateway/fake_store.hpp"
#include "gateway/run_part.hpp"

#include <boost/asio/io_context.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <stdexcept>

namespace caperpath::gateway
{

/// Throws while `times` is above 0, and counts down.
inline void throw_times(int& times)
{
    if (times > 0)
    {
        times -= 1;
        throw std::runtime_error{"a part of a test"};
    }
}

/// A loop with a store and a log. Exceptions of handlers end these only.
struct store_site
{
    ~store_site()
    {
        ::close(this->null_device);
    }

    bool run_until(std::function<bool()> const& done)
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            run_part(this->log, "handler",
                     [this]
                     { this->loop.run_for(std::chrono::milliseconds{5}); });
        }
        return done();
    }

    boost::asio::io_context loop;
    fake_store store{loop};
    int null_device{::open("/dev/null", O_WRONLY | O_CLOEXEC)};
    decision_log log{loop.get_executor(), null_device, "vm-1"};
};

} // namespace caperpath::gateway

#endif
