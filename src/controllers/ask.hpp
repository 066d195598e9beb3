#ifndef CAPERPATH_SRC_CONTROLLERS_ASK_HPP
#define CAPERPATH_SRC_CONTROLLERS_ASK_HPP

#include <caperpath/base/clock.hpp>

#include <caf/actor_system.hpp>
#include <caf/function_view.hpp>
#include <caf/scoped_actor.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace caperpath::controllers
{

/// Sends `message` to `target` and blocks the calling thread, at most `bound`,
/// for the `Reply`. Nothing when no answer came in time or the actor is gone.
/// Thread safe; not to be called from an actor.
template <class Reply, class Message>
std::optional<Reply> ask(caf::actor_system& system, caf::actor const& target,
                         Message message, duration bound)
{
    std::optional<Reply> answer;
    caf::scoped_actor self{system};
    self->request(target, std::chrono::milliseconds{bound.ms},
                  std::move(message))
        .receive([&](Reply const& reply) { answer = reply; },
                 [](caf::error const&) {});
    return answer;
}

} // namespace caperpath::controllers

#endif
