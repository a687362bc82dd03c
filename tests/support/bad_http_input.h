#pragma once

#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

enum class sender { ends, stays_open };

/// What a client sends and the status it must get; 0: the connection is closed without a response.
struct bad_input
{
    std::string name;
    std::string bytes;
    sender then;
    std::vector<int> allowedStatus;
};

inline std::string post(const std::string &headers, const std::string &body = "")
{
    return "POST /x HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

inline int statusOf(const std::string &response)
{
    constexpr std::size_t statusAt = 9;
    return response.starts_with("HTTP/1.1 ") ? std::stoi(response.substr(statusAt, 3)) : 0;
}

inline std::string manyHeaders(int count)
{
    std::string headers;
    for (int i = 0; i < count; ++i) {
        headers += "H" + std::to_string(i) + ": v\r\n";
    }
    return headers;
}

inline std::vector<bad_input> badInputs()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string large(2000, 'x');
    return {
        {"no HTTP", "hello\r\n\r\n", sender::stays_open, {0, 400}},
        {"unknown version", "POST /x HTTP/9.9\r\n\r\n", sender::stays_open, {0, 400, 505}},
        {"header above the bound",
         post("H: " + std::string(20000, 'h') + "\r\n"),
         sender::stays_open,
         {0, 400, 413, 431}},
        {"headers without an end",
         "POST /x HTTP/1.1\r\nH: " + std::string(100000, 'h'),
         sender::stays_open,
         {0, 400, 413, 431}},
        {"more headers than allowed",
         post(manyHeaders(300)),
         sender::stays_open,
         {0, 400, 413, 431}},
        {"body above the bound",
         post("Content-Length: 2000\r\n", large),
         sender::stays_open,
         {413}},
        {"announced body above the bound",
         post("Content-Length: 99999999999\r\n", "abc"),
         sender::stays_open,
         {413}},
        {"length above 64 bits",
         post("Content-Length: 99999999999999999999999\r\n", "abc"),
         sender::stays_open,
         {400, 413}},
        {"chunked body above the bound",
         post(chunked, "7d0\r\n" + large + "\r\n0\r\n\r\n"),
         sender::stays_open,
         {413}},
        {"length that is no number",
         post("Content-Length: abc\r\n", "abc"),
         sender::stays_open,
         {400, 411}},
        {"negative length", post("Content-Length: -3\r\n", "abc"), sender::stays_open, {400, 411}},
        {"length with a sign", post("Content-Length: +3\r\n", "abc"), sender::stays_open, {400}},
        {"empty length", post("Content-Length: \r\n", "abc"), sender::stays_open, {400, 411}},
        {"two lengths",
         post("Content-Length: 3\r\nContent-Length: 5\r\n", "abcde"),
         sender::stays_open,
         {400}},
        {"list of lengths", post("Content-Length: 3, 5\r\n", "abcde"), sender::stays_open, {400}},
        {"both framings",
         post("Content-Length: 3\r\n" + chunked, "3\r\nabc\r\n0\r\n\r\n"),
         sender::stays_open,
         {400}},
        {"both framings, other order",
         post(chunked + "Content-Length: 3\r\n", "0\r\n\r\n"),
         sender::stays_open,
         {400}},
        {"unknown transfer coding",
         post("Transfer-Encoding: gzip\r\n", "abc"),
         sender::ends,
         {400, 501}},
        {"chunked twice",
         post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"),
         sender::ends,
         {400, 501}},
        {"two transfer codings",
         post("Transfer-Encoding: gzip\r\n" + chunked, "0\r\n\r\n"),
         sender::ends,
         {400, 501}},
        {"chunk size that is no number",
         post(chunked, "zz\r\nabc\r\n0\r\n\r\n"),
         sender::stays_open,
         {0, 400}},
        {"chunk longer than its size",
         post(chunked, "2\r\nabc\r\n0\r\n\r\n"),
         sender::stays_open,
         {0, 400}},
        {"cut headers", "POST /x HTTP/1.1\r\nHost: a\r\nConte", sender::ends, {0, 400}},
        {"cut body", post("Content-Length: 10\r\n", "abc"), sender::ends, {0, 400}},
        {"cut chunk", post(chunked, "a\r\nabc"), sender::ends, {0, 400}},
        {"chunked body without its end", post(chunked, "3\r\nabc\r\n"), sender::ends, {0, 400}},
        {"chunked body without any chunk", post(chunked), sender::ends, {0, 400}},
        {"half-open without a byte", "", sender::stays_open, {0, 408}},
        {"half-open in the headers", "POST /x HTTP/1.1\r\nHo", sender::stays_open, {0, 400, 408}},
        {"half-open in the body",
         post("Content-Length: 10\r\n", "abc"),
         sender::stays_open,
         {0, 400, 408}},
        {"half-open in a chunk", post(chunked, "a\r\nabc"), sender::stays_open, {0, 400, 408}},
        {"half-open between chunks",
         post(chunked, "3\r\nabc\r\n"),
         sender::stays_open,
         {0, 400, 408}},
    };
}

} // namespace ibishinge
