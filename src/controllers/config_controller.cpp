#include <caperpath/controllers/config_controller.hpp>

#include <caperpath/config/configuration_state.hpp>
#include <caperpath/config/store.hpp>

#include <caf/all.hpp>
#include <glog/logging.h>

#include <chrono>
#include <mutex>
#include <random>
#include <utility>
#include <variant>

namespace caperpath::controllers
{

// A mutex instead of std::atomic<std::shared_ptr>, because that of GCC 12
// releases its internal lock without ordering, which ThreadSanitizer reports as
// a race. The lock is held only for short copies.
struct config_controller::state
{
    mutable std::mutex mutex;
    config::configuration_state view;
    config_status counts;
    bool drain_commanded{false};

    config::configuration_state current_view() const
    {
        std::lock_guard const lock{this->mutex};
        return this->view;
    }

    bool accept_document(std::shared_ptr<config::document const> const& offered)
    {
        std::lock_guard const lock{this->mutex};
        auto const next = config::with_document(this->view, offered);
        auto const newer = next.newest != this->view.newest;
        this->view = next;
        this->counts.loads += newer ? 1 : 0;
        return newer;
    }

    void apply_poll(config::poll_response const& answer)
    {
        std::lock_guard const lock{this->mutex};
        this->drain_commanded = this->drain_commanded || answer.drain_commanded;
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

    void count_rejected_offer()
    {
        std::lock_guard const lock{this->mutex};
        ++this->counts.rejected_offers;
    }
};

struct config_controller::actors
{
    caf::actor poller;
    caf::actor loader;
};

namespace
{

// Polls the store once and loads a newer version. Returns the error, if any;
// otherwise whether the store has a version.
template <class State>
std::variant<bool, error> poll_store(store::port const& store,
                                     incarnation_id const& self, State& state)
{
    return value_or_error(
        [&]() -> result<bool>
        {
            BOOST_LEAF_AUTO(answer, config::read_poll(store, self));
            // Before the load, so that the lag metric shows a failed load.
            state.apply_poll(answer);
            auto const& pointer = answer.current;
            if (pointer.version == 0)
            {
                return false;
            }
            auto const newest = state.current_view().newest;
            if (!newest || newest->version < pointer.version)
            {
                BOOST_LEAF_AUTO(loaded,
                                config::load_object(store, pointer.object));
                state.accept_document(std::make_shared<config::document const>(
                    std::move(loaded)));
            }
            return true;
        });
}

// Runs on its own thread, since a call to a slow store can block for seconds
// and would occupy one of the few threads that the other actors share.
template <class State>
caf::behavior make_loader(store::port store, incarnation_id self,
                          std::shared_ptr<State> state)
{
    return {[store = std::move(store), self = std::move(self),
             state = std::move(state)](caf::get_atom)
            {
                auto const outcome = poll_store(store, self, *state);
                auto const* fault = std::get_if<error>(&outcome);
                state->count_poll(fault == nullptr);
                if (fault != nullptr)
                {
                    LOG_EVERY_N(WARNING, 60)
                        << "cannot poll the configuration: "
                        << to_string(*fault);
                }
                return fault == nullptr;
            }};
}

// At most one poll is open. Requests that arrive in the meantime are merged
// into one further poll, so no queue builds up behind a slow store.
struct poller_state
{
    std::minstd_rand random;
    bool poll_open{false};
    bool poll_again{false};
};

std::chrono::milliseconds next_delay(std::minstd_rand& random,
                                     duration interval)
{
    auto const least = interval.ms * 3 / 4;
    std::uniform_int_distribution<std::int64_t> spread{least,
                                                       least + interval.ms / 2};
    return std::chrono::milliseconds{spread(random)};
}

void poll(caf::stateful_actor<poller_state>* self, caf::actor const& loader)
{
    if (self->state.poll_open)
    {
        self->state.poll_again = true;
        return;
    }
    self->state.poll_open = true;
    auto const on_reply = [self, loader]
    {
        self->state.poll_open = false;
        if (std::exchange(self->state.poll_again, false))
        {
            poll(self, loader);
        }
    };
    self->request(loader, caf::infinite, caf::get_atom_v)
        .then([on_reply](bool) { on_reply(); },
              [on_reply](caf::error const&) { on_reply(); });
}

caf::behavior make_poller(caf::stateful_actor<poller_state>* self,
                          caf::actor const& loader,
                          config_controller_options const& options)
{
    self->state.random.seed(options.jitter_seed + 1);
    self->send(self, caf::tick_atom_v);
    return {[self, loader, options](caf::tick_atom)
            {
                poll(self, loader);
                auto const wait =
                    next_delay(self->state.random, options.poll_interval);
                self->delayed_send(self, wait, caf::tick_atom_v);
            },
            [self, loader](caf::update_atom)
            {
                poll(self, loader);
            }};
}

} // namespace

config_controller::config_controller(caf::actor_system& system,
                                     store::port store,
                                     config_controller_options options)
    : shared_state{std::make_shared<state>()}, owned_actors{
                                                   std::make_unique<actors>()}
{
    auto const shared = this->shared_state;
    // Spawned with arguments instead of captures: CAF 0.17.6 binds a reference
    // to a null tuple if there are no arguments, which is undefined behaviour.
    auto const make = [](store::port const& port, incarnation_id const& self,
                         std::shared_ptr<state> const& state)
    {
        return make_loader(port, self, state);
    };
    this->owned_actors->loader = system.spawn<caf::detached>(
        make, std::move(store), options.incarnation, shared);
    this->owned_actors->poller =
        system.spawn(make_poller, this->owned_actors->loader, options);
}

config_controller::~config_controller()
{
    caf::anon_send_exit(this->owned_actors->poller,
                        caf::exit_reason::user_shutdown);
    caf::anon_send_exit(this->owned_actors->loader,
                        caf::exit_reason::user_shutdown);
}

config::port config_controller::port() const
{
    return {[shared = this->shared_state]
            {
                return config::document_in_force(shared->current_view());
            }};
}

bool config_controller::ready() const
{
    return this->shared_state->current_view().confirmed;
}

bool config_controller::drain_commanded() const
{
    std::lock_guard const lock{this->shared_state->mutex};
    return this->shared_state->drain_commanded;
}

config_status config_controller::status() const
{
    std::lock_guard const lock{this->shared_state->mutex};
    auto result = this->shared_state->counts;
    auto const served = config::document_in_force(this->shared_state->view);
    result.version = served ? served->version : 0;
    result.store_version = this->shared_state->view.store_version;
    result.lag = config::version_lag(this->shared_state->view);
    return result;
}

bool config_controller::offer(std::string const& object,
                              std::string const& text)
{
    auto const parsed =
        value_or_error([&] { return config::read_object(object, text); });
    auto const* document = std::get_if<config::document>(&parsed);
    auto const accepted =
        document != nullptr &&
        this->shared_state->accept_document(
            std::make_shared<config::document const>(*document));
    if (!accepted)
    {
        this->shared_state->count_rejected_offer();
    }
    return accepted;
}

void config_controller::poll_now()
{
    caf::anon_send(this->owned_actors->poller, caf::update_atom_v);
}

} // namespace caperpath::controllers
