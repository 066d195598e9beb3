#ifndef CAPERPATH_CONTROLLERS_CLAIM_ACTOR_HPP
#define CAPERPATH_CONTROLLERS_CLAIM_ACTOR_HPP

#include "budget_messages.hpp"

#include <caperpath/controllers/claim_controller.hpp>
#include <caperpath/request/claim_store.hpp>

#include <caf/all.hpp>

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caperpath::controllers
{

/// The result of one attempt to write the end of a run.
struct end_result
{
    request_id request;
    request::finish_result end{};
    std::uint64_t version{};
};

struct withdraw_result
{
    std::string ticket;
    bool done{};
};

struct delete_result
{
    std::vector<request::expiring_claim> expired;
    bool done{};
};

/// A claim that this router owns until its end is written.
struct open_claim
{
    request::held_claim held;
    std::optional<request::claim_finish> finish;
    caf::response_promise waiter;
    instant wait_deadline{};
    int failures{};
    instant retry_at{};
    bool in_flight{false};
};

/// A claim whose write had an unknown result; withdrawn until that succeeds.
struct uncertain_claim
{
    request::held_claim held;
    int failures{};
    instant retry_at{};
    bool in_flight{false};
};

/// The state and message handlers of the actor. It retries the functions of
/// `request/claim_store.hpp` with a backoff until they succeed. Runs on the
/// actor's thread only.
class claim_actor
{
public:
    claim_actor(caf::event_based_actor* self, request::claim_store store,
                claim_controller_options options,
                std::vector<caf::actor> workers);

    caf::behavior behavior();

private:
    using promise = caf::response_promise;

    void add_open(request::held_claim const& held);
    void add_uncertain(request::held_claim const& held);
    promise finish(request::claim_finish const& finish);
    promise stop(stop_request const& request);
    void on_end(end_result const& result);
    void on_withdraw(withdraw_result const& result);
    void on_delete(delete_result const& result);
    void tick();
    void pump();
    void pump_ends(instant now);
    void pump_uncertain(instant now);
    void pump_deletes();
    void pump_stop(instant now);
    void run(std::function<void()> job);
    duration backoff_after(int failures);
    claim_report report() const;

    caf::event_based_actor* self;
    request::claim_store store;
    claim_controller_options options;
    std::vector<caf::actor> workers;
    std::size_t next_worker{};
    std::unordered_map<request_id, open_claim> open;
    std::map<std::string, uncertain_claim> uncertain; ///< by ticket
    std::deque<request::expiring_claim> expiring;     ///< oldest first
    bool deleting{false};
    std::optional<promise> stopping;
    instant stop_until{};
};

} // namespace caperpath::controllers

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::request::begin_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::request::claim_finish)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::request::finish_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::end_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::withdraw_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::delete_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::claim_report)

#endif
