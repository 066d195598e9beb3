#ifndef CAPERPATH_STORE_WIRE_HPP
#define CAPERPATH_STORE_WIRE_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/store/table.hpp>

#include <cstddef>
#include <string>
#include <vector>

/// The JSON that the platform's client and its stand-in exchange over HTTP:
///
///     POST /table/commit   transaction    -> applied | refusal
///     POST /table/read     keys           -> rows
///     POST /table/scan     scan_request   -> rows
///     PUT  /objects/NAME   raw content    -> applied | refusal
///     GET  /objects/NAME                  -> raw content
///     GET  /vms                           -> listed VMs
///
/// All functions are pure and thread safe. Encoding what a caller wrote fails
/// as `invalid` when a text is not UTF-8; decoding fails as `invalid` with the
/// path of the first fault.
namespace caperpath::store::wire
{

constexpr char commit_path[] = "/table/commit";
constexpr char read_path[] = "/table/read";
constexpr char scan_path[] = "/table/scan";
constexpr char objects_path[] = "/objects/";
constexpr char vms_path[] = "/vms";

/// The most keys that one read may ask for.
constexpr std::size_t max_read_keys = 100;

/// The most rows that one scan may ask for.
constexpr std::size_t max_scan_rows = 10'000;

/// What `port::scan` takes. Immutable value.
struct scan_request
{
    std::string prefix;
    std::string after;
    std::size_t limit{};

    friend bool operator==(scan_request const&, scan_request const&) = default;
};

/// The platform's word that a call had no effect. Immutable value.
struct refusal
{
    error_kind kind{error_kind::refused};
    std::string detail;
    std::vector<row> failed; ///< rows whose condition did not hold

    friend bool operator==(refusal const&, refusal const&) = default;
};

result<std::string> encode(transaction const& txn);
result<transaction> decode_transaction(std::string const& body);

result<std::string> encode_keys(std::vector<std::string> const& keys);
result<std::vector<std::string>> decode_keys(std::string const& body);

result<std::string> encode(scan_request const& wanted);
result<scan_request> decode_scan(std::string const& body);

std::string encode_rows(std::vector<row> const& rows);
result<std::vector<row>> decode_rows(std::string const& body);

std::string encode_applied();

/// True only for what `encode_applied` gives.
bool is_applied(std::string const& body);

std::string encode(refusal const& why);

/// Fails for any body that does not itself say that nothing took effect.
result<refusal> decode_refusal(std::string const& body);

std::string encode_vms(std::vector<listed_vm> const& vms);
result<std::vector<listed_vm>> decode_vms(std::string const& body);
result<listed_vm> decode_vm(std::string const& body);

/// The path of an object, with every byte of the name but letters, digits,
/// "-._~" and "/" percent-encoded.
std::string object_path(std::string const& name);

} // namespace caperpath::store::wire

#endif
