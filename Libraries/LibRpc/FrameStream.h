/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A byte stream that carries Thrift frames: four bytes of length, then the
// message. This is the format of Thrift's own framed transport, read and written
// on the GLib loop.

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

/** Limits of a stream. */
struct FrameLimits {
    /** A longer incoming frame closes the stream. */
    std::uint32_t maximumFrameBytes{16 * 1024 * 1024};
    /** The stream is closed when more bytes than this wait to be written, because the peer reads too slowly. */
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

    /** Starts reading. The hooks are called from the loop, `closed` exactly once. */
    void start(FrameHook frameReceived, ClosedHook closed);

    /** Queues one frame for writing. Does nothing when the stream is closed. */
    void send(const std::string &payload);

    /** Closes the stream and calls `closed` with the reason. Does nothing when the stream is closed already. */
    void close(const std::string &reason);

    /** Whether a frame has been received in part. */
    [[nodiscard]] bool hasPartialFrame() const;

    /** Whether queued bytes have not been written yet. */
    [[nodiscard]] bool hasUnwritten() const;

    /** Returns the number of bytes read so far. It grows with every read, so that the owner can detect a stalled sender. */
    [[nodiscard]] std::uint64_t bytesReceived() const;
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    FrameStream(Core::ObjectPointer<GIOStream> stream, FrameLimits limits);

    void readMore();
    void receiveBytes(const char *bytes, std::size_t count);
    void extractFrames();
    void writeMore();
    static void readDone(GObject *source, GAsyncResult *result, gpointer data);
    static void writeDone(GObject *source, GAsyncResult *result, gpointer data);

    Core::ObjectPointer<GIOStream> stream;
    Core::ObjectPointer<GCancellable> cancellable;
    FrameLimits limits;
    FrameHook frameReceived;
    ClosedHook closed;
    std::string readBuffer;
    std::string incoming;
    std::string writing;
    std::string outgoing;
    std::uint64_t received{0};
    std::uint64_t sent{0};
    bool isClosed{false};
    // Invariant: at most one write is in flight, and `writing` does not change until it ends.
    bool isWriteInFlight{false};
};

}
