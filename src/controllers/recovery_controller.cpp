#include <caperpath/controllers/recovery_controller.hpp>

#include <caperpath/observe/log.hpp>

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/stateful_actor.hpp>

#include <chrono>
#include <random>
#include <utility>

namespace caperpath::controllers
{

struct recovery_tick
{
};

} // namespace caperpath::controllers

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::recovery_tick)

namespace caperpath::controllers
{

namespace
{

struct recovery_state
{
    budget::recovery_memory memory;
    std::mt19937_64 random;
};

using recovery_actor = caf::stateful_actor<recovery_state>;

void log_round(budget::recovery_round const& round)
{
    for (auto const& proof : round.recovered)
    {
        observe::log_info({"recover", {}, proof.incarnation.value},
                          "took back the shares of a dead router");
    }
    for (auto const& fault : round.faults)
    {
        observe::log_fault("", fault);
    }
}

std::chrono::milliseconds draw_pause(recovery_state& state, duration interval)
{
    std::uniform_int_distribution<std::int64_t> pause{
        interval.ms / 2, interval.ms + interval.ms / 2};
    return std::chrono::milliseconds{pause(state.random)};
}

caf::behavior recovery_behavior(recovery_actor* self,
                                recovery_controller_options const& options)
{
    self->state.random.seed(options.seed);
    self->send(self, recovery_tick{});
    return {[self, options](recovery_tick const&)
            {
                auto round = budget::run_recovery_round(
                    options.platform, options.recovery,
                    std::move(self->state.memory), options.time.now());
                log_round(round);
                self->state.memory = std::move(round.memory);
                self->delayed_send(self,
                                   draw_pause(self->state, options.interval),
                                   recovery_tick{});
            }};
}

} // namespace

caf::actor spawn_recovery_controller(caf::actor_system& system,
                                     recovery_controller_options options)
{
    return system.spawn<caf::detached>(recovery_behavior, std::move(options));
}

} // namespace caperpath::controllers
