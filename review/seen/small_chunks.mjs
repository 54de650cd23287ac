/**
 * Not a case of the review: one upload of 60 MB in chunks of 64 bytes ends a node by
 * its heap. No page names a client that sends so. Exits like the cases do; TROUBLE=0
 * sends chunks of 64 KB.
 */
import { connect } from "node:net";
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { runCase } from "../lib/fleet.mjs";
import { firstConfiguration, uploadHosts } from "../lib/uploads.mjs";

const UPLOAD_BYTES = 60 * 1024 * 1024;
const BATCH_BYTES = 65_536;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, isTroubled, makeFleet }) => {
    const chunkBytes = isTroubled ? 64 : BATCH_BYTES;
    const fleet = await makeFleet(uploadHosts({ readMs: 160 }));
    await fleet.start(firstConfiguration());
    const [host] = fleet.hosts;
    const seen = await new Promise((resolve) => {
      const socket = connect(host.outbound);
      socket.on("error", (error) => resolve(error.message));
      socket.on("data", (bytes) => resolve(String(bytes).split("\r\n")[0]));
      socket.on("close", () => resolve("closed"));
      socket.write(
        "POST /upload/photo HTTP/1.1\r\nHost: lunch.example\r\n" +
          "Oleanderdeck-Request-Id: client-1\r\n" +
          "Oleanderdeck-Request-Timeout-Ms: 20000\r\n" +
          "Transfer-Encoding: chunked\r\n\r\n",
      );
      const chunk = `${chunkBytes.toString(16)}\r\n${
        "x".repeat(chunkBytes)
      }\r\n`;
      const batch = chunk.repeat(BATCH_BYTES / chunkBytes);
      let sent = 0;
      const send = () => {
        while (sent < UPLOAD_BYTES) {
          sent += BATCH_BYTES;
          if (!socket.write(batch)) return void socket.once("drain", send);
        }
        socket.write("0\r\n\r\n");
      };
      send();
    });
    await sleep(1_500);
    const ends = host.ends.map(({ code, signal }) => code ?? signal);
    record.show(`the client saw: ${seen}; the node ended: ${ends.join(", ")}`);
    return ends.length > 0 ? [`the process ended by itself: ${ends}`] : [];
  },
);
