#include <caperpath/controllers/budget_controller.hpp>

#include "budget_actor.hpp"

#include <chrono>
#include <memory>
#include <utility>

namespace caperpath::controllers
{

namespace
{

using budget::bill_state;
using budget::reserve_verdict;

/// The controller replies when the caller's wait ends. These margins limit a
/// call to a controller that has ended or is overloaded.
constexpr duration reply_margin{5'000};
constexpr duration finish_margin{10'000};
constexpr duration default_retry_after{1'000};

std::chrono::milliseconds to_chrono(duration span)
{
    return std::chrono::milliseconds{span.ms};
}

struct actor_state
{
    std::unique_ptr<budget_actor> implementation;
};

caf::behavior start(caf::stateful_actor<actor_state>* self,
                    budget_options options)
{
    self->state.implementation =
        std::make_unique<budget_actor>(self, std::move(options));
    return self->state.implementation->behavior();
}

budget::reserve_reply
request_reservation(caf::actor_system& system, caf::actor const& controller,
                    budget::reserve_request const& request)
{
    budget::reserve_reply reply{reserve_verdict::undecidable,
                                default_retry_after};
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(request.wait + reply_margin), request)
        .receive([&reply](budget::reserve_reply const& received)
                 { reply = received; },
                 [&self, &controller, &request](caf::error const&)
                 {
                     // The controller may still admit the reservation, which
                     // would then hold its tokens forever.
                     self->send(controller, cancel_request{request.budget,
                                                           request.request});
                 });
    return reply;
}

bill_state request_finish(caf::actor_system& system,
                          caf::actor const& controller,
                          budget::finish_request const& request)
{
    auto state = bill_state::local;
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(finish_margin), request)
        .receive([&state](bill_state received) { state = received; },
                 [](caf::error const&) {});
    return state;
}

} // namespace

budget_options_builder::budget_options_builder(incarnation_id incarnation,
                                               store::port platform)
{
    this->options.incarnation = std::move(incarnation);
    this->options.platform = std::move(platform);
}

budget_options_builder&
budget_options_builder::with_address(std::string address)
{
    this->options.address = std::move(address);
    return *this;
}

budget_options_builder&
budget_options_builder::with_failure_domain(failure_domain_id name)
{
    this->options.failure_domain = std::move(name);
    return *this;
}

budget_options_builder&
budget_options_builder::with_clock(caperpath::clock clock)
{
    this->options.clock = std::move(clock);
    return *this;
}

budget_options_builder&
budget_options_builder::with_settle(budget::settle_options settle)
{
    this->options.settle = settle;
    return *this;
}

budget_options_builder& budget_options_builder::with_sizes(budget::sizing sizes)
{
    this->options.sizes = sizes;
    return *this;
}

budget_options_builder& budget_options_builder::with_workers(std::size_t count)
{
    this->options.workers = count;
    return *this;
}

budget_options_builder& budget_options_builder::with_tick(duration tick)
{
    this->options.tick = tick;
    return *this;
}

budget_options_builder& budget_options_builder::with_durable_wait(duration wait)
{
    this->options.durable_wait = wait;
    return *this;
}

budget_options_builder& budget_options_builder::with_sweep(duration interval,
                                                           duration list_lag)
{
    this->options.sweep_interval = interval;
    this->options.list_lag = list_lag;
    return *this;
}

budget_options budget_options_builder::build() const
{
    return this->options;
}

caf::actor spawn_budget_controller(caf::actor_system& system,
                                   budget_options options)
{
    return system.spawn(start, std::move(options));
}

budget::port make_budget_port(caf::actor_system& system,
                              caf::actor const& controller)
{
    budget::port port;
    port.reserve = [&system, controller](budget::reserve_request const& request)
    {
        return request_reservation(system, controller, request);
    };
    port.finish = [&system, controller](budget::finish_request const& request)
    {
        return request_finish(system, controller, request);
    };
    return port;
}

budget_report report_budgets(caf::actor_system& system,
                             caf::actor const& controller)
{
    budget_report report;
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(reply_margin), report_request{})
        .receive([&report](budget_report const& received)
                 { report = received; },
                 [](caf::error const&) {});
    return report;
}

budget_report stop_budgets(caf::actor_system& system,
                           caf::actor const& controller, duration bound)
{
    budget_report report;
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(bound + reply_margin),
                  stop_request{bound})
        .receive([&report](budget_report const& received)
                 { report = received; },
                 [](caf::error const&) {});
    return report;
}

} // namespace caperpath::controllers
