#pragma once

#include "tests/support/raw_socket.h"

#include <cppunit/TestAssert.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace ibishinge {

/// Server for one connection at a time that sends each response in pieces, as a narrow link
/// delivers it.
class slow_server
{
public:
    slow_server(int status, std::string body, int pieces, std::chrono::milliseconds pause)
        : m_status(status)
        , m_body(std::move(body))
        , m_pieces(pieces)
        , m_pause(pause)
    {
        CPPUNIT_ASSERT_EQUAL(0, listen(m_listener.descriptor(), 16));
        m_thread = std::thread([this] { run(); });
    }
    ~slow_server()
    {
        m_stopping = true;
        const raw_socket wakesAccept(m_listener.where());
        m_thread.join();
    }
    slow_server(const slow_server &) = delete;
    slow_server &operator=(const slow_server &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_listener.where().port);
    }
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }

    /// Returns true if the client has closed a connection before the end of a response.
    [[nodiscard]] bool brokenOff() const
    {
        return m_brokenOff;
    }

private:
    void run()
    {
        while (!m_stopping) {
            raw_socket peer(accept(m_listener.descriptor(), nullptr, nullptr));
            if (!m_stopping && !peer.read(std::chrono::seconds(5)).value_or("").empty()) {
                ++m_requests;
                respond(peer);
            }
        }
    }

    void respond(raw_socket &peer)
    {
        peer.write("HTTP/1.1 " + std::to_string(m_status)
                   + " Status\r\nConnection: close\r\nContent-Length: "
                   + std::to_string(m_body.size()) + "\r\n\r\n");
        const auto size = m_body.size() / static_cast<std::size_t>(m_pieces) + 1;
        for (std::size_t at = 0; at < m_body.size(); at += size) {
            std::this_thread::sleep_for(m_pause);
            if (!peer.write(m_body.substr(at, size))) {
                m_brokenOff = true;
                return;
            }
        }
    }

    const int m_status;
    const std::string m_body;
    const int m_pieces;
    const std::chrono::milliseconds m_pause;
    bound_socket m_listener;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_requests = 0;
    std::atomic<bool> m_brokenOff = false;
    std::thread m_thread;
};

} // namespace ibishinge
