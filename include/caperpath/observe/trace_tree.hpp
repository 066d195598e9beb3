#ifndef CAPERPATH_OBSERVE_TRACE_TREE_HPP
#define CAPERPATH_OBSERVE_TRACE_TREE_HPP

#include <caperpath/observe/trace.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace caperpath::observe
{

/// A span with its child spans, by start time. Immutable value.
struct trace_node
{
    span value;
    bool parent_missing{}; ///< its parent is not among the spans
    std::vector<trace_node> children;

    friend bool operator==(trace_node const&, trace_node const&) = default;
};

/// Returns the spans that carry the request's id and all their descendants, for
/// spans in any order. There are several roots if the request was sent more
/// than once or spans are missing. Duplicate spans appear once; spans that name
/// each other as parent are included. Thread safe.
std::vector<trace_node> build_tree(std::vector<span> spans,
                                   std::string_view request);

/// Returns indented lines: name, peer, offset and duration in milliseconds.
/// Thread safe.
std::string to_text(std::vector<trace_node> const& roots);

/// Returns the same as JSON text. Thread safe.
std::string to_json(std::vector<trace_node> const& roots);

} // namespace caperpath::observe

#endif
