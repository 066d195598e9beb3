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

using request::claim_end;

/// The controller answers when its own bound ends. This only bounds a call to
/// one that has ended or is swamped.
constexpr duration answer_margin{10'000};
constexpr duration bind_poll{20};

std::chrono::milliseconds to_chrono(duration span)
{
    return std::chrono::milliseconds{span.ms};
}

/// A worker spends its life in blocking calls; each has its own thread. CAF
/// reads a null pointer when a function without arguments is spawned, so the
/// worker gets its number.
caf::behavior worker_behavior(std::size_t)
{
    return {[](table_job const& job)
            {
                job.run();
            }};
}

/// Hands calls to the workers in turn and waits for them, so that a thousand
/// requests open a few connections to the platform and not a thousand.
class worker_gate
{
public:
    explicit worker_gate(std::vector<caf::actor> workers)
        : workers{std::move(workers)}
    {
    }

    /// Blocks. Gives `ended` when the workers have ended.
    template <class F, class T>
    T call(F job, T ended)
    {
        auto const answer = std::make_shared<std::promise<T>>();
        auto waiting = answer->get_future();
        auto const turn = this->next.fetch_add(1);
        caf::anon_send(this->workers[turn % this->workers.size()],
                       table_job{[answer, job = std::move(job)]
                                 {
                                     answer->set_value(job());
                                 }});
        if (waiting.wait_for(to_chrono(answer_margin)) !=
            std::future_status::ready)
        {
            return ended;
        }
        return waiting.get();
    }

private:
    std::vector<caf::actor> workers;
    std::atomic<std::size_t> next{0};
};

error ended_error(char const* step)
{
    return {error_kind::unavailable, step, "table", "the workers have ended"};
}

template <class T, class F>
result<T> read_through(worker_gate& gate, char const* step, F read)
{
    using both = std::variant<T, error>;
    auto got = gate.call([read] { return value_or_error(read); },
                         both{ended_error(step)});
    if (auto* const fault = std::get_if<error>(&got))
    {
        return fail(std::move(*fault));
    }
    return std::move(std::get<T>(got));
}

store::port through_workers(store::port const& inner,
                            std::shared_ptr<worker_gate> const& gate)
{
    // Given up on, the call may still run: nothing is known of its effect.
    store::commit_result const lost{
        store::commit_outcome::unknown, {}, ended_error("commit")};
    auto outer = inner;
    outer.commit = [inner, gate, lost](store::transaction const& txn)
    {
        return gate->call([inner, txn] { return inner.commit(txn); }, lost);
    };
    outer.read = [inner, gate](std::vector<std::string> const& keys)
    {
        return read_through<std::vector<store::row>>(
            *gate, "read", [inner, keys] { return inner.read(keys); });
    };
    outer.get_object = [inner, gate](std::string const& name)
    {
        return read_through<std::string>(*gate, "get object",
                                         [inner, name]
                                         { return inner.get_object(name); });
    };
    return outer;
}

/// Evenly spread numbers from a counter (the finaliser of splitmix64).
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

request::claim_store store_of(claim_controller_options const& options,
                              store::port platform)
{
    auto const drawn = std::make_shared<std::atomic<std::uint64_t>>(0);
    auto const seed = options.seed;
    return {std::move(platform),
            options.claims,
            options.time,
            options.wall,
            [](duration span) { std::this_thread::sleep_for(to_chrono(span)); },
            [drawn, seed]
            {
                return mixed(seed + drawn->fetch_add(1));
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

class claim_controller::parts
{
public:
    parts(caf::actor_system& system, claim_controller_options given)
        : system{system}, options{std::move(given)}
    {
        std::vector<caf::actor> workers;
        for (std::size_t i = 0; i < this->options.workers; ++i)
        {
            workers.push_back(system.spawn<caf::detached>(worker_behavior, i));
        }
        auto const gate = std::make_shared<worker_gate>(workers);
        this->store = store_of(this->options,
                               through_workers(this->options.platform, gate));
        this->actor =
            system.spawn(start, store_of(this->options, this->options.platform),
                         this->options, workers);
    }

    request::claim_reply begin(request::claim_request const& asked);
    claim_end finish(request::claim_finish const& finish);
    claim_report ask(stop_request const* stop);

    bool stopped{false};

private:
    std::uint64_t bound_version(instant until);

    caf::actor_system& system;
    claim_controller_options options;
    request::claim_store store;
    caf::actor actor;
    std::atomic<std::uint64_t> holder_version{0};
    std::atomic<std::uint64_t> tickets{0};
};

// 0 when the holder row is not there in time. It never changes while this
// process may act, so it is read once.
std::uint64_t claim_controller::parts::bound_version(instant until)
{
    auto const key = budget::holder_key(this->options.incarnation);
    while (this->holder_version.load() == 0)
    {
        auto const both =
            value_or_error([&] { return this->store.platform.read({key}); });
        auto const* rows = std::get_if<std::vector<store::row>>(&both);
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
claim_controller::parts::begin(request::claim_request const& asked)
{
    auto const version =
        this->bound_version(this->options.time.now() + asked.wait);
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
    if (begun.held || begun.doubtful)
    {
        caf::anon_send(this->actor, std::move(begun));
    }
    return reply;
}

claim_end claim_controller::parts::finish(request::claim_finish const& finish)
{
    auto end = claim_end::pending;
    caf::scoped_actor self{this->system};
    self->request(this->actor,
                  to_chrono(this->options.finish_wait + answer_margin), finish)
        .receive([&end](claim_end got) { end = got; },
                 [](caf::error const&) {});
    return end;
}

claim_report claim_controller::parts::ask(stop_request const* stop)
{
    claim_report report;
    caf::scoped_actor self{this->system};
    auto const take = [&report](claim_report const& got)
    {
        report = got;
    };
    auto const ignore = [](caf::error const&) {
    };
    if (stop == nullptr)
    {
        self->request(this->actor, to_chrono(answer_margin), report_request{})
            .receive(take, ignore);
        return report;
    }
    self->request(this->actor, to_chrono(stop->bound + answer_margin), *stop)
        .receive(take, ignore);
    return report;
}

claim_controller::claim_controller(caf::actor_system& system,
                                   claim_controller_options options)
    : inside{std::make_unique<parts>(system, std::move(options))}
{
}

claim_controller::~claim_controller()
{
    if (!this->inside->stopped)
    {
        this->stop({0});
    }
}

request::claim_port claim_controller::port()
{
    auto* const all = this->inside.get();
    return {[all](request::claim_request const& asked)
            { return all->begin(asked); },
            [all](request::claim_finish const& finish)
            {
                return all->finish(finish);
            }};
}

claim_report claim_controller::report() const
{
    return this->inside->ask(nullptr);
}

claim_report claim_controller::stop(duration bound)
{
    this->inside->stopped = true;
    stop_request const request{bound};
    return this->inside->ask(&request);
}

} // namespace caperpath::controllers
