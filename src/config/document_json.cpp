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
            {"leaving", source.draining}};
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

// An open object or array of the text being parsed.
struct open_value
{
    bool is_array{};
    std::size_t next{};
    std::string label;
    std::set<std::string> seen;
};

// Finds duplicate keys in an object from the parser's events. It keeps no
// values: nlohmann's own callback also builds the document and scans all
// earlier members at the end of each member, which takes quadratic time in the
// number of budgets.
class duplicate_finder : public nlohmann::json_sax<json>
{
public:
    explicit duplicate_finder(std::vector<fault>& faults) : faults{faults}
    {
    }

    bool null() override
    {
        return this->count_element();
    }

    bool boolean(bool) override
    {
        return this->count_element();
    }

    bool number_integer(number_integer_t) override
    {
        return this->count_element();
    }

    bool number_unsigned(number_unsigned_t) override
    {
        return this->count_element();
    }

    bool number_float(number_float_t, string_t const&) override
    {
        return this->count_element();
    }

    bool string(string_t&) override
    {
        return this->count_element();
    }

    bool binary(binary_t&) override
    {
        return this->count_element();
    }

    bool start_object(std::size_t) override
    {
        return this->begin(false);
    }

    bool start_array(std::size_t) override
    {
        return this->begin(true);
    }

    bool end_object() override
    {
        return this->end();
    }

    bool end_array() override
    {
        return this->end();
    }

    bool key(string_t& name) override
    {
        this->add_key(name);
        return true;
    }

    // The parsing pass reports syntax errors.
    bool parse_error(std::size_t, std::string const&,
                     nlohmann::detail::exception const&) override
    {
        return false;
    }

private:
    bool begin(bool is_array)
    {
        this->count_element();
        this->open.push_back({is_array, 0, "", {}});
        return true;
    }

    bool end()
    {
        this->open.pop_back();
        return true;
    }

    bool count_element()
    {
        if (!this->open.empty() && this->open.back().is_array)
        {
            this->open.back().label = std::to_string(this->open.back().next);
            ++this->open.back().next;
        }
        return true;
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
    try
    {
        auto made = json::parse(text);
        duplicate_finder finder{faults};
        json::sax_parse(text, &finder);
        return made;
    }
    catch (json::exception const& problem)
    {
        faults.push_back({"/", problem.what()});
        return {};
    }
}

} // namespace caperpath::config
