#include <caperpath/controllers/limit_controller.hpp>

#include "controllers/ask.hpp"

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

// The actor works in memory only; a longer wait means that the process itself
// is starved, and then refusing is right.
constexpr duration longest_wait{1'000};

struct limit_states
{
    std::unordered_map<customer_id, limit_state> customers;
};

caf::behavior limit_behavior(caf::stateful_actor<limit_states>* self,
                             clock const& time)
{
    return {
        [self, time](admit_request const& asked)
        {
            auto& state = self->state.customers[asked.customer];
            auto const decision =
                admit(state, asked.bounds, asked.tokens, time.now());
            state = decision.state;
            return admit_reply{decision.verdict, decision.retry_after};
        },
        [self](release_request const& ended)
        {
            auto& state = self->state.customers[ended.customer];
            state = released(state, ended.bounds, ended.unused);
        },
    };
}

} // namespace

routing::limit_port make_limit_port(caf::actor_system& system, clock time)
{
    auto const controller = system.spawn(limit_behavior, std::move(time));
    return {
        [&system, controller](admit_request const& asked)
        {
            auto const reply =
                ask<admit_reply>(system, controller, asked, longest_wait);
            return reply.value_or(
                admit_reply{limit_verdict::too_many_open, longest_wait});
        },
        [controller](release_request const& ended)
        { caf::anon_send(controller, ended); },
    };
}

} // namespace caperpath::controllers
