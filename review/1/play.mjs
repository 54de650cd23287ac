/**
 * A heartbeat of another writer arrives beside a worker; later the worker reports
 * that it leaves. See claim.txt.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { BOUNDS, configurationOf, runCase } from "../lib/fleet.mjs";
import { startLoad } from "../lib/load.mjs";

/** Time between two requests of the clients on one host, in milliseconds. */
const REQUEST_INTERVAL_MS = 60;

/** Time between the heartbeat of another writer and the leaving. */
const ODD_BEFORE_MS = 3_000;

/** Time from the acknowledgement to the worker's DELETE, in milliseconds. */
const SERVES_ON_MS = 6_000;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, isTroubled, makeFleet }) => {
    const worker = { workMs: 210 };
    const fleet = await makeFleet([
      { service: "bookings", zone: "wa-a", slots: 68, worker },
      { service: "bookings", zone: "wa-b", slots: 68, worker },
      { service: "menus", zone: "wa-a", slots: 51, worker },
    ]);
    await fleet.start(configurationOf(7, ["bookings", "menus"], [{
      name: "r-book",
      pathPrefix: "/book/",
      kind: "unsafe",
      service: "bookings",
      timeoutMs: 1_200,
      targetLatencyMs: 1_500,
      attempts: 2,
      priority: 0,
    }]));
    const clients = fleet.hosts.map(({ node, outbound }) =>
      new Client({ name: `client-${node}`, address: outbound, record })
    );
    const loads = clients.map((client) =>
      startLoad(
        () =>
          client.send({
            method: "POST",
            path: "/book/seat",
            body: "seat 7",
            timeoutMs: 5_000,
          }),
        REQUEST_INTERVAL_MS,
      )
    );
    await sleep(2_000);

    const leaving = fleet.hosts[0].worker;
    if (isTroubled) await leaving.sendOddHeartbeat();
    await sleep(ODD_BEFORE_MS);
    if (!await leaving.drain()) throw new Error("The leave got no answer");
    const bound = leaving.acknowledgedAt + BOUNDS.drainMs;
    await sleep(SERVES_ON_MS);
    await leaving.leave();
    await sleep(1_000);
    leaving.close();
    const outcomes = (await Promise.all(loads.map((end) => end()))).flat();
    clients.forEach((client) => client.close());

    const sentAt = new Map(
      outcomes.map((outcome) => [outcome.requestId, outcome.sentAt]),
    );
    const late = leaving.runs.filter(({ requestId }) =>
      sentAt.get(requestId) > bound
    );
    record.show(
      `${outcomes.length} requests; ${leaving.runs.length} ran at ` +
        `${leaving.id}, of these ${late.length} were sent later than ` +
        `${BOUNDS.drainMs} ms after the acknowledgement`,
    );
    if (late.length === 0) return [];
    const last = (late.at(-1).at - bound) / 1_000;
    return [
      `DRAIN: ${late.length} requests reached a worker up to ` +
      `${last.toFixed(1)} s after the bound, first ${late[0].requestId}`,
    ];
  },
);
