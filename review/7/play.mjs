// A worker leaves while the store is silent, all nodes are killed and started again,
// and two heartbeats that the worker had sent before it left arrive late.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send } from "../lib-2/client.mjs";
import { configuration, sleep } from "../lib-2/fleet.mjs";
import { BROKEN, HELD, isTroubled, NOT_RUN, Stage } from "../lib-2/stage.mjs";

const HOSTS = ["127.0.47.1", "127.0.47.2", "127.0.47.3", "127.0.47.4"];
const HOST_NAME = "jepu9.example";
/** The store is silent for so long; the site has up to 8.0 s. */
const STORE_SILENT_MS = 3_000;
/** Time from the start of the silence to the DELETE of the worker. */
const LEAVE_AFTER_MS = 300;
/** Time from the acknowledgement to the kill of all nodes, and to their start. */
const KILL_AFTER_MS = 300;
const RESTART_AFTER_MS = 300;
/** Times of the late heartbeats, counted from when the store answers again. */
const LATE_BEATS_MS = [-600, 800];
/** The worker serves on for so long behind the acknowledgement. */
const SERVES_ON_MS = 14_000;
const DRAIN_MS = 2_000;
const STABILITY_MS = 3_000;
const PAUSE_MS = 25;

const stage = new Stage(dirname(fileURLToPath(import.meta.url)), HOSTS);
await stage.open({
  services: ["bookings", "bookings", "menus", "menus"],
  configuration: configuration(7, [{
    host: HOST_NAME,
    pathPrefix: "/book/",
    service: "bookings",
    kind: "unsafe",
  }], { services: ["bookings", "menus"] }),
  worker: { workMs: 50 },
});
const [leaving] = stage.workers;
const now = () => performance.now();

let isOver = false;
const sent = new Map();
const outcomes = {};
const clients = [2, 3].map(async (index) => {
  while (!isOver) {
    const id = `b${index}x${sent.size.toString(16).padStart(6, "0")}`;
    sent.set(id, now());
    void send(stage.outbound(index), {
      id,
      method: "POST",
      path: "/book/1",
      authority: HOST_NAME,
      timeoutMs: 5_000,
      body: "hi",
    }).then(({ outcome, status }) => {
      const name = outcome === "answered" ? status : outcome;
      outcomes[name] = (outcomes[name] ?? 0) + 1;
    });
    await sleep(PAUSE_MS);
  }
});
await sleep(2_000);

// Two heartbeats of the worker are held up on their way.
const lateBeats = [leaving.prepareBeat()];
const firstSentAt = now();
await sleep(1_500);
lateBeats.push(leaving.prepareBeat());
const sentAt = [firstSentAt, now()];
leaving.stopBeats();
stage.note("two heartbeats of the worker are under way");

if (isTroubled) {
  stage.store.isSilent = true;
  stage.note("the store is silent");
}
const storeBackAt = now() + (isTroubled ? STORE_SILENT_MS : 0);
const storeBack = sleep(isTroubled ? STORE_SILENT_MS : 0).then(() => {
  stage.store.isSilent = false;
  stage.note("the store answers");
});
await sleep(LEAVE_AFTER_MS);
const status = await leaving.tell("DELETE", { born: leaving.born });
const acknowledgedAt = now();
stage.note(`the worker's DELETE is answered with ${status}`);
if (status !== 200) stage.finish(NOT_RUN);

await sleep(KILL_AFTER_MS);
if (isTroubled) {
  stage.machines.forEach((machine) => machine.signal("SIGKILL"));
  while (stage.machines.some(({ isRunning }) => isRunning)) await sleep(10);
  stage.note("all nodes were killed");
}
await sleep(RESTART_AFTER_MS);
stage.machines.forEach((machine) => machine.start());
const startedAt = now();
// The readiness check is answered, with 200 or not, as soon as the node listens.
const readiness = { host: HOSTS[0], port: stage.ports.readiness };
while (true) {
  const check = { path: "/readyz", authority: "platform", timeoutMs: 1_000 };
  if ((await send(readiness, check)).outcome === "answered") break;
  await sleep(50);
}
for (const [index, beat] of lateBeats.entries()) {
  const aboutAt = firstSentAt + 1_500 + STORE_SILENT_MS;
  await sleep(aboutAt + LATE_BEATS_MS[index] - now());
  const answer = await leaving.tell("PUT", beat);
  const lateMs = Math.round(now() - sentAt[index]);
  stage.note(`a heartbeat arrives ${lateMs} ms late, answered with ${answer}`);
}
await storeBack;
await sleep(acknowledgedAt + SERVES_ON_MS - now());
const endsAt = now();
isOver = true;
await Promise.all(clients);
await sleep(1_000);

// All machines are in touch again, and the bound of the leaving is over.
const countedFrom = Math.max(
  acknowledgedAt + DRAIN_MS,
  (isTroubled ? startedAt : 0) + STABILITY_MS,
  storeBackAt + STABILITY_MS,
);
const late = leaving.runs.filter(({ requestId }) =>
  sent.get(requestId) > countedFrom
);
stage.note(`requests ${sent.size}: ${JSON.stringify(outcomes)}`);
stage.note(
  `counted from ${Math.round(countedFrom - acknowledgedAt)} ms behind the ` +
    `acknowledgement to ${
      Math.round(endsAt - acknowledgedAt)
    } ms: ${late.length} ` +
    "requests reached the worker that had left",
);
stage.finish(late.length > 0 ? BROKEN : HELD);
