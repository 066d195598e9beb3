#include <caperpath/config/codec.hpp>

#include <set>
#include <utility>

namespace caperpath::config
{

namespace
{

using nlohmann::json;

json write(customer const& source)
{
    json keys = json::array();
    for (auto const& key : source.keys)
    {
        keys.push_back({{"salt", key.salt}, {"sha256", key.sha256}});
    }
    return {{"keys", std::move(keys)},
            {"budget", source.budget.value},
            {"max_concurrent", source.max_concurrent},
            {"tokens_per_second", source.tokens_per_second},
            {"priority", source.priority}};
}

json write(budget const& source)
{
    return {{"policy", to_string(source.policy)}};
}

json write(model const& source)
{
    return {{"prompt_price", source.prompt_price},
            {"completion_price", source.completion_price},
            {"max_prompt_tokens", source.max_prompt_tokens},
            {"max_completion_tokens", source.max_completion_tokens}};
}

json write(service const& source)
{
    json calls = json::array();
    for (auto const& call : source.calls)
    {
        calls.push_back({{"method", call.method},
                         {"path_prefix", call.path_prefix},
                         {"idempotent", call.idempotent},
                         {"price", call.price}});
    }
    return {{"calls", std::move(calls)}};
}

json write(backend_server const& source)
{
    auto const is_engine = source.kind == backend_kind::engine;
    return {{"kind", is_engine ? "engine" : "plain_service"},
            {"serves", source.serves},
            {"address", source.address},
            {"failure_domain", source.failure_domain.value},
            {"checks_fencing", source.checks_fencing},
            {"leaving", source.leaving}};
}

template <class Id, class Value>
json write_map(std::map<Id, Value> const& source)
{
    json made = json::object();
    for (auto const& [id, value] : source)
    {
        made[id.value] = write(value);
    }
    return made;
}

// One open object or array of the text being parsed.
struct open_value
{
    bool is_array{};
    std::size_t next{};
    std::string label;
    std::set<std::string> seen;
};

// Follows the parser's events and finds keys that stand twice in one object.
class duplicate_finder
{
public:
    explicit duplicate_finder(std::vector<fault>& faults) : faults{faults}
    {
    }

    void on_event(json::parse_event_t event, json const& parsed)
    {
        switch (event)
        {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            this->count_element();
            this->open.push_back(
                {event == json::parse_event_t::array_start, 0, "", {}});
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            this->open.pop_back();
            break;
        case json::parse_event_t::key:
            this->add_key(parsed.get<std::string>());
            break;
        case json::parse_event_t::value:
            this->count_element();
            break;
        }
    }

private:
    void count_element()
    {
        if (!this->open.empty() && this->open.back().is_array)
        {
            this->open.back().label = std::to_string(this->open.back().next);
            ++this->open.back().next;
        }
    }

    void add_key(std::string const& key)
    {
        this->open.back().label = key;
        if (this->open.back().seen.insert(key).second)
        {
            return;
        }
        std::string path;
        for (auto const& value : this->open)
        {
            path += "/" + value.label;
        }
        this->faults.push_back({path, "this key stands twice"});
    }

    std::vector<fault>& faults;
    std::vector<open_value> open;
};

} // namespace

json to_json(document const& source)
{
    return {{"version", source.version},
            {"name", source.name},
            {"customers", write_map(source.customers)},
            {"budgets", write_map(source.budgets)},
            {"models", write_map(source.models)},
            {"services", write_map(source.services)},
            {"backend_servers", write_map(source.backend_servers)},
            {"routing",
             {{"policy", source.routing.policy},
              {"request_timeout_ms", source.routing.request_timeout.ms}}}};
}

json parse_text(std::string const& text, std::vector<fault>& faults)
{
    duplicate_finder finder{faults};
    auto const on_event =
        [&finder](int, json::parse_event_t event, json const& parsed)
    {
        finder.on_event(event, parsed);
        return true;
    };
    try
    {
        return json::parse(text, on_event);
    }
    catch (json::exception const& problem)
    {
        faults.push_back({"/", problem.what()});
        return {};
    }
}

} // namespace caperpath::config
