#include <caperpath/budget/rows.hpp>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>
#include <utility>

namespace caperpath::budget
{

namespace
{

using nlohmann::json;

constexpr int seq_digits = 12; ///< sorts ledger rows in the order of writing

constexpr std::pair<holder_state, char const*> state_names[] = {
    {holder_state::active, "active"},
    {holder_state::fenced, "fenced"},
    {holder_state::closed, "closed"},
};

std::string name_of(holder_state state)
{
    for (auto const& [value, name] : state_names)
    {
        if (value == state)
        {
            return name;
        }
    }
    return "closed";
}

holder_state state_of(std::string const& text)
{
    for (auto const& [value, name] : state_names)
    {
        if (text == name)
        {
            return value;
        }
    }
    throw json::other_error::create(0, "unknown holder state " + text, nullptr);
}

/// Rejects negative amounts, which would let a holder spend unpaid tokens.
token_count tokens(json const& object, char const* key)
{
    auto const number = object.at(key).get<token_count>();
    if (number < 0)
    {
        throw json::other_error::create(0, std::string{key} + " is negative",
                                        nullptr);
    }
    return number;
}

template <class Read>
auto decode(std::string const& text, char const* what, Read read)
    -> result<decltype(read(json{}))>
{
    try
    {
        return read(json::parse(text));
    }
    catch (json::exception const& fault)
    {
        return fail({error_kind::invalid, std::string{"decode "} + what,
                     "table", fault.what()});
    }
}

json json_of(bill const& one)
{
    json object{{"request", one.request.value},
                {"customer", one.customer.value},
                {"budget", one.budget.value},
                {"tokens", one.tokens},
                {"prompt_tokens", one.prompt_tokens},
                {"completion_tokens", one.completion_tokens},
                {"config_version", one.config_version}};
    if (one.answer_kept)
    {
        object["answer_kept"] = true;
    }
    return object;
}

bill bill_of(json const& object)
{
    return {{object.at("request").get<std::string>()},
            {object.at("customer").get<std::string>()},
            {object.at("budget").get<std::string>()},
            tokens(object, "tokens"),
            tokens(object, "prompt_tokens"),
            tokens(object, "completion_tokens"),
            object.at("config_version").get<std::uint64_t>(),
            object.value("answer_kept", false)};
}

} // namespace

std::string budget_key(budget_id const& budget)
{
    return "budget/" + budget.value;
}

std::string share_prefix(incarnation_id const& holder)
{
    return "share/" + holder.value + "/";
}

std::string share_key(budget_id const& budget, incarnation_id const& holder)
{
    return share_prefix(holder) + budget.value;
}

std::string holder_key(incarnation_id const& holder)
{
    return "holder/" + holder.value;
}

std::string listed_key(incarnation_id const& holder)
{
    return "listed/" + holder.value;
}

std::string spent_key(incarnation_id const& holder)
{
    return "spent/" + holder.value;
}

std::string ledger_key(incarnation_id const& holder, std::uint64_t seq)
{
    std::ostringstream key;
    key << ledger_prefix(holder) << std::setw(seq_digits) << std::setfill('0')
        << seq;
    return key.str();
}

std::string ledger_prefix(incarnation_id const& holder)
{
    return "ledger/" + holder.value + "/";
}

std::string kept_bill_key(incarnation_id const& holder, bill const& cost)
{
    return kept_bill_prefix(holder) + cost.request.value + "/" +
           std::to_string(cost.tokens) + "-" +
           std::to_string(cost.completion_tokens);
}

std::string kept_bill_prefix(incarnation_id const& holder)
{
    return "answered/" + holder.value + "/";
}

std::string held_key(budget_id const& budget, incarnation_id const& holder)
{
    return "held/" + budget.value + "/" + holder.value;
}

std::string topup_key(budget_id const& budget, std::string const& topup_id)
{
    return "topup/" + budget.value + "/" + topup_id;
}

std::string encode(budget_row const& row)
{
    return json{{"paid", row.paid},
                {"granted", row.granted},
                {"retired", row.retired},
                {"wanted", row.wanted},
                {"holders", row.holders}}
        .dump();
}

std::string encode(share_row const& row)
{
    return json{{"granted", row.granted}, {"exposed", row.exposed}}.dump();
}

std::string encode(holder_row const& row)
{
    return json{{"state", name_of(row.state)},
                {"address", row.address},
                {"failure_domain", row.failure_domain.value}}
        .dump();
}

std::string encode(spent_row const& row)
{
    json spent = json::object();
    for (auto const& [budget, tokens] : row.spent)
    {
        spent[budget.value] = tokens;
    }
    return json{{"seq", row.seq}, {"spent", std::move(spent)}}.dump();
}

std::string encode(held_row const& row)
{
    return json{{"granted", row.granted},
                {"spent", row.spent},
                {"tokens", row.tokens},
                {"released", row.released}}
        .dump();
}

std::string encode(std::vector<bill> const& bills)
{
    json list = json::array();
    for (auto const& one : bills)
    {
        list.push_back(json_of(one));
    }
    return json{{"bills", std::move(list)}}.dump();
}

result<budget_row> decode_budget(std::string const& text)
{
    return decode(text, "budget",
                  [](json const& object)
                  {
                      budget_row row;
                      row.paid = tokens(object, "paid");
                      // An operator's tool creates the row with `paid` alone.
                      auto const optional = [&object](char const* key)
                      {
                          return object.contains(key) ? tokens(object, key) : 0;
                      };
                      row.granted = optional("granted");
                      row.retired = optional("retired");
                      row.wanted = optional("wanted");
                      row.holders = optional("holders");
                      return row;
                  });
}

result<share_row> decode_share(std::string const& text)
{
    return decode(text, "share",
                  [](json const& object) {
                      return share_row{tokens(object, "granted"),
                                       tokens(object, "exposed")};
                  });
}

result<holder_row> decode_holder(std::string const& text)
{
    return decode(text, "holder",
                  [](json const& object)
                  {
                      return holder_row{
                          state_of(object.at("state").get<std::string>()),
                          object.at("address").get<std::string>(),
                          {object.at("failure_domain").get<std::string>()}};
                  });
}

result<spent_row> decode_spent(std::string const& text)
{
    return decode(text, "spent",
                  [](json const& object)
                  {
                      spent_row row;
                      row.seq = object.at("seq").get<std::uint64_t>();
                      for (auto const& [name, inner] :
                           object.at("spent").items())
                      {
                          row.spent[{name}] = inner.get<token_count>();
                      }
                      return row;
                  });
}

result<held_row> decode_held(std::string const& text)
{
    return decode(text, "held",
                  [](json const& object)
                  {
                      return held_row{tokens(object, "granted"),
                                      tokens(object, "spent"),
                                      tokens(object, "tokens"),
                                      object.at("released").get<bool>()};
                  });
}

result<std::vector<bill>> decode_bills(std::string const& text)
{
    return decode(text, "ledger",
                  [](json const& object)
                  {
                      std::vector<bill> bills;
                      for (auto const& one : object.at("bills"))
                      {
                          bills.push_back(bill_of(one));
                      }
                      return bills;
                  });
}

} // namespace caperpath::budget
