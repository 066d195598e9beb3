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

constexpr int max_number_attempts = 20;
constexpr auto commands_path = "/orders";

struct engine_options
{
    std::string engine;
    std::string argument;
};

struct engine_command
{
    std::string kind;
    std::string member; ///< name of the argument in the message; empty: none
    bool drains{};      ///< routers are notified first
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

// Takes the next fencing number of an engine. Two operators never get the same
// number; a number whose response was lost stays unused, which is harmless.
result<std::int64_t> next_number(store::port const& port,
                                 std::string const& engine)
{
    auto const key = "fencing/" + engine;
    error last;
    for (int attempt = 0; attempt < max_number_attempts; ++attempt)
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
    // No command was sent, whether or not the number was taken.
    last.kind = error_kind::unavailable;
    last.step = "take fencing number";
    return fail(last);
}

// Returns the error that an engine's response to a command means, if any.
std::optional<error> error_of(http_response const& response,
                              std::string const& address)
{
    if (response.status >= http_ok && response.status < http_ok + 100)
    {
        return std::nullopt;
    }
    if (response.status == http_conflict)
    {
        return error{error_kind::conflict, "order", address,
                     "a later command was sent in the meantime"};
    }
    auto const kind = response.status >= http_server_error
                          ? error_kind::timeout
                          : error_kind::invalid;
    return error{kind, "order", address,
                 "status " + std::to_string(response.status) + " " +
                     response.body};
}

result<std::int64_t> send_command(session& run, std::string const& engine,
                                  std::string const& address, json command)
{
    BOOST_LEAF_AUTO(number, next_number(run.port, engine));
    command["fencing"] = number;
    BOOST_LEAF_AUTO(response, run.call(address, commands_path, command.dump()));
    if (auto const problem = error_of(response, address))
    {
        return fail(*problem);
    }
    return number;
}

// Marks the engine as draining in the configuration. Routers must stop sending
// before the engine stops accepting requests.
config::patch_result mark_draining(session& run, std::string const& id,
                                   std::string const& engine)
{
    auto const make = [&](config::document const&) -> wanted_patch
    {
        return {{{"backend_servers", {{engine, {{"leaving", true}}}}}}, {}};
    };
    return submit_current(run, id, make);
}

int run_command(session& run, engine_command const& wanted,
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
    if (wanted.drains && !server.draining)
    {
        auto const id = fresh_id(run);
        auto const marked = mark_draining(run, id, options.engine);
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
        [&]
        { return send_command(run, options.engine, server.address, body); });
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
    auto* group = app.add_subcommand("engine", "commands to backend servers");
    group->require_subcommand(1);
    group->fallthrough();
    auto const options = std::make_shared<engine_options>();
    auto const add = [&](std::string const& name, std::string const& help,
                         engine_command const& wanted)
    {
        auto* verb = add_verb(*group, run, name, help,
                              [&run, options, wanted]
                              { return run_command(run, wanted, *options); });
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
    add("leave", "drain an engine; routers are notified first",
        {"leave", "", true});
}

} // namespace caperpath::ctl
