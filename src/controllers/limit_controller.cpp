#include <caperpath/controllers/limit_controller.hpp>

#include "controllers/request_reply.hpp"

#include <caf/event_based_actor.hpp>
#include <caf/stateful_actor.hpp>

#include <unordered_map>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::routing::admit_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::routing::admit_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::routing::release_request)

namespace caperpath::controllers
{

namespace
{

using namespace routing;

// The actor does not block, so a longer wait means that the process is
// overloaded; rejecting sheds load.
constexpr duration reply_timeout{1'000};

struct limit_states
{
    std::unordered_map<customer_id, limit_state> customers;
};

caf::behavior limit_behavior(caf::stateful_actor<limit_states>* self,
                             clock const& time)
{
    return {
        [self, time](admit_request const& request)
        {
            auto& state = self->state.customers[request.customer];
            auto const decision =
                admit(state, request.bounds, request.tokens, time.now());
            state = decision.state;
            return admit_reply{decision.verdict, decision.retry_after};
        },
        [self](release_request const& request)
        {
            auto& state = self->state.customers[request.customer];
            state = release(state, request.bounds, request.unused);
        },
    };
}

} // namespace

routing::limit_port make_limit_port(caf::actor_system& system, clock time)
{
    auto const controller = system.spawn(limit_behavior, std::move(time));
    return {
        [&system, controller](admit_request const& request)
        {
            auto const reply = request_reply<admit_reply>(
                system, controller, request, reply_timeout);
            return reply.value_or(admit_reply{
                limit_verdict::concurrency_exceeded, reply_timeout});
        },
        [controller](release_request const& request)
        { caf::anon_send(controller, request); },
    };
}

} // namespace caperpath::controllers
