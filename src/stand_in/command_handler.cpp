#include "stand_in/command_handler.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace caperpath::stand_in
{

namespace
{

std::vector<std::string> const& order_kinds()
{
    static std::vector<std::string> const kinds{"load_model", "unload_model",
                                                "set_role", "leave", "stay"};
    return kinds;
}

} // namespace

backend_command parse_order(nlohmann::json const& body,
                            std::vector<config::fault>& faults)
{
    config::json_reader reader{body, "", faults};
    backend_command order;
    order.fencing = reader.integer("fencing", "orders given", 0,
                                   std::numeric_limits<std::int64_t>::max());
    order.kind = reader.text("order");
    auto const& kinds = order_kinds();
    if (std::find(kinds.begin(), kinds.end(), order.kind) == kinds.end())
    {
        reader.reject("order", "unknown order");
    }
    if (order.kind.ends_with("_model"))
    {
        order.argument = reader.text("model");
    }
    if (order.kind == "set_role")
    {
        order.argument = reader.text("role");
    }
    reader.finish();
    return order;
}

command_handler::command_handler(bool checks_fencing, std::string model)
    : checks_fencing{checks_fencing}, loaded{std::move(model)}
{
}

bool command_handler::apply(backend_command const& order)
{
    std::lock_guard const lock{this->mutex};
    if (this->checks_fencing && order.fencing < this->largest_fencing)
    {
        ++this->rejected;
        return false;
    }
    this->largest_fencing = std::max(this->largest_fencing, order.fencing);
    ++this->applied;
    if (order.kind == "load_model")
    {
        this->loaded.insert(order.argument);
    }
    else if (order.kind == "unload_model")
    {
        this->loaded.erase(order.argument);
    }
    else if (order.kind == "set_role")
    {
        this->role = order.argument;
    }
    else
    {
        this->draining = order.kind == "leave";
    }
    return true;
}

bool command_handler::leaving() const
{
    std::lock_guard const lock{this->mutex};
    return this->draining;
}

bool command_handler::has_model(std::string const& model) const
{
    std::lock_guard const lock{this->mutex};
    return this->loaded.contains(model);
}

std::set<std::string> command_handler::models() const
{
    std::lock_guard const lock{this->mutex};
    return this->loaded;
}

nlohmann::json command_handler::state() const
{
    std::lock_guard const lock{this->mutex};
    return {{"largest_fencing", this->largest_fencing},
            {"applied", this->applied},
            {"refused", this->rejected},
            {"models", this->loaded},
            {"role", this->role},
            {"leaving", this->draining}};
}

} // namespace caperpath::stand_in
