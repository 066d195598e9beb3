#include "stand_in/engine.hpp"

#include "stand_in/replies.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <system_error>

namespace caperpath::stand_in
{

void engine::stats(httplib::Response& response) const
{
    auto const totals = this->batch.totals();
    reply_json(response, 200,
               {{"name", this->settings.name},
                {"runs", this->runs.all()},
                {"orders", this->orders.state()},
                {"tokens_generated", totals.tokens_generated},
                {"cancelled", totals.cancelled}});
}

void engine::load(httplib::Response& response) const
{
    auto const sample = this->history.lagged();
    reply_json(response, 200,
               {{"running", sample.running},
                {"queued", sample.queued},
                {"slots", this->settings.slots},
                {"cache_tokens", sample.cache_tokens},
                {"cache_capacity", this->settings.cache_capacity},
                {"age_ms", this->settings.load_lag.ms},
                {"leaving", sample.leaving}});
}

void engine::cache_events(httplib::Request const& request,
                          httplib::Response& response) const
{
    auto const text = request.get_param_value("after");
    std::int64_t after = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, after);
    if (!text.empty() && (parsed.ec != std::errc{} || parsed.ptr != end))
    {
        reply_faults(response, {{"after", "expected a whole number"}});
        return;
    }
    auto const delivered = this->cache.events_after(after);
    auto events = nlohmann::json::array();
    for (auto const& event : delivered.events)
    {
        events.push_back({{"seq", event.sequence},
                          {"kind", event.stored ? "stored" : "evicted"},
                          {"prefix", std::to_string(event.prefix)}});
    }
    reply_json(response, 200, {{"events", events}, {"next", delivered.next}});
}

void engine::models(httplib::Response& response) const
{
    auto data = nlohmann::json::array();
    for (auto const& model : this->orders.models())
    {
        data.push_back({{"id", model}, {"object", "model"}});
    }
    reply_json(response, 200, {{"object", "list"}, {"data", data}});
}

} // namespace caperpath::stand_in
