#ifndef CAPERPATH_SRC_GATEWAY_NONTHROWING_PORT_HPP
#define CAPERPATH_SRC_GATEWAY_NONTHROWING_PORT_HPP

#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>

namespace caperpath::gateway
{

/// Returns a port that makes the calls of `port`. A call that throws ends with
/// an `internal` error, which the callback gets later on `executor`; a commit
/// is then `unknown`. Code that continues at the end of a call so does after
/// one that could not be made, too. No callback is called twice.
///
/// An exception of a callback is not caught.
store::async_port
make_nonthrowing_port(store::async_port port,
                      boost::asio::any_io_executor const& executor);

} // namespace caperpath::gateway

#endif
