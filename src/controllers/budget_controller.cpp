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

/// The controller answers when the caller's wait ends. These only bound a call
/// to a controller that has ended or is swamped.
constexpr duration answer_margin{5'000};
constexpr duration finish_margin{10'000};
constexpr duration ask_again{1'000};

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

budget::reserve_reply reserve_through(caf::actor_system& system,
                                      caf::actor const& controller,
                                      budget::reserve_request const& request)
{
    budget::reserve_reply reply{reserve_verdict::undecidable, ask_again};
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(request.wait + answer_margin), request)
        .receive([&reply](budget::reserve_reply const& got) { reply = got; },
                 [&self, &controller, &request](caf::error const&)
                 {
                     // The reservation may have been admitted after all. Left
                     // open it would hold its tokens for good.
                     self->send(controller, cancel_request{request.budget,
                                                           request.request});
                 });
    return reply;
}

bill_state finish_through(caf::actor_system& system,
                          caf::actor const& controller,
                          budget::finish_request const& request)
{
    auto state = bill_state::local;
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(finish_margin), request)
        .receive([&state](bill_state got) { state = got; },
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
    budget::port made;
    made.reserve = [&system, controller](budget::reserve_request const& request)
    {
        return reserve_through(system, controller, request);
    };
    made.finish = [&system, controller](budget::finish_request const& request)
    {
        return finish_through(system, controller, request);
    };
    return made;
}

budget_report report_budgets(caf::actor_system& system,
                             caf::actor const& controller)
{
    budget_report report;
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(answer_margin), report_request{})
        .receive([&report](budget_report const& got) { report = got; },
                 [](caf::error const&) {});
    return report;
}

budget_report stop_budgets(caf::actor_system& system,
                           caf::actor const& controller, duration bound)
{
    budget_report report;
    caf::scoped_actor self{system};
    self->request(controller, to_chrono(bound + answer_margin),
                  stop_request{bound})
        .receive([&report](budget_report const& got) { report = got; },
                 [](caf::error const&) {});
    return report;
}

} // namespace caperpath::controllers
