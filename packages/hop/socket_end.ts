import type { Socket } from "node:net";

/** Times of the end of a connection. */
export interface EndTimes {
  /**
   * Time that the other side gets to close the connection after all bytes were
   * written, in milliseconds.
   */
  readonly closeMs: number;
  /**
   * Time by which the connection is destroyed in any case, as of
   * `performance.now()`.
   */
  readonly latestAt: number;
}

/**
 * Destroys a connection that was told to end, once its bytes were written and
 * the other side has closed it or had the time to do so. To destroy it at once
 * would lose what the other side has not read yet, if it sends anything.
 *
 * @param socket Connection whose incoming bytes are read by its owner.
 * @param times Times of the end.
 * @returns Resolves when the connection is closed.
 */
export function destroyWhenEnded(
  socket: Socket,
  { closeMs, latestAt }: EndTimes,
): Promise<void> {
  return new Promise((resolve) => {
    if (socket.closed) return resolve();
    let timer: NodeJS.Timeout | undefined;
    const check = (wasWriting: boolean) => {
      const leftMs = latestAt - performance.now();
      if (!wasWriting || leftMs <= 0) return void socket.destroy();
      const isWriting = socket.writableLength > 0;
      timer = setTimeout(() => check(isWriting), Math.min(closeMs, leftMs));
    };
    socket.once("close", () => {
      clearTimeout(timer);
      resolve();
    });
    check(true);
  });
}

/**
 * Bytes that are read and dropped of a connection that has ended before it is
 * destroyed. It is more than the kernels of both sides hold for a connection, so
 * a sender that stops at the end of the connection stays below it.
 */
const MAX_DROPPED_BYTES = 16_777_216;

/**
 * Reads and drops what still arrives on a connection that has ended, in place of
 * its other readers. Bytes that aren't read would reset the connection, and the
 * other side would lose what was sent to it.
 *
 * @param socket Connection whose last bytes were written.
 */
export function dropIncoming(socket: Socket): void {
  let droppedBytes = 0;
  socket.removeAllListeners("data");
  socket.on("data", (chunk: Buffer) => {
    droppedBytes += chunk.length;
    if (droppedBytes > MAX_DROPPED_BYTES) socket.destroy();
  });
  socket.resume();
}
