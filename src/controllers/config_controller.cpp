#include <caperpath/controllers/config_controller.hpp>

#include <caperpath/config/store.hpp>
#include <caperpath/config/view.hpp>

#include <caf/all.hpp>
#include <glog/logging.h>

#include <chrono>
#include <mutex>
#include <random>
#include <utility>
#include <variant>

namespace caperpath::controllers
{

// A mutex around the pointer rather than std::atomic<std::shared_ptr>: the one
// of GCC 12 releases its internal lock without ordering, which ThreadSanitizer
// reports as a race. The lock is held for the copy of two words.
struct config_controller::state
{
    mutable std::mutex mutex;
    config::view view;
    config_status counts;
    bool drain_ordered{false};

    config::view current_view() const
    {
        std::lock_guard const lock{this->mutex};
        return this->view;
    }

    bool take(std::shared_ptr<config::document const> const& offered)
    {
        std::lock_guard const lock{this->mutex};
        auto const next = config::with_document(this->view, offered);
        auto const newer = next.newest != this->view.newest;
        this->view = next;
        this->counts.loads += newer ? 1 : 0;
        return newer;
    }

    void take_answer(config::poll_answer const& answer)
    {
        std::lock_guard const lock{this->mutex};
        this->drain_ordered = this->drain_ordered || answer.drain_ordered;
        if (answer.current.version > 0)
        {
            this->view =
                config::with_store_version(this->view, answer.current.version);
        }
    }

    void count_poll(bool succeeded)
    {
        std::lock_guard const lock{this->mutex};
        ++this->counts.polls;
        this->counts.failed_polls += succeeded ? 0 : 1;
    }

    void count_refused_offer()
    {
        std::lock_guard const lock{this->mutex};
        ++this->counts.refused_offers;
    }
};

struct config_controller::actors
{
    caf::actor poller;
    caf::actor loader;
};

namespace
{

// Asks the store once and loads what is newer. Returns the error, if any.
template <class State>
std::variant<bool, error> poll_store(store::port const& store,
                                     incarnation_id const& self, State& state)
{
    return value_or_error(
        [&]() -> result<bool>
        {
            BOOST_LEAF_AUTO(answer, config::read_poll(store, self));
            // Before the load, so that a load that fails shows as a lag.
            state.take_answer(answer);
            auto const& pointer = answer.current;
            if (pointer.version == 0)
            {
                return false;
            }
            auto const held = state.current_view().newest;
            if (!held || held->version < pointer.version)
            {
                BOOST_LEAF_AUTO(loaded,
                                config::load_object(store, pointer.object));
                state.take(std::make_shared<config::document const>(
                    std::move(loaded)));
            }
            return true;
        });
}

// Runs on a thread of its own: a call to a slow store blocks for seconds and
// would hold one of the few threads that all other actors share.
template <class State>
caf::behavior make_loader(store::port store, incarnation_id self,
                          std::shared_ptr<State> state)
{
    return {[store = std::move(store), self = std::move(self),
             state = std::move(state)](caf::get_atom)
            {
                auto const outcome = poll_store(store, self, *state);
                auto const* problem = std::get_if<error>(&outcome);
                state->count_poll(problem == nullptr);
                if (problem != nullptr)
                {
                    LOG_EVERY_N(WARNING, 60)
                        << "configuration: " << to_string(*problem);
                }
                return problem == nullptr;
            }};
}

// One question at a time: a tick while one is open is dropped, so that a slow
// store is not asked the same thing by a growing queue.
struct poller_state
{
    std::minstd_rand random;
    bool asking{false};
    bool asked_again{false};
};

std::chrono::milliseconds next_wait(std::minstd_rand& random, duration interval)
{
    auto const least = interval.ms * 3 / 4;
    std::uniform_int_distribution<std::int64_t> spread{least,
                                                       least + interval.ms / 2};
    return std::chrono::milliseconds{spread(random)};
}

void ask(caf::stateful_actor<poller_state>* self, caf::actor const& loader)
{
    if (self->state.asking)
    {
        self->state.asked_again = true;
        return;
    }
    self->state.asking = true;
    auto const answered = [self, loader]
    {
        self->state.asking = false;
        if (std::exchange(self->state.asked_again, false))
        {
            ask(self, loader);
        }
    };
    self->request(loader, caf::infinite, caf::get_atom_v)
        .then([answered](bool) { answered(); },
              [answered](caf::error const&) { answered(); });
}

caf::behavior make_poller(caf::stateful_actor<poller_state>* self,
                          caf::actor const& loader,
                          config_controller_options const& options)
{
    self->state.random.seed(options.jitter_seed + 1);
    self->send(self, caf::tick_atom_v);
    return {[self, loader, options](caf::tick_atom)
            {
                ask(self, loader);
                auto const wait =
                    next_wait(self->state.random, options.poll_interval);
                self->delayed_send(self, wait, caf::tick_atom_v);
            },
            [self, loader](caf::update_atom)
            {
                ask(self, loader);
            }};
}

} // namespace

config_controller::config_controller(caf::actor_system& system,
                                     store::port store,
                                     config_controller_options options)
    : held{std::make_shared<state>()}, running{std::make_unique<actors>()}
{
    auto const shared = this->held;
    // CAF 0.17 binds a reference to a null tuple when a function is spawned
    // without arguments, and the undefined-behaviour sanitizer ends the
    // process; so what the function needs goes as arguments.
    auto const make = [](store::port const& port, incarnation_id const& self,
                         std::shared_ptr<state> const& state)
    {
        return make_loader(port, self, state);
    };
    this->running->loader = system.spawn<caf::detached>(
        make, std::move(store), options.incarnation, shared);
    this->running->poller =
        system.spawn(make_poller, this->running->loader, options);
}

config_controller::~config_controller()
{
    caf::anon_send_exit(this->running->poller, caf::exit_reason::user_shutdown);
    caf::anon_send_exit(this->running->loader, caf::exit_reason::user_shutdown);
}

config::port config_controller::port() const
{
    return {[shared = this->held]
            {
                return config::in_force(shared->current_view());
            }};
}

bool config_controller::ready() const
{
    return this->held->current_view().confirmed;
}

bool config_controller::drain_ordered() const
{
    std::lock_guard const lock{this->held->mutex};
    return this->held->drain_ordered;
}

config_status config_controller::status() const
{
    std::lock_guard const lock{this->held->mutex};
    auto made = this->held->counts;
    auto const served = config::in_force(this->held->view);
    made.version = served ? served->version : 0;
    made.store_version = this->held->view.store_version;
    made.lag = config::lag(this->held->view);
    return made;
}

bool config_controller::offer(std::string const& object,
                              std::string const& text)
{
    auto const parsed =
        value_or_error([&] { return config::read_object(object, text); });
    auto const* made = std::get_if<config::document>(&parsed);
    auto const taken =
        made != nullptr &&
        this->held->take(std::make_shared<config::document const>(*made));
    if (!taken)
    {
        this->held->count_refused_offer();
    }
    return taken;
}

void config_controller::poll_now()
{
    caf::anon_send(this->running->poller, caf::update_atom_v);
}

} // namespace caperpath::controllers
