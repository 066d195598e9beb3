#ifndef CAPERPATH_SRC_CONTROLLERS_REQUEST_REPLY_HPP
#define CAPERPATH_SRC_CONTROLLERS_REQUEST_REPLY_HPP

#include <caperpath/base/clock.hpp>

#include <caf/actor_system.hpp>
#include <caf/function_view.hpp>
#include <caf/scoped_actor.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace caperpath::controllers
{

/// Sends `message` to `target` and waits up to `timeout` for the `Reply`.
/// Returns nothing on timeout or if the actor has ended. Blocks; thread safe.
/// @pre not called from an actor
template <class Reply, class Message>
std::optional<Reply> request_reply(caf::actor_system& system,
                                   caf::actor const& target, Message message,
                                   duration timeout)
{
    std::optional<Reply> result;
    caf::scoped_actor self{system};
    self->request(target, std::chrono::milliseconds{timeout.ms},
                  std::move(message))
        .receive([&](Reply const& reply) { result = reply; },
                 [](caf::error const&) {});
    return result;
}

} // namespace caperpath::controllers

#endif
