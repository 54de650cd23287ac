/**
 * A worker leaves during an outage of the store, and all nodes are killed and
 * started again before the store is back. See claim.txt.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { BOUNDS, configurationOf, runCase } from "../lib/fleet.mjs";
import { startLoad } from "../lib/load.mjs";

/** Length of the store's outage, in milliseconds. */
const OUTAGE_MS = 4_000;

/** Times since the beginning of the outage, in milliseconds. */
const LEAVES_AT_MS = 500;
const KILLED_AT_MS = 1_300;

/** Time between the end of a process and its start, in milliseconds. */
const RESTART_MS = 300;

/** Time from the acknowledgement to the end of the worker, in milliseconds. */
const SERVES_ON_MS = 10_000;

/** Time between two requests of the clients on one host, in milliseconds. */
const REQUEST_INTERVAL_MS = 60;

async function killAll(hosts) {
  hosts.forEach((host) => host.signal("SIGKILL"));
  await Promise.all(hosts.map((host) => host.ended()));
  await sleep(RESTART_MS);
  hosts.forEach((host) => host.start());
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, isTroubled, makeFleet }) => {
    const worker = { workMs: 210 };
    const fleet = await makeFleet([
      { service: "bookings", zone: "wa-a", slots: 68, worker },
      { service: "bookings", zone: "wa-b", slots: 68, worker },
      { service: "menus", zone: "wa-a", slots: 51, worker },
      { service: "menus", zone: "wa-b", slots: 51, worker },
    ]);
    const { hosts, store } = fleet;
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
    const clients = hosts.map(({ node, outbound }) =>
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

    const leaving = hosts[0].worker;
    const begin = record.now;
    let storeUpAt = -BOUNDS.stabilityWindowMs;
    const until = (ms) => sleep(Math.max(0, begin + ms - record.now));
    if (isTroubled) store.setMode("silent");
    await until(LEAVES_AT_MS);
    if (!await leaving.leave()) throw new Error("The leave got no answer");
    if (isTroubled) {
      await until(KILLED_AT_MS);
      await killAll(hosts);
      await until(OUTAGE_MS);
      store.setMode("up");
      storeUpAt = record.now;
    }
    const { acknowledgedAt } = leaving;
    await sleep(acknowledgedAt + SERVES_ON_MS - record.now);
    leaving.close();
    record.show(`${leaving.id}: has ended`);
    await sleep(1_000);
    const outcomes = (await Promise.all(loads.map((end) => end()))).flat();
    clients.forEach((client) => client.close());

    // Only requests at machines that are in touch again are judged.
    const inTouchFrom = storeUpAt + BOUNDS.stabilityWindowMs;
    const bound = Math.max(acknowledgedAt + BOUNDS.drainMs, inTouchFrom);
    const sent = new Map(
      outcomes.map((outcome) => [outcome.requestId, outcome]),
    );
    const late = leaving.runs.filter(({ requestId }) =>
      sent.get(requestId).sentAt > bound
    );
    const unserved = late.filter(({ requestId }) =>
      sent.get(requestId).status !== 200
    );
    record.show(
      `${outcomes.length} requests; ${leaving.runs.length} ran at ` +
        `${leaving.id}, of these ${late.length} were sent later than ` +
        `${BOUNDS.drainMs} ms after the acknowledgement by machines in touch` +
        ` (${unserved.length} of them without a success)`,
    );
    if (late.length === 0) return [];
    const [first, last] = [late[0].at, late.at(-1).at].map((at) =>
      ((at - acknowledgedAt) / 1_000).toFixed(1)
    );
    return [
      `DRAIN: ${late.length} requests reached a worker ${first} to ${last} s ` +
      `after its leaving was acknowledged, first ${late[0].requestId}`,
    ];
  },
);
