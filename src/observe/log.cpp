#include <caperpath/observe/log.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <charconv>

namespace caperpath::observe
{

namespace
{

constexpr std::string_view hex_digits{"0123456789abcdef"};
constexpr std::string_view bare_punctuation{"._:/@+,-"};

bool is_bare(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') ||
           bare_punctuation.find(c) != std::string_view::npos;
}

bool is_printable(char c)
{
    return c >= ' ' && c <= '~';
}

void append_escaped(std::string& text, char c)
{
    if (c == '"' || c == '\\')
    {
        text += '\\';
        text += c;
        return;
    }
    if (is_printable(c))
    {
        text += c;
        return;
    }
    auto const byte = static_cast<unsigned char>(c);
    text += "\\x";
    text += hex_digits[byte >> 4U];
    text += hex_digits[byte & 0xfU];
}

void append_field(std::string& line, std::string_view key,
                  std::string_view value)
{
    if (value.empty())
    {
        return;
    }
    if (!line.empty())
    {
        line += ' ';
    }
    line += key;
    line += '=';
    line += escape_value(value);
}

void write(google::LogSeverity severity, log_context const& context,
           std::string_view detail, source_location at)
{
    google::LogMessage message{at.file, at.line, severity};
    message.stream() << format_line(context, detail);
}

} // namespace

void start_log(char const* program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

// Prevents log forging: a caller could put a line break or `request=` into a
// header that is logged. Every byte outside printable ASCII and every quote is
// escaped inside quotes, so a value can end neither its line nor its field.
std::string escape_value(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_bare))
    {
        return std::string{value};
    }
    std::string text{"\""};
    for (char const c : value)
    {
        append_escaped(text, c);
    }
    text += '"';
    return text;
}

std::string unescape_value(std::string_view text)
{
    if (text.empty() || text.front() != '"')
    {
        return std::string{text};
    }
    std::string value;
    for (std::size_t i = 1; i + 1 < text.size(); ++i)
    {
        if (text[i] != '\\')
        {
            value += text[i];
            continue;
        }
        ++i;
        if (text[i] != 'x')
        {
            value += text[i];
            continue;
        }
        int byte = 0;
        std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
        value += static_cast<char>(byte);
        i += 2;
    }
    return value;
}

std::string format_line(log_context const& context, std::string_view detail)
{
    std::string line;
    append_field(line, "step", context.step);
    append_field(line, "request", context.request);
    append_field(line, "peer", context.peer);
    append_field(line, "detail", detail);
    return line;
}

void log_info(log_context const& context, std::string_view detail,
              source_location at)
{
    write(google::GLOG_INFO, context, detail, at);
}

void log_warning(log_context const& context, std::string_view detail,
                 source_location at)
{
    write(google::GLOG_WARNING, context, detail, at);
}

void log_error(log_context const& context, std::string_view detail,
               source_location at)
{
    write(google::GLOG_ERROR, context, detail, at);
}

void log_failure(std::string_view request, error const& fault,
                 source_location at)
{
    auto const detail =
        std::string{to_string(fault.kind)} + ": " + fault.detail;
    write(google::GLOG_WARNING, {fault.step, request, fault.peer}, detail, at);
}

} // namespace caperpath::observe
