// Reads HTTP messages of peers that are not trusted.
#ifndef DOTTERELLEAD_READ_MESSAGE_H_
#define DOTTERELLEAD_READ_MESSAGE_H_

#include "dotterellead/net.h"

namespace dotterellead {

// Reads one message whole, of at most the parser's limits. The header is read
// first, because http::async_read of Boost 1.74 allocates a body of the length
// that a response states even if that length exceeds the body limit.
template <class Parser>
task<> ReadMessage(beast::tcp_stream& stream,
                   beast::flat_buffer& buffer,
                   Parser& parser,
                   error_code& ec) {
  co_await http::async_read_header(stream, buffer, parser, Resume(ec));
  if (!ec && !parser.is_done())
    co_await http::async_read(stream, buffer, parser, Resume(ec));
}

}  // namespace dotterellead

#endif  // DOTTERELLEAD_READ_MESSAGE_H_
