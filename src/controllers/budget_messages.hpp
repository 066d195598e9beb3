#ifndef CAPERPATH_CONTROLLERS_BUDGET_MESSAGES_HPP
#define CAPERPATH_CONTROLLERS_BUDGET_MESSAGES_HPP

#include <caperpath/budget/recovery.hpp>
#include <caperpath/controllers/budget_controller.hpp>

#include <caf/all.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

/// Messages within one process; never serialised.
namespace caperpath::controllers
{

/// A blocking call for a worker; `run` sends the result to the actor.
struct table_job
{
    std::function<void()> run;
};

struct tick_message
{
};

struct bind_result
{
    std::optional<budget::holder_view> holder;
    error fault; ///< set if `holder` is not
};

/// The existing rows of several budgets from one read; nothing if the read
/// failed.
struct refresh_result
{
    std::vector<budget_id> budgets;
    std::optional<std::vector<store::row>> rows;
};

struct write_result
{
    budget_id budget;
    store::commit_result outcome;
};

struct batch_result
{
    store::commit_result outcome;
};

struct close_result
{
    bool closed{};
};

/// Empty if the sweep failed.
struct sweep_result
{
    std::optional<budget::sweep_report> report;
};

struct cancel_request
{
    budget_id budget;
    request_id request;
};

struct report_request
{
};

struct stop_request
{
    duration bound{};
};

} // namespace caperpath::controllers

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::budget::reserve_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::budget::reserve_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::budget::finish_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::budget::bill_state)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::table_job)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::tick_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::bind_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::refresh_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::write_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::batch_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::close_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::sweep_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::cancel_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::report_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::stop_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::budget_report)

#endif
