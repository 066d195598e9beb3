#include "ctl/verbs.hpp"

#include <CLI/CLI.hpp>

#include <ostream>

namespace caperpath::ctl
{

namespace
{

std::string words_of(CLI::App const& app)
{
    std::string words;
    for (auto const* verb : app.get_subcommands({}))
    {
        words += verb->get_name() + " ";
    }
    for (auto const* option : app.get_options())
    {
        for (auto const& name : option->get_lnames())
        {
            words += "--" + name + " ";
        }
    }
    return words;
}

void write_cases(std::ostream& out, CLI::App const& app,
                 std::string const& path, std::string const& inherited)
{
    for (auto const* verb : app.get_subcommands({}))
    {
        write_cases(out, *verb, path + " " + verb->get_name(),
                    "--json --settings --platform --author ");
    }
    // The pattern also matches commands of its subcommands, so it follows them.
    auto const words = inherited + words_of(app);
    out << "    \"" << path << "\"*) words=\"" << words << "\" ;;\n";
}

int write_completion(session& run, CLI::App const& app)
{
    run.out << "_caperpathctl() {\n"
               "  local path=caperpathctl word words=\n"
               "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
               "    [[ $word == [a-z]* ]] && path+=\" $word\"\n"
               "  done\n"
               "  case \"$path\" in\n";
    write_cases(run.out, app, "caperpathctl", "");
    run.out << "  esac\n"
               "  COMPREPLY=($(compgen -W \"$words\" -- "
               "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
               "}\n"
               "complete -o default -F _caperpathctl caperpathctl\n";
    return exit_ok;
}

} // namespace

void add_completion(CLI::App& app, session& run)
{
    add_local_verb(app, run, "completion", "print a completion script for bash",
                   [&run, &app] { return write_completion(run, app); });
}

} // namespace caperpath::ctl
