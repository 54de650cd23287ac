// A process of its own: the upload clients of one machine and the upload worker
// beside it, so that the bytes don't hold up the rest of a script.
//
// The worker runs each upload. While its answers are lost (message "lose"), it
// resets the connection of a share of them in place of answering; it answers the
// others. It is told "keep" to answer all again.
import { connect, createServer } from "node:net";
import { Worker } from "./worker.mjs";

const options = JSON.parse(process.argv[2]);
const { host, ports, authority, path, clients, bodyBytes, timeoutMs } = options;
const body = Buffer.alloc(bodyBytes, "p");
const counts = { run: 0, lost: 0 };
let lostShare = 0;

process.on("message", ({ kind, share }) => {
  if (kind === "lose") lostShare = share;
  if (kind === "keep") lostShare = 0;
  if (kind === "end") process.exit(0);
});
process.on("disconnect", () => process.exit(0));

createServer((socket) => {
  let left;
  let id = "";
  socket.on("error", () => {});
  socket.on("data", (chunk) => {
    if (left === undefined) {
      const text = chunk.toString("latin1");
      const headEnd = text.indexOf("\r\n\r\n");
      const field = (name) =>
        new RegExp(`^${name}: (.*)$`, "im").exec(text.slice(0, headEnd))?.[1]
          .trim();
      id = field("oleanderdeck-request-id");
      left = Number(field("content-length") ?? 0) -
        (chunk.length - headEnd - 4);
    } else left -= chunk.length;
    if (left > 0) return;
    left = undefined;
    counts.run++;
    if (Math.random() < lostShare) {
      counts.lost++;
      return socket.resetAndDestroy();
    }
    socket.write(
      `HTTP/1.1 200 OK\r\nOleanderdeck-Request-Id: ${id}\r\n` +
        "Oleanderdeck-Server-Stamp: stamp.uploads\r\nContent-Length: 2\r\n\r\nok",
    );
  });
}).listen(ports.worker, host);

// Heartbeats only: its own server is not started.
const worker = new Worker({
  id: options.workerId,
  service: options.service,
  host,
  port: ports.worker,
  controlHost: host,
  controlPort: ports.control,
  slots: 68,
});
worker.beat();
setInterval(() => worker.beat(), 1_500);

let next = 0;
async function upload() {
  while (true) {
    const id = `up${process.pid}${(++next).toString(16).padStart(6, "0")}`;
    const status = await new Promise((resolve) => {
      const socket = connect(ports.outbound, host);
      let text = "";
      const timer = setTimeout(() => end("deadline"), timeoutMs);
      const end = (outcome) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? outcome);
      };
      socket.on("connect", () => {
        socket.write(
          `POST ${path}${id} HTTP/1.1\r\nHost: ${authority}\r\n` +
            `Oleanderdeck-Request-Id: ${id}\r\n` +
            `Oleanderdeck-Request-Timeout-Ms: ${timeoutMs}\r\n` +
            `Content-Length: ${body.length}\r\n\r\n`,
        );
        socket.write(body);
      });
      socket.on("data", (chunk) => {
        text += chunk;
        if (text.includes("\r\n\r\n")) end("answered");
      });
      socket.on("end", () => end("closed"));
      socket.on("error", (error) => end(error.code));
    });
    counts[status] = (counts[status] ?? 0) + 1;
    const pauseMs = status === "200" || status === "502" ? 0 : 300;
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
}
process.on("message", ({ kind }) => {
  if (kind !== "begin") return;
  for (let n = 0; n < clients; n++) void upload();
});
setInterval(() => process.send?.(counts), 100);
