#include "ctl/verbs.hpp"

#include <caperpath/base/http_status.hpp>

#include <CLI/CLI.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

constexpr int number_attempts = 20;
constexpr auto orders_path = "/orders";

struct engine_options
{
    std::string engine;
    std::string argument;
};

struct engine_order
{
    std::string kind;
    std::string member; ///< name of the argument in the order, empty: none
    bool leaving{};     ///< routers are told first
};

std::int64_t number_in(std::vector<store::row> const& rows)
{
    if (rows.empty())
    {
        return 0;
    }
    auto const value = json::parse(rows.front().value, nullptr, false);
    return value.is_object() ? value.value("number", std::int64_t{0}) : 0;
}

// The next fencing number of an engine. Two operators never get the same one;
// a number whose answer was lost is left unused, which harms nothing.
result<std::int64_t> next_number(store::port const& port,
                                 std::string const& engine)
{
    auto const key = "fencing/" + engine;
    error last;
    for (int attempt = 0; attempt < number_attempts; ++attempt)
    {
        BOOST_LEAF_AUTO(rows, port.read({key}));
        auto const version = rows.empty() ? 0 : rows.front().version;
        auto const number = number_in(rows) + 1;
        auto const outcome = port.commit(
            {{{key, version}}, {{key, json{{"number", number}}.dump()}}});
        if (outcome.outcome == store::commit_outcome::applied)
        {
            return number;
        }
        last = outcome.fault;
    }
    // No order was sent, whatever became of the number.
    last.kind = error_kind::unavailable;
    last.step = "take fencing number";
    return fail(last);
}

// What an engine's answer to an order means.
std::optional<error> problem_of(http_answer const& answer,
                                std::string const& address)
{
    if (answer.status >= http_ok && answer.status < http_ok + 100)
    {
        return std::nullopt;
    }
    if (answer.status == http_conflict)
    {
        return error{error_kind::conflict, "order", address,
                     "a later order was given meanwhile"};
    }
    auto const kind = answer.status >= http_server_error ? error_kind::timeout
                                                         : error_kind::invalid;
    return error{kind, "order", address,
                 "status " + std::to_string(answer.status) + " " + answer.body};
}

result<std::int64_t> send_order(session& run, std::string const& engine,
                                std::string const& address, json order)
{
    BOOST_LEAF_AUTO(number, next_number(run.port, engine));
    order["fencing"] = number;
    BOOST_LEAF_AUTO(answer, run.call(address, orders_path, order.dump()));
    if (auto const problem = problem_of(answer, address))
    {
        return fail(*problem);
    }
    return number;
}

// Routers must stop sending before the engine stops taking.
config::patch_result mark_leaving(session& run, std::string const& id,
                                  std::string const& engine)
{
    auto const make = [&](config::document const&) -> wanted_patch
    {
        return {{{"backend_servers", {{engine, {{"leaving", true}}}}}}, {}};
    };
    return submit_current(run, id, make);
}

int order(session& run, engine_order const& wanted,
          engine_options const& options)
{
    auto const document = current_document(run);
    if (!document)
    {
        return run.code;
    }
    auto const found =
        document->backend_servers.find(backend_server_id{options.engine});
    if (found == document->backend_servers.end())
    {
        return print_faults(
            run, {{"ENGINE", "no backend server " + options.engine}});
    }
    auto const& server = found->second;
    if (wanted.leaving && !server.leaving)
    {
        auto const id = fresh_id(run);
        auto const marked = mark_leaving(run, id, options.engine);
        if (marked.status != config::patch_status::accepted)
        {
            return print_patch(run, marked, id);
        }
    }
    json body{{"order", wanted.kind}};
    if (!wanted.member.empty())
    {
        body[wanted.member] = options.argument;
    }
    auto const sent = value_or_error(
        [&] { return send_order(run, options.engine, server.address, body); });
    if (auto const* problem = std::get_if<error>(&sent))
    {
        return print_error(run, *problem, true,
                           "repeat the command; it takes a new fencing number");
    }
    auto const number = std::get<std::int64_t>(sent);
    auto const* const fenced =
        server.checks_fencing ? "an older order that arrives late is refused"
                              : "this engine does not check fencing numbers: "
                                "an older order that arrives late is obeyed";
    print(run,
          {{"engine", options.engine},
           {"order", wanted.kind},
           {"fencing", number},
           {"checks_fencing", server.checks_fencing}},
          {{"order", wanted.kind},
           {"fencing", std::to_string(number)},
           {"note", fenced}});
    return exit_ok;
}

} // namespace

void add_engine(CLI::App& app, session& run)
{
    auto* group = app.add_subcommand("engine", "orders to backend servers");
    group->require_subcommand(1);
    group->fallthrough();
    auto const options = std::make_shared<engine_options>();
    auto const add = [&](std::string const& name, std::string const& help,
                         engine_order const& wanted)
    {
        auto* verb = add_verb(*group, run, name, help,
                              [&run, options, wanted]
                              { return order(run, wanted, *options); });
        verb->add_option("ENGINE", options->engine, "its configured name")
            ->required();
        if (!wanted.member.empty())
        {
            verb->add_option(wanted.member, options->argument)->required();
        }
    };
    add("load-model", "load a model", {"load_model", "model", false});
    add("unload-model", "unload a model", {"unload_model", "model", false});
    add("set-role", "change the role", {"set_role", "role", false});
    add("leave", "take no new work; routers are told first",
        {"leave", "", true});
}

} // namespace caperpath::ctl
