#include <caperpath/config/json_reader.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <numeric>
#include <utility>

namespace caperpath::config
{

namespace
{

constexpr int max_port = 65'535;

std::size_t edit_distance(std::string const& a, std::string const& b)
{
    std::vector<std::size_t> previous(b.size() + 1);
    std::iota(previous.begin(), previous.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::vector<std::size_t> current(b.size() + 1, i);
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            auto const change =
                previous[j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
            current[j] =
                std::min({previous[j] + 1, current[j - 1] + 1, change});
        }
        previous = std::move(current);
    }
    return previous.back();
}

bool is_address_with_port(std::string const& text, int least_port)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    in_addr parsed{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
    {
        return false;
    }
    int port = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, fault] =
        std::from_chars(text.data() + colon + 1, end, port);
    return fault == std::errc{} && stop == end && port >= least_port &&
           port <= max_port;
}

} // namespace

json_reader::json_reader(nlohmann::json const& value, std::string path,
                         std::vector<fault>& faults)
    : value{value}, path{std::move(path)}, faults{faults}
{
    if (!this->value.is_object())
    {
        this->faults.push_back(
            {this->path.empty() ? "/" : this->path, "expected an object"});
    }
}

nlohmann::json const* json_reader::find(std::string_view key)
{
    this->known.emplace_back(key);
    if (!this->value.is_object())
    {
        return nullptr;
    }
    auto const member = this->value.find(std::string{key});
    return member == this->value.end() ? nullptr : &*member;
}

std::string json_reader::path_of(std::string_view key) const
{
    return this->path + "/" + std::string{key};
}

void json_reader::reject(std::string_view key, std::string detail)
{
    this->faults.push_back({this->path_of(key), std::move(detail)});
}

bool json_reader::has(std::string_view key)
{
    return this->find(key) != nullptr;
}

std::string json_reader::text(std::string_view key, char const* fallback)
{
    auto const* member = this->find(key);
    if (member == nullptr && fallback != nullptr)
    {
        return fallback;
    }
    if (member == nullptr || !member->is_string())
    {
        this->reject(key, "expected text");
        return {};
    }
    return member->get<std::string>();
}

std::int64_t json_reader::integer(std::string_view key, std::string_view unit,
                                  std::int64_t least, std::int64_t most)
{
    auto const* member = this->find(key);
    bool const is_whole = member != nullptr && member->is_number_integer();
    bool const too_large = is_whole && member->is_number_unsigned() &&
                           member->get<std::uint64_t>() >
                               static_cast<std::uint64_t>(
                                   std::numeric_limits<std::int64_t>::max());
    auto const number =
        is_whole && !too_large ? member->get<std::int64_t>() : least - 1;
    if (!is_whole || too_large || number < least || number > most)
    {
        this->reject(key, "expected a whole number of " + std::string{unit} +
                              " from " + std::to_string(least) + " to " +
                              std::to_string(most));
        return least;
    }
    return number;
}

std::int64_t json_reader::integer_or(std::string_view key,
                                     std::string_view unit, std::int64_t least,
                                     std::int64_t most, std::int64_t fallback)
{
    return this->has(key) ? this->integer(key, unit, least, most) : fallback;
}

double json_reader::number_or(std::string_view key, std::string_view unit,
                              double least, double most, double fallback)
{
    auto const* member = this->find(key);
    if (member == nullptr)
    {
        return fallback;
    }
    auto const number = member->is_number() ? member->get<double>() : most + 1;
    if (!(number >= least && number <= most))
    {
        this->reject(key, "expected a number of " + std::string{unit} +
                              " from " + std::to_string(least) + " to " +
                              std::to_string(most));
        return fallback;
    }
    return number;
}

bool json_reader::boolean_or(std::string_view key, bool fallback)
{
    auto const* member = this->find(key);
    if (member == nullptr)
    {
        return fallback;
    }
    if (!member->is_boolean())
    {
        this->reject(key, "expected true or false");
        return fallback;
    }
    return member->get<bool>();
}

std::string json_reader::address(std::string_view key)
{
    auto text = this->text(key);
    if (!text.empty() && !is_address(text))
    {
        this->reject(key, "expected a numeric IPv4 address and port, IP:port");
    }
    return text;
}

std::string json_reader::listen_address(std::string_view key)
{
    auto text = this->text(key);
    if (!text.empty() && !is_listen_address(text))
    {
        this->reject(key, "expected a numeric IPv4 address and port, IP:port "
                          "(port 0: any free one)");
    }
    return text;
}

void json_reader::each_member(
    std::string_view key,
    std::function<void(std::string const&, nlohmann::json const&,
                       std::string const&)> const& read)
{
    auto const* member = this->find(key);
    if (member == nullptr)
    {
        return;
    }
    if (!member->is_object())
    {
        this->reject(key, "expected an object");
        return;
    }
    for (auto const& [name, inner] : member->items())
    {
        read(name, inner, this->path_of(key) + "/" + name);
    }
}

void json_reader::each_element(
    std::string_view key,
    std::function<void(nlohmann::json const&, std::string const&)> const& read)
{
    auto const* member = this->find(key);
    if (member == nullptr)
    {
        return;
    }
    if (!member->is_array())
    {
        this->reject(key, "expected an array");
        return;
    }
    for (std::size_t i = 0; i < member->size(); ++i)
    {
        read((*member)[i], this->path_of(key) + "/" + std::to_string(i));
    }
}

void json_reader::finish()
{
    if (!this->value.is_object())
    {
        return;
    }
    for (auto const& [name, inner] : this->value.items())
    {
        if (std::find(this->known.begin(), this->known.end(), name) !=
            this->known.end())
        {
            continue;
        }
        auto const nearest = nearest_name(name, this->known);
        auto const hint =
            nearest.empty() ? "" : ", did you mean \"" + nearest + "\"?";
        this->reject(name, "unknown key" + hint);
    }
}

std::string nearest_name(std::string const& word,
                         std::vector<std::string> const& known)
{
    std::string best;
    auto best_distance = word.size() / 2 + 1;
    for (auto const& candidate : known)
    {
        auto const distance = edit_distance(word, candidate);
        if (distance < best_distance)
        {
            best_distance = distance;
            best = candidate;
        }
    }
    return best;
}

bool is_address(std::string const& text)
{
    return is_address_with_port(text, 1);
}

bool is_listen_address(std::string const& text)
{
    return is_address_with_port(text, 0);
}

} // namespace caperpath::config
