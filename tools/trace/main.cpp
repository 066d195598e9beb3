#include <caperpath/observe/span_sink.hpp>
#include <caperpath/observe/trace_tree.hpp>

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace caperpath;

constexpr int exit_not_found = 1;
constexpr int exit_unreadable = 2;

struct options
{
    std::vector<std::string> files;
    std::string request;
    bool json{false};
};

struct read_state
{
    std::vector<observe::span> spans;
    std::size_t bad_lines{0};
};

// Skips and counts truncated lines, which a router killed during a write leaves
// behind; the other spans are still shown.
void read_file(std::istream& stream, read_state& state)
{
    for (std::string line; std::getline(stream, line);)
    {
        auto both =
            value_or_error([&] { return observe::parse_json_line(line); });
        if (auto* value = std::get_if<observe::span>(&both))
        {
            state.spans.push_back(std::move(*value));
        }
        else
        {
            ++state.bad_lines;
        }
    }
}

int run(options const& chosen)
{
    read_state state;
    for (auto const& file : chosen.files)
    {
        std::ifstream stream{file};
        if (!stream)
        {
            std::cerr << "cannot read " << file << '\n';
            return exit_unreadable;
        }
        read_file(stream, state);
    }
    if (state.bad_lines > 0)
    {
        std::cerr << state.bad_lines << " lines are no spans, skipped\n";
    }
    auto const roots =
        observe::build_tree(std::move(state.spans), chosen.request);
    std::cout << (chosen.json ? observe::to_json(roots) + "\n"
                              : observe::to_text(roots));
    if (roots.empty())
    {
        std::cerr << "no span of request " << chosen.request << '\n';
        return exit_not_found;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    CLI::App app{"Prints the tree of spans of one request.\n"
                 "Exit codes: 0 found, 1 no span found, 2 a file cannot be "
                 "read.",
                 "caperpath-trace"};
    app.set_version_flag("--version", CAPERPATH_VERSION);
    app.add_option("--spans", chosen.files, "span files of all routers")
        ->required()
        ->expected(1, -1);
    app.add_option("REQUEST_ID", chosen.request,
                   "the value of X-Request-Id in the answer")
        ->required();
    app.add_flag("--json", chosen.json, "print JSON");
    CLI11_PARSE(app, argc, argv);
    return run(chosen);
}
