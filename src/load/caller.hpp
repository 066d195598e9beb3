#ifndef CAPERPATH_SRC_LOAD_CALLER_HPP
#define CAPERPATH_SRC_LOAD_CALLER_HPP

#include "load/planner.hpp"
#include "load/record.hpp"

#include <caperpath/observe/stopwatch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace httplib
{
class Client;
}

namespace caperpath::load
{

struct attempt;

/// Sends requests sequentially, as one caller does, over persistent
/// connections. Retries a failed attempt at the next router with the same
/// idempotency key. Not thread safe: use one per thread.
class caller
{
public:
    /// `watch` was started with the run. @pre `plan` outlives the caller.
    caller(scenario const& plan, observe::stopwatch watch);
    ~caller();

    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;

    /// Sends a request and its retries; blocks until it has ended.
    record run(planned_request const& planned);

private:
    attempt send(planned_request const& planned, std::size_t router);
    attempt chat(planned_request const& planned, std::size_t router);
    attempt order(planned_request const& planned, std::size_t router);
    httplib::Client& client(std::size_t router);

    scenario const& plan;
    observe::stopwatch watch;
    std::vector<std::unique_ptr<httplib::Client>> clients;
};

} // namespace caperpath::load

#endif
