#include <caperpath/fleet/fingerprint.hpp>

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <cstddef>
#include <memory>

namespace caperpath::fleet
{

namespace
{

constexpr std::size_t digits_per_half = 16;
constexpr int hex_base = 16;

using digest_context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/// Hashes `part` after its length, so that no two contents give the same bytes.
void add(digest_context const& to, std::string_view part)
{
    std::uint64_t const size = part.size();
    EVP_DigestUpdate(to.get(), &size, sizeof size);
    EVP_DigestUpdate(to.get(), part.data(), part.size());
}

std::uint64_t read_big_endian(unsigned char const* bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < sizeof number; ++i)
    {
        constexpr int bits_of_a_byte = 8;
        number = number << bits_of_a_byte | bytes[i];
    }
    return number;
}

std::string to_hex(std::uint64_t number)
{
    std::array<char, digits_per_half> text{};
    text.fill('0');
    std::array<char, digits_per_half> found{};
    auto const end = std::to_chars(found.data(), found.data() + found.size(),
                                   number, hex_base)
                         .ptr;
    auto const size = static_cast<std::size_t>(end - found.data());
    for (std::size_t i = 0; i < size; ++i)
    {
        text[digits_per_half - size + i] = found[i];
    }
    return {text.data(), text.size()};
}

std::optional<std::uint64_t> parse_hex(std::string_view digits)
{
    std::uint64_t number{};
    auto const* const end = digits.data() + digits.size();
    auto const [stop, fault] =
        std::from_chars(digits.data(), end, number, hex_base);
    return fault == std::errc{} && stop == end ? std::optional{number}
                                               : std::nullopt;
}

} // namespace

fingerprint fingerprint_of(request_content const& content)
{
    digest_context const context{EVP_MD_CTX_new(), EVP_MD_CTX_free};
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    add(context, content.caller);
    add(context, content.method);
    add(context, content.host);
    add(context, content.target);
    add(context, content.body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return {read_big_endian(digest.data()),
            read_big_endian(digest.data() + sizeof(std::uint64_t))};
}

std::string to_string(fingerprint const& of)
{
    return to_hex(of.high) + to_hex(of.low);
}

std::optional<fingerprint> read_fingerprint(std::string_view text)
{
    if (text.size() != 2 * digits_per_half)
    {
        return std::nullopt;
    }
    auto const high = parse_hex(text.substr(0, digits_per_half));
    auto const low = parse_hex(text.substr(digits_per_half));
    if (!high || !low)
    {
        return std::nullopt;
    }
    return fingerprint{*high, *low};
}

} // namespace caperpath::fleet
