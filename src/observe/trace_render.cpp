#include <caperpath/observe/log.hpp>
#include <caperpath/observe/trace_tree.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace caperpath::observe
{

namespace
{

using nlohmann::json;

constexpr std::size_t indent_width = 2;
constexpr double microseconds_per_ms = 1'000.0;

std::string to_ms_text(std::int64_t microseconds)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f",
                  static_cast<double>(microseconds) / microseconds_per_ms);
    return text;
}

void append_attribute(std::string& line, span_attribute const& one)
{
    if (one.key != request_attribute && one.key != peer_attribute)
    {
        line += " " + one.key + "=" + escape_value(one.value);
    }
}

void append_node(std::string& text, trace_node const& node, instant first,
                 std::size_t depth)
{
    auto const& value = node.value;
    text += std::string(depth * indent_width, ' ') + value.name;
    auto const peer = value.attribute(peer_attribute);
    if (!peer.empty())
    {
        text += " peer=" + escape_value(peer);
    }
    text += " at=" + std::to_string((value.start - first).ms) + "ms";
    text += " took=" + to_ms_text(value.duration_us) + "ms";
    for (auto const& one : value.attributes)
    {
        append_attribute(text, one);
    }
    text += node.parent_missing ? " (parent not recorded)\n" : "\n";
    for (auto const& child : node.children)
    {
        append_node(text, child, first, depth + 1);
    }
}

json to_object(trace_node const& node)
{
    auto const& value = node.value;
    json object{{"trace_id", to_string(value.trace)},
                {"span_id", to_string(value.id)},
                {"name", value.name},
                {"peer", value.attribute(peer_attribute)},
                {"start_ms", value.start.ms},
                {"duration_us", value.duration_us},
                {"parent_missing", node.parent_missing},
                {"attributes", json::object()},
                {"children", json::array()}};
    for (auto const& one : value.attributes)
    {
        object["attributes"][one.key] = one.value;
    }
    for (auto const& child : node.children)
    {
        object["children"].push_back(to_object(child));
    }
    return object;
}

} // namespace

std::string to_text(std::vector<trace_node> const& roots)
{
    std::string text;
    for (auto const& root : roots)
    {
        append_node(text, root, roots.front().value.start, 0);
    }
    return text;
}

std::string to_json(std::vector<trace_node> const& roots)
{
    auto array = json::array();
    for (auto const& root : roots)
    {
        array.push_back(to_object(root));
    }
    return array.dump(2, ' ', true, json::error_handler_t::replace);
}

} // namespace caperpath::observe
