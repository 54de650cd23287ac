/** Small deployment whose clients upload photographs, for the cases 4 and 5. */
import { setTimeout as sleep } from "node:timers/promises";
import { Client } from "./client.mjs";
import { configurationOf, MEMORY_MB } from "./fleet.mjs";

const MEGABYTE = 1024 * 1024;

/** Usual rate of uploads at one host: one of thirteen with 10.1 a second. */
export const UPLOAD_INTERVAL_MS = 1_300;

/** Time between two checks of the memory of the processes, in milliseconds. */
const MEMORY_CHECK_MS = 50;

/** Time between the end of a process and its start, in milliseconds. */
const RESTART_MS = 300;

const ROUTES = [
  {
    name: "r-read",
    pathPrefix: "/menu/",
    kind: "safe",
    service: "menus",
    timeoutMs: 1_000,
    targetLatencyMs: 1_500,
    attempts: 2,
    priority: 2,
  },
  {
    name: "r-book",
    pathPrefix: "/book/",
    kind: "unsafe",
    service: "bookings",
    timeoutMs: 1_200,
    targetLatencyMs: 1_500,
    attempts: 2,
    priority: 0,
  },
  {
    name: "r-upload",
    pathPrefix: "/upload/",
    kind: "upload",
    service: "uploads",
    timeoutMs: 2_500,
    targetLatencyMs: 600,
    attempts: 2,
    priority: 1,
  },
];

export const SERVICES = ["menus", "bookings", "uploads"];

/** Route that the operator adds later. */
const LATER_ROUTE = {
  name: "r-allergens",
  pathPrefix: "/allergens/",
  kind: "unsafe",
  service: "bookings",
  timeoutMs: 1_200,
  targetLatencyMs: 1_500,
  attempts: 2,
  priority: 0,
};

export const firstConfiguration = () => configurationOf(7, SERVICES, ROUTES);
export const laterConfiguration = () =>
  configurationOf(12, SERVICES, [...ROUTES, LATER_ROUTE]);

/** Hosts of the deployment; the first two have clients. */
export function uploadHosts({ readMs }) {
  return [
    { service: "menus", zone: "wa-a", slots: 51, worker: { workMs: readMs } },
    { service: "menus", zone: "wa-b", slots: 51, worker: { workMs: readMs } },
    { service: "uploads", zone: "wa-a", slots: 68, worker: { workMs: 190 } },
    { service: "uploads", zone: "wa-b", slots: 68, worker: { workMs: 190 } },
    { service: "bookings", zone: "wa-a", slots: 68, worker: { workMs: 210 } },
  ];
}

/** Clients of one host. */
export class HostClients {
  #client;
  #photograph;

  constructor({ node, outbound }, { record, photographMb }) {
    this.#client = new Client({
      name: `client-${node}`,
      address: outbound,
      record,
    });
    this.#photograph = Buffer.alloc(photographMb * MEGABYTE, "x");
  }

  read() {
    return this.#client.send({
      method: "GET",
      path: "/menu/week",
      timeoutMs: 5_000,
    });
  }

  book(path = "/book/seat") {
    return this.#client.send({
      method: "POST",
      path,
      body: "s".repeat(4_000),
      timeoutMs: 5_000,
    });
  }

  upload() {
    return this.#client.send({
      method: "POST",
      path: "/upload/photo",
      body: this.#photograph,
      timeoutMs: 2_500,
    });
  }

  close() {
    this.#client.close();
  }
}

/**
 * Kills each process that exceeds its memory and starts it again, as the platform
 * does.
 *
 * @returns Function that ends it and returns the greatest memory of each host and
 * the kills.
 */
export function watchMemory({ hosts }, record) {
  const greatestMb = hosts.map(() => 0);
  const kills = [];
  const timer = setInterval(() => {
    hosts.forEach((host, index) => {
      const usedMb = host.residentMb();
      greatestMb[index] = Math.max(greatestMb[index], Math.round(usedMb));
      if (usedMb <= MEMORY_MB) return;
      kills.push({ host, at: record.now });
      record.show(
        `${host.node}: ${Math.round(usedMb)} MB are over its ` +
          `${MEMORY_MB} MB; the platform kills it`,
      );
      host.signal("SIGKILL");
      void host.ended().then(() => sleep(RESTART_MS)).then(() => host.start());
    });
  }, MEMORY_CHECK_MS);
  return () => {
    clearInterval(timer);
    return { greatestMb, kills };
  };
}
