// One client sends orders whose header has more than 1,000 fields, all of it far
// inside the limits of the configuration. The worker says what it was given.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { newId, send } from "../lib-2/client.mjs";
import { configuration, sleep } from "../lib-2/fleet.mjs";
import { BROKEN, HELD, isTroubled, NOT_RUN, Stage } from "../lib-2/stage.mjs";

const HOSTS = ["127.0.46.1", "127.0.46.2"];
const HOST_NAME = "jepu9.example";
const MAX_HEADER_BYTES = 16_384;
/** Fields before the one that states the length of the body. */
const FIELDS = isTroubled ? 1_200 : 900;
const ORDERS = 20;

const stage = new Stage(dirname(fileURLToPath(import.meta.url)), HOSTS);
await stage.open({
  services: ["bookings", "bookings"],
  configuration: configuration(7, [{
    host: HOST_NAME,
    pathPrefix: "/book/",
    service: "bookings",
    kind: "unsafe",
  }], { services: ["bookings"] }),
});

const fields = Array.from({ length: FIELDS }, (_, n) => `x${n}:${n % 10}`);
const headerBytes = fields.join("\r\n").length + 300;
if (headerBytes > MAX_HEADER_BYTES) stage.finish(NOT_RUN);
stage.note(
  `${FIELDS} fields, about ${headerBytes} bytes of ${MAX_HEADER_BYTES}`,
);

const orders = [];
for (let n = 0; n < ORDERS; n++) {
  const id = newId();
  const body = `seat=${n}&club=perth`;
  const answer = await send(stage.outbound(n % 2), {
    id,
    method: "POST",
    path: `/book/${n}`,
    authority: HOST_NAME,
    // The client's helper states the length of the body last of all.
    headers: [...fields, `Content-Length: ${body.length}`],
    statesLength: false,
    body,
  });
  orders.push({ id, body, answer });
  await sleep(50);
}

const runs = new Map(
  stage.workers.flatMap(({ runs }) => runs.map((run) => [run.requestId, run])),
);
const changed = orders.filter(({ id, body, answer }) => {
  const run = runs.get(id);
  const given = run === undefined
    ? "not run"
    : `run with ${run.rawHeaders.length / 2} fields, body ${
      JSON.stringify(run.body)
    }`;
  stage.note(
    `order ${id} sent body ${
      JSON.stringify(body)
    }, answered ${answer.status}, ${given}`,
  );
  return run !== undefined && run.body !== body;
});
const ran = orders.filter(({ id }) => runs.has(id)).length;
stage.note(
  `orders ${ORDERS}, run ${ran}, run with another body ${changed.length}`,
);
if (!isTroubled && ran < ORDERS) stage.finish(NOT_RUN);
stage.finish(changed.length > 0 ? BROKEN : HELD);
