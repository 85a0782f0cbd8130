/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One byte stream that carries Thrift frames: four bytes of length, then the
// message. This is Thrift's own framed transport, moved by the GLib loop.

#pragma once

#include <LibCore/ObjectPointer.h>
#include <LibCore/Result.h>

#include <cstdint>
#include <functional>
#include <gio/gio.h>
#include <memory>
#include <string>

namespace Rpc
{

/** What a stream accepts. */
struct FrameLimits {
    /** A longer frame closes the stream. */
    std::uint32_t maximumFrameBytes{16 * 1024 * 1024};
    /** When this much waits to be written, the other side is too slow and the stream closes. */
    std::size_t maximumQueuedBytes{64 * 1024 * 1024};
};

/** Sends and receives frames until closed. */
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
    using FrameHook = std::function<void(std::string frame)>;
    using ClosedHook = std::function<void(const std::string &reason)>;

    [[nodiscard]] static std::shared_ptr<FrameStream> create(Core::ObjectPointer<GIOStream> stream, FrameLimits limits);
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    /** Starts to read. The hooks are called from the loop, `closed` exactly once. */
    void start(FrameHook frameArrived, ClosedHook closed);

    /** Queues one frame. */
    void send(const std::string &payload);

    /** Ends the stream; `closed` is called with the reason. */
    void close(const std::string &reason);

    /** Whether bytes of an unfinished frame have arrived. */
    [[nodiscard]] bool hasPartialFrame() const;

    /** Whether bytes wait to be written. */
    [[nodiscard]] bool hasUnwritten() const;

    /** Counts every read, so that an owner can tell a stalled sender. */
    [[nodiscard]] std::uint64_t bytesReceived() const;
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    FrameStream(Core::ObjectPointer<GIOStream> stream, FrameLimits limits);

    void readMore();
    void takeBytes(const char *bytes, std::size_t count);
    void takeFrames();
    void writeMore();
    static void readDone(GObject *source, GAsyncResult *result, gpointer data);
    static void writeDone(GObject *source, GAsyncResult *result, gpointer data);

    Core::ObjectPointer<GIOStream> stream;
    Core::ObjectPointer<GCancellable> cancellable;
    FrameLimits limits;
    FrameHook frameArrived;
    ClosedHook closed;
    std::string readBuffer;
    std::string incoming;
    std::string writing;
    std::string outgoing;
    std::uint64_t received{0};
    std::uint64_t sent{0};
    bool isClosed{false};
    // Invariant: at most one write is under way, and `writing` does not change meanwhile.
    bool writeUnderWay{false};
};

}
