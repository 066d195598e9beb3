#include <caperpath/budget/holdings.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include <sstream>
#include <string_view>

namespace caperpath::budget
{

namespace
{

constexpr std::string_view key_prefix = "holding/";

} // namespace

template <class Archive>
void serialize(Archive& archive, holding& one)
{
    archive(one.granted, one.spent, one.open, one.need);
}

std::string holding_key(vm_id const& vm)
{
    return std::string{key_prefix} + vm.value;
}

std::optional<vm_id> vm_of_holding_key(std::string const& key)
{
    if (!key.starts_with(key_prefix))
    {
        return std::nullopt;
    }
    return vm_id{key.substr(key_prefix.size())};
}

std::string encode(std::map<budget_id, holding> const& reported)
{
    std::map<std::string, holding> by_name;
    for (auto const& [budget, one] : reported)
    {
        by_name.emplace_hint(by_name.end(), budget.value, one);
    }
    std::ostringstream bytes;
    cereal::PortableBinaryOutputArchive{bytes}(by_name);
    return bytes.str();
}

result<std::map<budget_id, holding>> decode_holdings(std::string const& bytes)
{
    std::map<std::string, holding> by_name;
    try
    {
        std::istringstream from{bytes};
        cereal::PortableBinaryInputArchive{from}(by_name);
    }
    catch (std::exception const& fault)
    {
        return fail(
            {error_kind::invalid, "decode holdings", "store", fault.what()});
    }
    std::map<budget_id, holding> reported;
    for (auto const& [name, one] : by_name)
    {
        reported.emplace_hint(reported.end(), budget_id{name}, one);
    }
    return reported;
}

} // namespace caperpath::budget
