#include <caperpath/controllers/backend_controller.hpp>

#include "controllers/ask.hpp"

#include <caperpath/routing/policy.hpp>

#include <caf/event_based_actor.hpp>
#include <caf/stateful_actor.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace caperpath::controllers
{

struct list_request
{
};

struct configuration_message
{
    std::shared_ptr<config::document const> document;
};

} // namespace caperpath::controllers

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::routing::choose_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::routing::choose_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::routing::attempt_report)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::load_report)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::list_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(caperpath::controllers::configuration_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(std::vector<caperpath::routing::backend_view>)

namespace caperpath::controllers
{

namespace
{

using namespace routing;

constexpr duration longest_wait{1'000};

struct backend_state
{
    std::map<backend_server_id, backend_view> views;
    std::map<backend_server_id, config::backend_server> configured;
    request::retry_budget retries;
    std::uint64_t turn{0};
    std::mt19937_64 random;
};

using backend_actor = caf::stateful_actor<backend_state>;

// Counts of open requests survive a change of configuration: a server that
// stays must not look idle because an unrelated customer was added.
void reconfigure(backend_state& state, config::document const& document)
{
    std::map<backend_server_id, backend_view> views;
    for (auto const& [id, server] : document.backend_servers)
    {
        auto const known = state.views.find(id);
        auto view = known == state.views.end() ? backend_view{} : known->second;
        bool const moved = view.address != server.address;
        if (moved)
        {
            view = backend_view{};
        }
        view.id = id;
        view.address = server.address;
        view.serves = server.serves;
        view.failure_domain = server.failure_domain;
        view.leaving = server.leaving;
        views.emplace(id, std::move(view));
    }
    state.views = std::move(views);
    state.configured = document.backend_servers;
}

std::vector<backend_view const*>
candidates(backend_state const& state, choose_request const& asked, instant now)
{
    std::vector<backend_view const*> found;
    for (auto const& [id, view] : state.views)
    {
        bool const avoided = std::find(asked.avoid.begin(), asked.avoid.end(),
                                       id) != asked.avoid.end();
        bool const serves = view.serves == asked.serves &&
                            state.configured.at(id).kind == asked.kind;
        if (serves && !avoided && usable(view, now))
        {
            found.push_back(&view);
        }
    }
    return found;
}

choose_reply choose(backend_state& state, choose_request const& asked,
                    backend_options const& options)
{
    bool const retry = asked.attempt > 1;
    if (retry && !may_retry(state.retries))
    {
        return {choice::no_retry_left, {}, {}, {}};
    }
    auto const now = options.time.now();
    auto found = candidates(state, asked, now);
    if (found.empty() && !asked.avoid.empty())
    {
        // With a single server left a fresh connection to it may still work.
        auto again = asked;
        again.avoid.clear();
        found = candidates(state, again, now);
    }
    if (found.empty())
    {
        return {choice::none_usable, {}, {}, {}};
    }
    state.retries = retry ? spent(state.retries) : earned(state.retries);
    auto const policy = find_policy(asked.policy).value_or(&least_outstanding);
    choice_input const input{now, state.random(), state.turn++,
                             options.own_failure_domain};
    auto& view = state.views.at(found[policy(found, input)]->id);
    ++view.outstanding;
    return {choice::chosen, view.id, view.address, view.gaps};
}

void report(backend_state& state, attempt_report const& ended, instant now)
{
    auto const found = state.views.find(ended.id);
    if (found == state.views.end())
    {
        return;
    }
    auto& view = found->second;
    view.outstanding = std::max<std::int64_t>(view.outstanding - 1, 0);
    view.gaps = ended.gaps.seen > 0 ? ended.gaps : view.gaps;
    switch (ended.result)
    {
    case attempt_result::ok:
        view = succeeded(view);
        break;
    case attempt_result::failed:
        view = failed(view, now);
        break;
    case attempt_result::leaving:
        // Its own word comes sooner than the list or the next load report.
        view.leaving = true;
        break;
    case attempt_result::overloaded:
    case attempt_result::abandoned:
        break;
    }
}

void take_load(backend_state& state, load_report const& load, instant now)
{
    auto const found = state.views.find(load.id);
    if (found == state.views.end() || !load.answered)
    {
        return;
    }
    auto& view = found->second;
    view.reported_running = load.running;
    view.reported_queued = load.queued;
    view.slots = load.slots;
    view.reported_at = now - load.age;
    view.leaving = load.leaving || state.configured.at(load.id).leaving;
}

caf::behavior backend_behavior(backend_actor* self,
                               backend_options const& options)
{
    self->state.random.seed(options.seed);
    return {
        [self, options](choose_request const& asked)
        { return choose(self->state, asked, options); },
        [self, options](attempt_report const& ended)
        { report(self->state, ended, options.time.now()); },
        [self, options](load_report const& load)
        { take_load(self->state, load, options.time.now()); },
        [self](configuration_message const& newer)
        { reconfigure(self->state, *newer.document); },
        [self](list_request const&)
        {
            std::vector<backend_view> views;
            for (auto const& [id, view] : self->state.views)
            {
                views.push_back(view);
            }
            return views;
        },
    };
}

} // namespace

caf::actor spawn_backend_controller(caf::actor_system& system,
                                    backend_options options)
{
    return system.spawn(backend_behavior, std::move(options));
}

routing::backend_port make_backend_port(caf::actor_system& system,
                                        caf::actor const& controller)
{
    return {
        [&system, controller](choose_request const& asked)
        {
            auto const reply =
                ask<choose_reply>(system, controller, asked, longest_wait);
            return reply.value_or(choose_reply{});
        },
        [controller](attempt_report const& ended)
        { caf::anon_send(controller, ended); },
    };
}

std::vector<routing::backend_view> list_backends(caf::actor_system& system,
                                                 caf::actor const& controller)
{
    auto const views = ask<std::vector<backend_view>>(
        system, controller, list_request{}, longest_wait);
    return views.value_or(std::vector<backend_view>{});
}

void send_configuration(caf::actor const& controller,
                        std::shared_ptr<config::document const> document)
{
    caf::anon_send(controller, configuration_message{std::move(document)});
}

void send_load_report(caf::actor const& controller, load_report report)
{
    caf::anon_send(controller, std::move(report));
}

} // namespace caperpath::controllers
