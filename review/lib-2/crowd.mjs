// A process of its own: many clients that upload one body each at the same time,
// again and again, each on a new connection.
import { connect } from "node:net";

const {
  host,
  port,
  addresses,
  authority,
  path,
  clients,
  bodyBytes,
  timeoutMs,
} = JSON.parse(
  process.argv[2],
);
const body = Buffer.alloc(bodyBytes, "p");
const counts = { sent: 0 };
let next = 0;

process.on("disconnect", () => process.exit(0));
process.on("message", ({ kind }) => {
  if (kind === "begin") { for (let n = 0; n < clients; n++) void repeat(); }
});
setInterval(() => process.send?.(counts), 200);

async function repeat() {
  while (true) {
    const outcome = await upload();
    counts[outcome] = (counts[outcome] ?? 0) + 1;
    await new Promise((resolve) => setTimeout(resolve, 1_000));
  }
}

function upload() {
  const id = `cr${process.pid}${(++next).toString(16).padStart(6, "0")}`;
  counts.sent++;
  return new Promise((resolve) => {
    const localAddress = addresses[next % addresses.length];
    const socket = connect({ port, host, localAddress });
    let text = "";
    const timer = setTimeout(() => end("deadline"), timeoutMs);
    const end = (outcome) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? outcome);
    };
    socket.on("connect", () => {
      const header = `POST ${path}${id} HTTP/1.1\r\nHost: ${authority}\r\n` +
        `Oleanderdeck-Request-Id: ${id}\r\n` +
        `Oleanderdeck-Request-Timeout-Ms: ${timeoutMs}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n`;
      socket.write(Buffer.concat([Buffer.from(header), body]));
    });
    socket.on("data", (chunk) => {
      text += chunk;
      if (text.includes("\r\n\r\n")) end("answered");
    });
    socket.on("end", () => end("closed"));
    socket.on("error", (error) => end(error.code));
  });
}
