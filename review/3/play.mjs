/**
 * All nodes are killed and started again after a worker has left, and one of its
 * earlier heartbeats arrives late. See claim.txt.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { BOUNDS, configurationOf, runCase } from "../lib/fleet.mjs";
import { startLoad } from "../lib/load.mjs";

/** Times since the acknowledgement of the leaving, in milliseconds. */
const KILLED_AT_MS = 500;
const LATE_HEARTBEAT_AT_MS = 3_000;

/** Time between the end of a process and its start, in milliseconds. */
const RESTART_MS = 300;

/** Time from the acknowledgement to the end of the worker, in milliseconds. */
const SERVES_ON_MS = 9_000;

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
    const { hosts } = fleet;
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
    const late = leaving.takeHeartbeat();
    if (!await leaving.leave()) throw new Error("The leave got no answer");
    const { acknowledgedAt } = leaving;
    const until = (ms) => sleep(Math.max(0, acknowledgedAt + ms - record.now));
    let startedAt = 0;
    if (isTroubled) {
      await until(KILLED_AT_MS);
      await killAll(hosts);
      startedAt = record.now;
    }
    await until(LATE_HEARTBEAT_AT_MS);
    await leaving.deliverLate(late);
    await sleep(acknowledgedAt + SERVES_ON_MS - record.now);
    leaving.close();
    record.show(`${leaving.id}: has ended`);
    await sleep(1_000);
    const outcomes = (await Promise.all(loads.map((end) => end()))).flat();
    clients.forEach((client) => client.close());

    // Only requests at machines that are in touch again are judged.
    const inTouchFrom = startedAt + BOUNDS.stabilityWindowMs;
    const bound = Math.max(acknowledgedAt + BOUNDS.drainMs, inTouchFrom);
    const sent = new Map(
      outcomes.map((outcome) => [outcome.requestId, outcome]),
    );
    const afterBound = leaving.runs.filter(({ requestId }) =>
      sent.get(requestId).sentAt > bound
    );
    const unserved = afterBound.filter(({ requestId }) =>
      sent.get(requestId).status !== 200
    );
    record.show(
      `${outcomes.length} requests; ${leaving.runs.length} ran at ` +
        `${leaving.id}, of these ${afterBound.length} were sent later than ` +
        `${BOUNDS.drainMs} ms after the acknowledgement by machines in touch` +
        ` (${unserved.length} of them without a success)`,
    );
    if (afterBound.length === 0) return [];
    const [first, last] = [afterBound[0].at, afterBound.at(-1).at].map((at) =>
      ((at - acknowledgedAt) / 1_000).toFixed(1)
    );
    return [
      `DRAIN: ${afterBound.length} requests reached a worker ${first} to ${last} s ` +
      `after its leaving was acknowledged, first ${afterBound[0].requestId}`,
    ];
  },
);
