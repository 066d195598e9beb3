#ifndef CAPERPATH_TESTS_CONFIG_DOCUMENT_STRATEGY_HPP
#define CAPERPATH_TESTS_CONFIG_DOCUMENT_STRATEGY_HPP

#include <caperpath/config/codec.hpp>
#include <caperpath/config/keys.hpp>

#include <rapidcheck.h>

#include <string>

namespace caperpath::config
{

/// Generates any valid document: up to four entries of each kind, with every
/// reference resolved.
inline document any_document()
{
    auto const upto = [](int most)
    {
        return *rc::gen::inRange<std::int64_t>(0, most);
    };
    document made;
    made.version = static_cast<std::uint64_t>(upto(1'000));
    made.name = *rc::gen::element<std::string>("", "baseline", "trial-7");
    made.routing.policy = *rc::gen::elementOf(std::vector<std::string>{
        routing_policies.begin(), routing_policies.end()});
    made.routing.request_timeout = {1 + upto(100'000)};
    made.budgets[{"shared"}] = {budget_policy::false_refusals_first};
    for (auto i = upto(4); i > 0; --i)
    {
        auto const n = std::to_string(i);
        made.budgets[{"b" + n}] = {};
        made.models[{"m" + n}] = {upto(9), upto(9), 1 + upto(9), 1 + upto(9)};
        made.services[{"s" + n}] = {
            {{"POST", "/orders", false, upto(9)}, {"*", "/", upto(2) == 1, 0}}};
        made.customers[{"c_" + n}] = {{hash_key(n, std::string(16, 's'))},
                                      {upto(2) == 1 ? "b" + n : "shared"},
                                      1 + upto(9),
                                      1 + upto(9),
                                      static_cast<int>(upto(9)) - 4};
        made.backend_servers[{"e" + n}] = {backend_kind::engine, "m" + n,
                                           "127.0.0.1:" + n,     {"mapo"},
                                           upto(2) == 1,         upto(2) == 1};
        made.backend_servers[{"p" + n}] = {backend_kind::plain_service,
                                           "s" + n,
                                           "127.0.0.2:" + n,
                                           {"guro"},
                                           false,
                                           false};
    }
    return made;
}

} // namespace caperpath::config

#endif
