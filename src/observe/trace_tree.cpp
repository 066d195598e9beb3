#include <caperpath/observe/trace_tree.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace caperpath::observe
{

namespace
{

using index_list = std::vector<std::size_t>;

bool starts_earlier(span const& a, span const& b)
{
    return std::tie(a.start, a.trace, a.id) < std::tie(b.start, b.trace, b.id);
}

bool same_span(span const& a, span const& b)
{
    return a.trace == b.trace && a.id == b.id;
}

// Sorts spans by start time and removes duplicates.
void sort_and_deduplicate(std::vector<span>& spans)
{
    std::stable_sort(spans.begin(), spans.end(), starts_earlier);
    spans.erase(std::unique(spans.begin(), spans.end(), same_span),
                spans.end());
}

bool is_child(span const& child, span const& parent)
{
    return child.trace == parent.trace && child.parent == parent.id;
}

class tree_builder
{
public:
    tree_builder(std::vector<span> const& spans, std::string_view request)
        : spans{spans}
    {
        for (std::size_t i = 0; i < spans.size(); ++i)
        {
            auto const matches =
                spans[i].attribute(request_attribute) == request;
            if (matches)
            {
                this->select(i);
            }
        }
    }

    std::vector<trace_node> build()
    {
        std::vector<trace_node> roots;
        for (auto const i : this->selected)
        {
            if (!this->has_selected_parent(i))
            {
                roots.push_back(this->node(i));
            }
        }
        // Spans that name each other as parent have no root, so a traversal
        // from the roots would omit them.
        for (auto const i : this->selected)
        {
            if (!this->placed.contains(i))
            {
                roots.push_back(this->node(i));
            }
        }
        return roots;
    }

private:
    index_list children(std::size_t parent) const
    {
        index_list found;
        for (std::size_t i = 0; i < this->spans.size(); ++i)
        {
            if (is_child(this->spans[i], this->spans[parent]))
            {
                found.push_back(i);
            }
        }
        return found;
    }

    void select(std::size_t first)
    {
        index_list open{first};
        while (!open.empty())
        {
            auto const i = open.back();
            open.pop_back();
            if (this->selected.insert(i).second)
            {
                auto const more = this->children(i);
                open.insert(open.end(), more.begin(), more.end());
            }
        }
    }

    bool has_selected_parent(std::size_t child) const
    {
        return std::any_of(
            this->selected.begin(), this->selected.end(),
            [&](std::size_t i)
            { return is_child(this->spans[child], this->spans[i]); });
    }

    trace_node node(std::size_t i)
    {
        this->placed.insert(i);
        auto const& value = this->spans[i];
        auto const missing =
            value.parent != span_id{} && !this->has_selected_parent(i);
        trace_node made{value, missing, {}};
        for (auto const child : this->children(i))
        {
            if (!this->placed.contains(child))
            {
                made.children.push_back(this->node(child));
            }
        }
        return made;
    }

    std::vector<span> const& spans;
    std::set<std::size_t> selected;
    std::set<std::size_t> placed;
};

} // namespace

std::vector<trace_node> build_tree(std::vector<span> spans,
                                   std::string_view request)
{
    sort_and_deduplicate(spans);
    return tree_builder{spans, request}.build();
}

} // namespace caperpath::observe
