// Ordinary client on a kept connection: one request after the other.
import { connect } from "node:net";
import { newId } from "./client.mjs";

const CLOSES = /^connection: close/im;

/**
 * Sends requests until `until()` says so. A connection that closes is replaced.
 * Each outcome has id, isKept (not the first of its connection), status, sentAt,
 * endedAt and outcome: answered, closed or deadline.
 */
export async function keepSending(
  { host, port },
  { request, timeoutMs, until, pauseMs = 20, onOutcome },
) {
  while (!until()) {
    const socket = connect(port, host);
    socket.setNoDelay(true);
    let isOpen = true;
    let text = "";
    let wake = () => {};
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      wake();
    });
    const lose = () => {
      isOpen = false;
      wake();
    };
    socket.on("end", lose);
    socket.on("error", lose);
    socket.on("close", lose);
    let count = 0;
    while (isOpen && !until()) {
      const id = newId();
      const sentAt = performance.now();
      text = "";
      socket.write(request(id, timeoutMs));
      const deadline = sentAt + timeoutMs;
      while (isOpen && !isComplete(text) && performance.now() < deadline) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, deadline - performance.now());
          wake = () => {
            clearTimeout(timer);
            resolve();
          };
        });
      }
      const isAnswered = isComplete(text);
      const endedAt = performance.now();
      onOutcome({
        id,
        isKept: count++ > 0,
        status: Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0),
        sentAt,
        endedAt,
        outcome: isAnswered ? "answered" : isOpen ? "deadline" : "closed",
      });
      if (!isAnswered || CLOSES.test(text)) break;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    socket.destroy();
    await new Promise((resolve) => setTimeout(resolve, 200));
  }
}

function isComplete(text) {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return false;
  const length = /content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1];
  return length !== undefined && text.length >= headEnd + 4 + Number(length);
}
