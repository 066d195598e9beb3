#ifndef CAPERPATH_OBSERVE_TRACE_TREE_HPP
#define CAPERPATH_OBSERVE_TRACE_TREE_HPP

#include <caperpath/observe/trace.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace caperpath::observe
{

/// A span with the spans it caused, by start time. Immutable value.
struct trace_node
{
    span value;
    bool parent_missing{}; ///< it names a parent that is not among the spans
    std::vector<trace_node> children;

    friend bool operator==(trace_node const&, trace_node const&) = default;
};

/// Thread safe. The spans of one request: those that carry its id and all that
/// descend from them, in whatever order they were written. Several roots when
/// the request was sent more than once or spans are missing. A span that was
/// read twice stands once; spans that name each other as parent stand too.
std::vector<trace_node> build_tree(std::vector<span> spans,
                                   std::string_view request);

/// Thread safe. Indented lines: name, peer, offset and length in milliseconds.
std::string to_text(std::vector<trace_node> const& roots);

/// Thread safe. The same as JSON text.
std::string to_json(std::vector<trace_node> const& roots);

} // namespace caperpath::observe

#endif
