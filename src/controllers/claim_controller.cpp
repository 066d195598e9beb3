#include <caperpath/controllers/claim_controller.hpp>

#include "claim_actor.hpp"

#include <caperpath/budget/rows.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

namespace caperpath::controllers
{

namespace
{

using request::finish_result;

/// The controller replies within its own time limit. This margin limits a call
/// to a controller that has ended or is overloaded.
constexpr duration reply_margin{10'000};
constexpr duration bind_poll{20};

std::chrono::milliseconds to_chrono(duration span)
{
    return std::chrono::milliseconds{span.ms};
}

/// A worker makes blocking calls, so it has its own thread. CAF 0.17.6 forms a
/// reference from a null pointer if an actor's function takes no argument, so
/// the worker takes an unused number.
caf::behavior worker_behavior(std::size_t)
{
    return {[](table_job const& job)
            {
                job.run();
            }};
}

/// Runs calls on the workers in rotation and waits for them. This limits the
/// connections to the platform to one per worker, however many requests run.
class worker_pool
{
public:
    explicit worker_pool(std::vector<caf::actor> workers)
        : workers{std::move(workers)}
    {
    }

    /// Blocks. Returns `fallback` if the call does not end within
    /// `reply_margin`, for example because the workers have stopped.
    template <class F, class T>
    T call(F job, T fallback)
    {
        auto const promise = std::make_shared<std::promise<T>>();
        auto pending_result = promise->get_future();
        auto const turn = this->next.fetch_add(1);
        caf::anon_send(this->workers[turn % this->workers.size()],
                       table_job{[promise, job = std::move(job)]
                                 {
                                     promise->set_value(job());
                                 }});
        if (pending_result.wait_for(to_chrono(reply_margin)) !=
            std::future_status::ready)
        {
            return fallback;
        }
        return pending_result.get();
    }

private:
    std::vector<caf::actor> workers;
    std::atomic<std::size_t> next{0};
};

error incomplete_error(char const* step)
{
    return {error_kind::unavailable, step, "table",
            "the workers have stopped or are unresponsive"};
}

template <class T, class F>
result<T> read_on_worker(worker_pool& pool, char const* step, F read)
{
    using value_or_failure = std::variant<T, error>;
    auto received = pool.call([read] { return value_or_error(read); },
                              value_or_failure{incomplete_error(step)});
    if (auto* const fault = std::get_if<error>(&received))
    {
        return fail(std::move(*fault));
    }
    return std::move(std::get<T>(received));
}

store::port make_worker_port(store::port const& inner,
                             std::shared_ptr<worker_pool> const& pool)
{
    // A call that timed out may still run, so its result is unknown.
    store::commit_result const unknown{
        store::commit_outcome::unknown, {}, incomplete_error("commit")};
    auto outer = inner;
    outer.commit = [inner, pool, unknown](store::transaction const& txn)
    {
        return pool->call([inner, txn] { return inner.commit(txn); }, unknown);
    };
    outer.read = [inner, pool](std::vector<std::string> const& keys)
    {
        return read_on_worker<std::vector<store::row>>(
            *pool, "read", [inner, keys] { return inner.read(keys); });
    };
    outer.get_object = [inner, pool](std::string const& name)
    {
        return read_on_worker<std::string>(*pool, "get object",
                                           [inner, name]
                                           { return inner.get_object(name); });
    };
    return outer;
}

/// The finaliser of splitmix64: uniform numbers from a counter.
std::uint64_t splitmix64(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

request::claim_store make_claim_store(claim_controller_options const& options,
                                      store::port platform)
{
    auto const counter = std::make_shared<std::atomic<std::uint64_t>>(0);
    auto const seed = options.seed;
    return {std::move(platform),
            options.claims,
            options.time,
            options.wall,
            [](duration span) { std::this_thread::sleep_for(to_chrono(span)); },
            [counter, seed]
            {
                return splitmix64(seed + counter->fetch_add(1));
            }};
}

bool is_active(store::row const& row)
{
    auto const decoded =
        value_or_error([&] { return budget::decode_holder(row.value); });
    auto const* const holder = std::get_if<budget::holder_row>(&decoded);
    return holder != nullptr && holder->state == budget::holder_state::active;
}

struct claim_actor_state
{
    std::unique_ptr<claim_actor> implementation;
};

caf::behavior start(caf::stateful_actor<claim_actor_state>* self,
                    request::claim_store store,
                    claim_controller_options options,
                    std::vector<caf::actor> workers)
{
    self->state.implementation = std::make_unique<claim_actor>(
        self, std::move(store), std::move(options), std::move(workers));
    return self->state.implementation->behavior();
}

} // namespace

class claim_controller::impl
{
public:
    impl(caf::actor_system& system, claim_controller_options given)
        : system{system}, options{std::move(given)}
    {
        std::vector<caf::actor> workers;
        for (std::size_t i = 0; i < this->options.workers; ++i)
        {
            workers.push_back(system.spawn<caf::detached>(worker_behavior, i));
        }
        auto const pool = std::make_shared<worker_pool>(workers);
        this->store = make_claim_store(
            this->options, make_worker_port(this->options.platform, pool));
        this->actor = system.spawn(
            start, make_claim_store(this->options, this->options.platform),
            this->options, workers);
    }

    request::claim_reply begin(request::claim_request const& asked);
    finish_result finish(request::claim_finish const& finish);
    claim_report request_report(stop_request const* stop);

    bool stopped{false};

private:
    std::uint64_t await_holder_version(instant until);

    caf::actor_system& system;
    claim_controller_options options;
    request::claim_store store;
    caf::actor actor;
    std::atomic<std::uint64_t> holder_version{0};
    std::atomic<std::uint64_t> tickets{0};
};

// Waits for the active holder row and returns its version; 0 if there is none
// by `until`. Read once, since it does not change while this process may act.
std::uint64_t claim_controller::impl::await_holder_version(instant until)
{
    auto const key = budget::holder_key(this->options.incarnation);
    while (this->holder_version.load() == 0)
    {
        auto const outcome =
            value_or_error([&] { return this->store.platform.read({key}); });
        auto const* rows = std::get_if<std::vector<store::row>>(&outcome);
        if (rows != nullptr && !rows->empty() && is_active(rows->front()))
        {
            this->holder_version = rows->front().version;
            break;
        }
        if (this->options.time.now() >= until)
        {
            break;
        }
        this->store.pause(bind_poll);
    }
    return this->holder_version.load();
}

request::claim_reply
claim_controller::impl::begin(request::claim_request const& asked)
{
    auto const version =
        this->await_holder_version(this->options.time.now() + asked.wait);
    if (version == 0)
    {
        request::claim_reply reply;
        reply.retry_after = this->options.claims.retry_after;
        return reply;
    }
    request::claimant const self{this->options.incarnation, version,
                                 this->options.incarnation.value + "-" +
                                     std::to_string(++this->tickets)};
    auto begun = request::begin_claim(this->store, asked, self);
    auto reply = begun.reply;
    if (begun.held || begun.uncertain)
    {
        caf::anon_send(this->actor, std::move(begun));
    }
    return reply;
}

finish_result
claim_controller::impl::finish(request::claim_finish const& finish)
{
    auto end = finish_result::pending;
    caf::scoped_actor self{this->system};
    self->request(this->actor,
                  to_chrono(this->options.finish_wait + reply_margin), finish)
        .receive([&end](finish_result received) { end = received; },
                 [](caf::error const&) {});
    return end;
}

claim_report claim_controller::impl::request_report(stop_request const* stop)
{
    claim_report report;
    caf::scoped_actor self{this->system};
    auto const on_report = [&report](claim_report const& received)
    {
        report = received;
    };
    auto const on_error = [](caf::error const&) {
    };
    if (stop == nullptr)
    {
        self->request(this->actor, to_chrono(reply_margin), report_request{})
            .receive(on_report, on_error);
        return report;
    }
    self->request(this->actor, to_chrono(stop->bound + reply_margin), *stop)
        .receive(on_report, on_error);
    return report;
}

claim_controller::claim_controller(caf::actor_system& system,
                                   claim_controller_options options)
    : pimpl{std::make_unique<impl>(system, std::move(options))}
{
}

claim_controller::~claim_controller()
{
    if (!this->pimpl->stopped)
    {
        this->stop({0});
    }
}

request::claim_port claim_controller::port()
{
    auto* const target = this->pimpl.get();
    return {[target](request::claim_request const& asked)
            { return target->begin(asked); },
            [target](request::claim_finish const& finish)
            {
                return target->finish(finish);
            }};
}

claim_report claim_controller::report() const
{
    return this->pimpl->request_report(nullptr);
}

claim_report claim_controller::stop(duration bound)
{
    this->pimpl->stopped = true;
    stop_request const request{bound};
    return this->pimpl->request_report(&request);
}

} // namespace caperpath::controllers
