#ifndef CAPERPATH_STORE_WIRE_HPP
#define CAPERPATH_STORE_WIRE_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/store/table.hpp>

#include <cstddef>
#include <string>
#include <vector>

/// The JSON that the platform's client and its emulator exchange over HTTP:
///
///     POST /table/commit   transaction    -> applied | rejection
///     POST /table/read     keys           -> rows
///     POST /table/scan     scan_request   -> rows
///     PUT  /objects/NAME   raw content    -> applied | rejection
///     GET  /objects/NAME                  -> raw content
///     GET  /vms                           -> listed VMs
///
/// All functions are pure and thread safe. Encoding of caller data fails with
/// `invalid` if a text is not UTF-8; decoding fails with `invalid` and the path
/// of the first fault.
namespace caperpath::store::wire
{

constexpr char commit_path[] = "/table/commit";
constexpr char read_path[] = "/table/read";
constexpr char scan_path[] = "/table/scan";
constexpr char objects_path[] = "/objects/";
constexpr char vms_path[] = "/vms";

/// Most keys of one read.
constexpr std::size_t max_read_keys = 100;

/// Most rows of one scan.
constexpr std::size_t max_scan_rows = 10'000;

/// The arguments of `port::scan`. Immutable value.
struct scan_request
{
    std::string prefix;
    std::string after;
    std::size_t limit{};

    friend bool operator==(scan_request const&, scan_request const&) = default;
};

/// The platform's statement that a call had no effect. Immutable value.
struct rejection
{
    error_kind kind{error_kind::refused};
    std::string detail;
    std::vector<row> failed; ///< rows whose condition did not hold

    friend bool operator==(rejection const&, rejection const&) = default;
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

/// True only for the text that `encode_applied` returns.
bool is_applied(std::string const& body);

std::string encode(rejection const& why);

/// Fails unless the body itself states that nothing took effect.
result<rejection> decode_rejection(std::string const& body);

std::string encode_vms(std::vector<listed_vm> const& vms);
result<std::vector<listed_vm>> decode_vms(std::string const& body);
result<listed_vm> decode_vm(std::string const& body);

/// Returns the path of an object: percent-encodes every byte of the name except
/// letters, digits, "-._~" and "/".
std::string object_path(std::string const& name);

} // namespace caperpath::store::wire

#endif
