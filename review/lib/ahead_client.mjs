/** Stand-in of a client that sends idempotent requests ahead (RFC 9112, 9.3.2). */
import { connect } from "node:net";

let pages = 0;

/**
 * Sends several GET requests at once on a connection of its own, in order.
 *
 * @returns The outcome of each: `status` is undefined if the connection ended
 * without a complete answer to it.
 */
export function sendAhead({ name, address, record, paths, timeoutMs }) {
  const page = ++pages;
  const outcomes = paths.map((path, index) => ({
    requestId: `${name}-page${page}-${index + 1}`,
    path,
    sentAt: record.now,
    status: undefined,
  }));
  const waiting = [...outcomes];
  return new Promise((resolve) => {
    const socket = connect(address);
    let text = "";
    const finish = (reason) => {
      clearTimeout(timer);
      const endedAt = record.now;
      waiting.splice(0).forEach((outcome) => {
        Object.assign(outcome, { endedAt, reason });
        record.line(
          `${outcome.requestId} GET ${outcome.path}: no answer after ` +
            `${Math.round(endedAt - outcome.sentAt)} ms (${reason})`,
        );
      });
      socket.destroy();
      resolve(outcomes);
    };
    const timer = setTimeout(() => finish("given up"), timeoutMs);
    const readAnswer = () => {
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) return false;
      const head = text.slice(0, end);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (text.length < end + 4 + length) return false;
      text = text.slice(end + 4 + length);
      const outcome = waiting.shift();
      if (outcome === undefined) return false;
      outcome.status = Number(head.slice(9, 12));
      outcome.endedAt = record.now;
      record.line(
        `${outcome.requestId} GET ${outcome.path}: ${outcome.status} after ` +
          `${Math.round(outcome.endedAt - outcome.sentAt)} ms`,
      );
      return true;
    };
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      while (readAnswer());
      if (waiting.length === 0) finish("all answered");
    });
    socket.on("error", (error) => finish(error.message));
    socket.on("close", () => finish("the connection was closed"));
    socket.write(
      outcomes.map(({ requestId, path }) =>
        `GET ${path} HTTP/1.1\r\nHost: lunch.example\r\n` +
        `Oleanderdeck-Request-Id: ${requestId}\r\n` +
        `Oleanderdeck-Request-Timeout-Ms: ${timeoutMs}\r\n\r\n`
      ).join(""),
      () => {
        const sentAt = record.now;
        outcomes.forEach((outcome) => outcome.sentAt = sentAt);
      },
    );
  });
}
