// Client as the pages describe it: one request a connection, a deadline, and
// what the node answered.
import { connect } from "node:net";

let next = 0;

/** Identity that no other request has. */
export function newId() {
  return `c${process.pid.toString(16)}${
    (++next).toString(16).padStart(8, "0")
  }`;
}

/** Sends one request on a new connection; resolves to what came back. */
export function send(
  { host, port },
  {
    method = "GET",
    path,
    authority,
    id = newId(),
    timeoutMs = 5_000,
    body = "",
    headers = [],
    statesLength = body !== "",
  },
) {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const socket = connect(port, host);
    let text = "";
    const timer = setTimeout(() => end("deadline"), timeoutMs);
    const end = (outcome) => {
      clearTimeout(timer);
      socket.destroy();
      const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
      resolve({
        id,
        method,
        path: path.slice(0, 60),
        outcome,
        status,
        text,
        sentAt,
        endedAt: performance.now(),
      });
    };
    socket.setNoDelay(true);
    socket.on("connect", () =>
      socket.write([
        `${method} ${path} HTTP/1.1`,
        `Host: ${authority}`,
        `Oleanderdeck-Request-Id: ${id}`,
        `Oleanderdeck-Request-Timeout-Ms: ${timeoutMs}`,
        ...(!statesLength
          ? []
          : [`Content-Length: ${Buffer.byteLength(body)}`]),
        ...headers,
        "",
        body,
      ].join("\r\n")));
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (isComplete(text)) end("answered");
    });
    socket.on("end", () => end(isComplete(text) ? "answered" : "closed"));
    socket.on("error", (error) => end(error.code));
  });
}

function isComplete(text) {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return false;
  const length = /content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1];
  return length !== undefined && text.length >= headEnd + 4 + Number(length);
}

/** Asks whether a machine is ready, as the platform does each second. */
export async function isReady(host, port, timeoutMs = 1_000) {
  const { status, outcome } = await send({ host, port }, {
    path: "/readyz",
    authority: "platform",
    timeoutMs,
  });
  return outcome === "answered" && status === 200;
}
