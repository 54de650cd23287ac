/**
 * Resident memory of the nodes under loads that fill it, on real processes. Run by
 * hand, after `node scripts/build_platform.mjs`:
 *
 *   node bench/memory_loads.mjs uploads,readers,calls 350
 *   node bench/memory_loads.mjs floods,chunks,usual 350
 */
import { readFileSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { configurationOf, runCase } from "../review/lib/fleet.mjs";
import { startLoad } from "../review/lib/load.mjs";
import { HostClients, SERVICES, uploadHosts } from "../review/lib/uploads.mjs";
import { ID, Worker } from "../review/lib/worker.mjs";

const MEGABYTE = 1024 * 1024;
const SAMPLE_MS = 50;

/** Length of a load, and of the calm after it, in milliseconds. */
const LOAD_MS = 10_000;
const CALM_MS = 10_000;

/** Slow clients of one host, and the time between two of their reads. */
const SLOW_CLIENTS = 100;
const SLOW_READ_MS = 1_000;

const path = (pathPrefix, kind, service, timeoutMs) => ({
  name: `r${pathPrefix.replaceAll("/", "-")}`,
  pathPrefix,
  kind,
  service,
  timeoutMs,
  targetLatencyMs: 1_500,
  attempts: 2,
  priority: 1,
});

const configuration = () =>
  configurationOf(7, SERVICES, [
    path("/menu/", "safe", "menus", 1_000),
    path("/upload/", "upload", "uploads", 2_500),
    path("/large/", "safe", "bookings", 10_000),
  ]);

/** Worker whose answers are those of a function. */
class LoadWorker extends Worker {
  #server;
  #address;

  constructor(options, respond) {
    super(options);
    this.#address = options;
    this.#server = createServer((request, response) => {
      request.on("error", () => undefined);
      respond(request, response);
    });
  }

  listen() {
    const { host, port } = this.#address;
    return new Promise((resolve) =>
      this.#server.listen(port, host, 512, resolve)
    );
  }

  close() {
    super.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function replaceWorker(fleet, index, respond) {
  const host = fleet.hosts[index];
  host.worker = new LoadWorker({
    id: `i-${host.node}`,
    service: host.service,
    zone: host.zone,
    slots: 600,
    host: host.ip,
    port: fleet.ports.worker,
    controlPort: fleet.ports.control,
    heartbeatMs: 1_500,
    record: fleet.record,
  }, respond);
}

const headOf = (request) => ({
  [ID]: request.headers[ID],
  "oleanderdeck-server-stamp": "stamp",
});

function answerMegabytes(count) {
  const body = Buffer.alloc(count * MEGABYTE, "x");
  return (request, response) => {
    request.resume();
    response.writeHead(200, {
      ...headOf(request),
      "content-length": body.length,
    }).end(body);
  };
}

function answerLater(milliseconds) {
  return async (request, response) => {
    for await (const _ of request);
    await sleep(milliseconds);
    response.writeHead(200, { ...headOf(request), "content-length": 2 });
    response.end("ok");
  };
}

function floodHeadOrBody(request, response) {
  const { socket } = response;
  const piece = Buffer.alloc(65_536, "x");
  const chunk = Buffer.from(`10000\r\n${piece}\r\n`);
  const isBody = Math.random() < 0.5;
  const head = `HTTP/1.1 200 OK\r\n${ID}: ${request.headers[ID]}\r\n` +
    "oleanderdeck-server-stamp: s\r\n";
  socket.write(
    isBody ? `${head}transfer-encoding: chunked\r\n\r\n` : `${head}a: `,
  );
  const write = () => {
    while (!socket.destroyed && socket.write(isBody ? chunk : piece));
  };
  socket.on("drain", write);
  write();
}

const requestHead = (method, target, id, ...lines) =>
  [
    `${method} ${target} HTTP/1.1`,
    "Host: lunch.example",
    `Oleanderdeck-Request-Id: ${id}`,
    "Oleanderdeck-Request-Timeout-Ms: 10000",
    ...lines,
    "",
    "",
  ].join("\r\n");

/** Connects to a host; the socket is destroyed at the end of the load. */
function open(host, sockets) {
  const socket = connect(host.outbound);
  socket.on("error", () => socket.destroy());
  sockets.push(socket);
  return socket;
}

function readSlowly(host, id, sockets) {
  const socket = open(host, sockets);
  socket.write(requestHead("GET", "/large/menu", id));
  socket.pause();
  const timer = setInterval(() => socket.read(65_536), SLOW_READ_MS);
  socket.on("close", () => clearInterval(timer));
}

async function sendSmallChunks(host, id, sockets) {
  const socket = open(host, sockets);
  socket.resume();
  socket.write(
    requestHead("POST", "/upload/photo", id, "Transfer-Encoding: chunked"),
  );
  const sizes = Array.from({ length: 64 }, (_, index) => index + 1);
  const batch = sizes.map((size) =>
    `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`
  ).join("").repeat(30);
  while (!socket.destroyed) {
    if (!socket.write(batch)) {
      await Promise.race([
        new Promise((resolve) => socket.once("drain", resolve)),
        sleep(500),
      ]);
    } else await sleep(1);
  }
}

/** Loads by name; each resolves when it has ended. */
const LOADS = {
  async uploads({ clients }) {
    const sent = [];
    for (let group = 0; group < 3; group++) {
      sent.push(
        ...clients.flatMap(({ photographs }) =>
          Array.from({ length: 5 }, () => photographs.upload())
        ),
      );
      await sleep(4_000);
    }
    await Promise.all(sent);
  },
  async readers({ fleet, sockets }) {
    fleet.hosts.slice(0, 2).forEach((host) => {
      for (let count = 0; count < SLOW_CLIENTS; count++) {
        readSlowly(host, `slow-${host.node}-${count}`, sockets);
      }
    });
    await sleep(LOAD_MS);
  },
  async calls({ clients }) {
    const sent = clients.flatMap(({ megabyte }) =>
      Array.from({ length: 250 }, () => megabyte.upload())
    );
    await Promise.all([...sent, sleep(LOAD_MS)]);
  },
  async floods({ fleet, sockets }) {
    const end = performance.now() + LOAD_MS;
    for (let count = 0; performance.now() < end; count++) {
      readSlowly(fleet.hosts[count % 2], `flood-${count}`, sockets);
      await sleep(20);
    }
  },
  /** Small requests only, for the processor time that they take. */
  async usual({ clients }) {
    const loads = clients.flatMap(({ small, photographs }) => [
      startLoad(() => small.read(), 10),
      startLoad(() => photographs.upload(), 20),
    ]);
    await sleep(LOAD_MS);
    await Promise.all(loads.map((end) => end()));
  },
  async chunks({ fleet, sockets }) {
    fleet.hosts.slice(0, 2).forEach((host) => {
      for (let count = 0; count < 4; count++) {
        void sendSmallChunks(host, `chunks-${host.node}-${count}`, sockets);
      }
    });
    await sleep(LOAD_MS);
  },
};

/** Processor time of a process in seconds. */
function processorSeconds({ child }) {
  if (child === undefined) return 0;
  const fields = readFileSync(`/proc/${child.pid}/stat`, "utf8").split(" ");
  return (Number(fields[13]) + Number(fields[14])) / 100;
}

function prepare(fleet, load) {
  if (load === "readers") replaceWorker(fleet, 4, answerMegabytes(4));
  if (load === "floods") replaceWorker(fleet, 4, floodHeadOrBody);
  if (load === "calls") replaceWorker(fleet, 2, answerLater(1_000));
}

async function measure(load, memoryMb, { record, makeFleet }) {
  // The calls of `calls` and the answers of others meet at one host.
  const hosts = uploadHosts({ readMs: 20 });
  const fleet = await makeFleet(
    hosts.map((host, index) =>
      load === "calls" && index === 3 ? { ...host, service: "menus" } : host
    ),
  );
  fleet.hosts.forEach(({ settingsPath }) => {
    const text = readFileSync(settingsPath, "utf8");
    writeFileSync(
      settingsPath,
      text.replace(/limits.memoryMb=\d+/, `limits.memoryMb=${memoryMb}`),
    );
  });
  prepare(fleet, load);
  await fleet.start(configuration());
  const clients = fleet.hosts.slice(0, 2).map((host) => ({
    small: new HostClients(host, { record, photographMb: 1 }),
    megabyte: new HostClients(host, { record, photographMb: 1 }),
    photographs: new HostClients(host, {
      record,
      photographMb: load === "usual" ? 4 / 1024 : 60,
    }),
  }));
  const resident = () => fleet.hosts.map((host) => host.residentMb());
  const rest = resident();
  const secondsBefore = fleet.hosts.map(processorSeconds);
  const peak = [...rest];
  const timer = setInterval(
    () =>
      resident().forEach((megabytes, index) => {
        peak[index] = Math.max(peak[index], megabytes);
      }),
    SAMPLE_MS,
  );
  const reads = clients.map(({ small }) => startLoad(() => small.read(), 50));
  const sockets = [];
  await LOADS[load]({ clients, fleet, sockets });
  sockets.forEach((socket) => socket.destroy());
  const seconds = fleet.hosts.reduce(
    (sum, host, index) => sum + processorSeconds(host) - secondsBefore[index],
    0,
  );
  const outcomes = (await Promise.all(reads.map((end) => end()))).flat();
  await sleep(CALM_MS);
  clearInterval(timer);
  const after = resident();
  const served = outcomes.filter(({ status }) => status === 200).length;
  const ends = fleet.hosts.flatMap(({ ends }) => ends).length;
  const most = (values) => Math.round(Math.max(...values));
  record.show(
    `${load} ${memoryMb} MB: rest ${most(rest)}, peak ${most(peak)} ` +
      `(${peak.map(Math.round).join(", ")}), 10 s later ${most(after)}, ` +
      `small reads ${served} of ${outcomes.length}, ends ${ends}, ` +
      `processor time ${seconds.toFixed(2)} s`,
  );
  clients.flatMap(Object.values).forEach((client) => client.close());
  await fleet.close();
}

const [names = Object.keys(LOADS).join(","), memoryMb = "350"] = process.argv
  .slice(2);
const directory = process.env.TMPDIR ?? "/tmp";
await runCase(directory, async (play) => {
  for (const load of names.split(",")) {
    await measure(load, Number(memoryMb), play);
  }
  return [];
});
