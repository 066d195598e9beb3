#include "gateway/relays/relay_message.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <istream>
#include <sstream>
#include <type_traits>

namespace caperpath::gateway
{

namespace
{

/// First byte of each message: messages of another format are rejected.
constexpr std::uint8_t format = 1;
constexpr std::size_t length_size = 2;
constexpr std::size_t max_length = 512;
constexpr unsigned byte_bits = 8;
constexpr unsigned byte_mask = 0xff;

std::string with_length(std::string const& bytes)
{
    std::string framed;
    framed += static_cast<char>(bytes.size() >> byte_bits);
    framed += static_cast<char>(bytes.size() & byte_mask);
    return framed + bytes;
}

template <class Message>
std::string encode_message(Message const& message)
{
    std::ostringstream bytes;
    cereal::PortableBinaryOutputArchive archive{bytes};
    archive(format, message);
    if constexpr (std::is_same_v<Message, relay_request>)
    {
        archive(message.outlasts_silence);
    }
    return with_length(bytes.str());
}

/// Reads the fields that other versions of the sender leave out.
template <class Message, class Archive>
void decode_optional(Message& message, std::istream& from, Archive& archive)
{
    if constexpr (std::is_same_v<Message, relay_request>)
    {
        if (from.peek() != std::istream::traits_type::eof())
        {
            archive(message.outlasts_silence);
        }
    }
}

template <class Message>
result<Message> decode(std::string const& bytes)
{
    Message message;
    std::uint8_t found{};
    try
    {
        std::istringstream from{bytes};
        cereal::PortableBinaryInputArchive archive{from};
        archive(found);
        if (found == format)
        {
            archive(message);
            decode_optional(message, from, archive);
            return message;
        }
    }
    catch (std::exception const& fault)
    {
        return fail({error_kind::invalid, "decode relay message", "router",
                     fault.what()});
    }
    return fail({error_kind::invalid, "decode relay message", "router",
                 "unknown format"});
}

template <class Message>
result<std::optional<Message>> take(boost::beast::flat_buffer& input)
{
    if (input.size() < length_size)
    {
        return std::optional<Message>{};
    }
    auto const* const bytes =
        static_cast<unsigned char const*>(input.data().data());
    auto const length =
        static_cast<std::size_t>(bytes[0]) << byte_bits | bytes[1];
    if (length > max_length)
    {
        return fail({error_kind::invalid, "decode relay message", "router",
                     "too long"});
    }
    if (input.size() < length_size + length)
    {
        return std::optional<Message>{};
    }
    std::string const body{
        static_cast<char const*>(input.data().data()) + length_size, length};
    input.consume(length_size + length);
    BOOST_LEAF_AUTO(message, decode<Message>(body));
    return std::optional{std::move(message)};
}

} // namespace

template <class Archive>
void serialize(Archive& archive, relay_request& one)
{
    archive(one.server.value, one.probe_only);
}

template <class Archive>
void serialize(Archive& archive, relay_reply& one)
{
    archive(one.outcome, one.proven);
}

std::string_view to_text(relay_outcome outcome)
{
    switch (outcome)
    {
    case relay_outcome::connected:
        return "connected";
    case relay_outcome::refused:
        return "refused";
    case relay_outcome::silent:
        return "silent";
    case relay_outcome::unknown_server:
        return "unknown_server";
    case relay_outcome::cut_off:
        return "cut_off";
    case relay_outcome::busy:
        return "busy";
    case relay_outcome::stopping:
        break;
    }
    return "stopping";
}

std::string encode(relay_request const& message)
{
    return encode_message(message);
}

std::string encode(relay_reply const& message)
{
    return encode_message(message);
}

result<std::optional<relay_request>>
take_relay_request(boost::beast::flat_buffer& input)
{
    return take<relay_request>(input);
}

result<std::optional<relay_reply>>
take_relay_reply(boost::beast::flat_buffer& input)
{
    return take<relay_reply>(input);
}

} // namespace caperpath::gateway
