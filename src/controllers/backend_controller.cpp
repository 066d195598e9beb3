#include <caperpath/controllers/backend_controller.hpp>

#include "controllers/request_reply.hpp"

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

constexpr duration reply_timeout{1'000};

struct backend_state
{
    std::map<backend_server_id, backend_view> views;
    std::map<backend_server_id, config::backend_server> configured;
    request::retry_budget retries;
    std::uint64_t turn{0};
    std::mt19937_64 random;
};

using backend_actor = caf::stateful_actor<backend_state>;

// Keeps the views of unchanged servers: otherwise a server with open requests
// would look idle after every configuration change.
void reconfigure(backend_state& state, config::document const& document)
{
    std::map<backend_server_id, backend_view> views;
    for (auto const& [id, server] : document.backend_servers)
    {
        auto const known = state.views.find(id);
        auto view = known == state.views.end() ? backend_view{} : known->second;
        bool const address_changed = view.address != server.address;
        if (address_changed)
        {
            view = backend_view{};
        }
        view.id = id;
        view.address = server.address;
        view.serves = server.serves;
        view.failure_domain = server.failure_domain;
        view.draining = server.draining;
        views.emplace(id, std::move(view));
    }
    state.views = std::move(views);
    state.configured = document.backend_servers;
}

std::vector<backend_view const*> candidates(backend_state const& state,
                                            choose_request const& request,
                                            instant now)
{
    std::vector<backend_view const*> found;
    for (auto const& [id, view] : state.views)
    {
        bool const avoided =
            std::find(request.excluded.begin(), request.excluded.end(), id) !=
            request.excluded.end();
        bool const serves = view.serves == request.serves &&
                            state.configured.at(id).kind == request.kind;
        if (serves && !avoided && usable(view, now))
        {
            found.push_back(&view);
        }
    }
    return found;
}

choose_reply choose(backend_state& state, choose_request const& request,
                    backend_options const& options)
{
    bool const retry = request.attempt > 1;
    if (retry && !may_retry(state.retries))
    {
        return {choice::no_retry_left, {}, {}, {}};
    }
    auto const now = options.time.now();
    auto found = candidates(state, request, now);
    if (found.empty() && !request.excluded.empty())
    {
        // Retry on a server already tried: a new connection to it may work.
        auto unrestricted = request;
        unrestricted.excluded.clear();
        found = candidates(state, unrestricted, now);
    }
    if (found.empty())
    {
        return {choice::none_usable, {}, {}, {}};
    }
    state.retries =
        retry ? debit_retry(state.retries) : credit_request(state.retries);
    auto const policy =
        find_policy(request.policy).value_or(&least_outstanding);
    choice_input const input{now, state.random(), state.turn++,
                             options.own_failure_domain};
    auto& view = state.views.at(found[policy(found, input)]->id);
    ++view.outstanding;
    return {choice::chosen, view.id, view.address, view.gaps};
}

void report(backend_state& state, attempt_report const& attempt, instant now)
{
    auto const found = state.views.find(attempt.id);
    if (found == state.views.end())
    {
        return;
    }
    auto& view = found->second;
    view.outstanding = std::max<std::int64_t>(view.outstanding - 1, 0);
    view.gaps = attempt.gaps.gap_count > 0 ? attempt.gaps : view.gaps;
    switch (attempt.result)
    {
    case attempt_result::ok:
        view = record_success(view);
        break;
    case attempt_result::failed:
        view = record_failure(view, now);
        break;
    case attempt_result::draining:
        // This arrives before the server list or the next load report.
        view.draining = true;
        break;
    case attempt_result::overloaded:
    case attempt_result::abandoned:
        break;
    }
}

void apply_load_report(backend_state& state, load_report const& load,
                       instant now)
{
    auto const found = state.views.find(load.id);
    if (found == state.views.end() || !load.responded)
    {
        return;
    }
    auto& view = found->second;
    view.reported_running = load.running;
    view.reported_queued = load.queued;
    view.slots = load.slots;
    view.reported_at = now - load.age;
    view.draining = load.draining || state.configured.at(load.id).draining;
}

caf::behavior backend_behavior(backend_actor* self,
                               backend_options const& options)
{
    self->state.random.seed(options.seed);
    return {
        [self, options](choose_request const& request)
        { return choose(self->state, request, options); },
        [self, options](attempt_report const& attempt)
        { report(self->state, attempt, options.time.now()); },
        [self, options](load_report const& load)
        { apply_load_report(self->state, load, options.time.now()); },
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
        [&system, controller](choose_request const& request)
        {
            auto const reply = request_reply<choose_reply>(
                system, controller, request, reply_timeout);
            return reply.value_or(choose_reply{});
        },
        [controller](attempt_report const& attempt)
        { caf::anon_send(controller, attempt); },
    };
}

std::vector<routing::backend_view> list_backends(caf::actor_system& system,
                                                 caf::actor const& controller)
{
    auto const views = request_reply<std::vector<backend_view>>(
        system, controller, list_request{}, reply_timeout);
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
