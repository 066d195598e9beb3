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

/// Sends requests one after the other, as one caller does, over connections
/// that it keeps. A failed attempt is repeated at the next router with the same
/// idempotency key. Not thread safe: one a thread.
class caller
{
public:
    /// `watch` started with the run. @pre `plan` outlives the caller.
    caller(scenario const& plan, observe::stopwatch watch);
    ~caller();

    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;

    /// Blocks until the request has ended, with all its attempts.
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
